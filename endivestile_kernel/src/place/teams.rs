//! Teams and this host's share of their limits.

use std::collections::{BTreeMap, HashMap};

use endivestile_config::model::{Name, Team};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{HostState, HostView, Peer, View};

/// State of one team at this placer.
#[derive(Debug, Default)]
pub(crate) struct TeamState {
    /// Number of tasks of this placer, waiting or running.
    pub(crate) tasks: u32,
    /// Maximum number of tasks at this placer.
    pub(crate) host_limit: u32,
    /// Weight under contention.
    pub(crate) weight: u32,
}

/// All teams, by index.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    ids: HashMap<Name, u32>,
    states: Vec<TeamState>,
}

impl Teams {
    /// Applies new rules and a new view.
    ///
    /// The limits of the live hosts add up exactly to the limit of the team. Each host
    /// gets its share by weight, rounded down. The remainder goes one each to the first
    /// hosts in the order of a hash of team and host, so that hosts agree without
    /// exchanging messages.
    pub(crate) fn configure(&mut self, rules: &BTreeMap<Name, Team>, view: &View, me: &Peer) {
        for state in &mut self.states {
            state.host_limit = 0;
        }
        let hosts = sharing_hosts(view);
        for (name, team) in rules {
            let id = self.id(name);
            let state = &mut self.states[id as usize];
            state.weight = team.weight;
            state.host_limit = host_limit(team.limit, name, &hosts, me);
        }
    }

    /// Returns the index of a team. A team without rules may not run any tasks.
    pub(crate) fn id(&mut self, name: &Name) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.states.len() as u32;
        self.states.push(TeamState { tasks: 0, host_limit: 0, weight: 1 });
        self.ids.insert(name.clone(), id);
        id
    }

    /// Returns a team.
    pub(crate) fn get(&self, id: u32) -> &TeamState {
        &self.states[id as usize]
    }

    /// Counts a new task.
    pub(crate) fn add_task(&mut self, id: u32) {
        self.states[id as usize].tasks += 1;
    }

    /// Removes a finished task from the count.
    pub(crate) fn remove_task(&mut self, id: u32) {
        let state = &mut self.states[id as usize];
        state.tasks = state.tasks.saturating_sub(1);
    }
}

/// Returns the hosts that have shares: the live ones, or the leaving ones if there
/// is no live one.
fn sharing_hosts(view: &View) -> Vec<&HostView> {
    let live: Vec<&HostView> = view.live().collect();
    if !live.is_empty() {
        return live;
    }
    view.hosts.values().filter(|host| host.state == HostState::Leaving).collect()
}

fn host_limit(limit: u32, team: &str, hosts: &[&HostView], me: &Peer) -> u32 {
    let sum: u64 = hosts.iter().map(|host| u64::from(host.weight.max(1))).sum();
    let whole = |weight: u32| u64::from(limit) * u64::from(weight.max(1)) / sum.max(1);
    let Some(own) = hosts.iter().find(|host| host.peer.host == me.host) else { return 0 };
    let assigned: u64 = hosts.iter().map(|host| whole(host.weight)).sum();
    let remainder = u64::from(limit).saturating_sub(assigned);
    let seed = xxh3_64(team.as_bytes());
    let hash = |host: &str| xxh3_64_with_seed(host.as_bytes(), seed);
    let own_rank = (hash(&me.host), &me.host);
    let others = hosts.iter().map(|host| (hash(&host.peer.host), &host.peer.host));
    let before = others.filter(|other| *other < own_rank).count() as u64;
    whole(own.weight) as u32 + u32::from(before < remainder)
}
