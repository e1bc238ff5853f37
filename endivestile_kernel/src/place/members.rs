//! Members, and this host's part of what each may hold.

use std::collections::{BTreeMap, HashMap};

use endivestile_config::model::{Member, Name};

use crate::{Peer, View};

/// One member as this placer sees it.
#[derive(Debug, Default)]
pub(crate) struct MemberState {
    /// Tasks held here, waiting or running.
    pub(crate) held: u32,
    /// Tasks that may be held here.
    pub(crate) part: u32,
    /// Share under contention.
    pub(crate) weight: u32,
}

/// All members, numbered.
#[derive(Debug, Default)]
pub(crate) struct Members {
    ids: HashMap<Name, u32>,
    states: Vec<MemberState>,
}

impl Members {
    /// Takes over rules and view.
    ///
    /// The parts of the live hosts add up to the limit exactly: whole parts by
    /// weight, and what is left over one each to the first hosts in the
    /// member's rendezvous order. No message is needed to agree on them.
    pub(crate) fn configure(&mut self, rules: &BTreeMap<Name, Member>, view: &View, me: &Peer) {
        for state in &mut self.states {
            state.part = 0;
        }
        for (name, member) in rules {
            let id = self.id(name);
            let state = &mut self.states[id as usize];
            state.weight = member.weight;
            state.part = part(member.limit, name, view, me);
        }
    }

    /// Returns the number of a member; one without rules may hold nothing.
    pub(crate) fn id(&mut self, name: &Name) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.states.len() as u32;
        self.states.push(MemberState { held: 0, part: 0, weight: 1 });
        self.ids.insert(name.clone(), id);
        id
    }

    /// Returns a member.
    pub(crate) fn get(&self, id: u32) -> &MemberState {
        &self.states[id as usize]
    }

    /// Counts a task that is held from now on.
    pub(crate) fn hold(&mut self, id: u32) {
        self.states[id as usize].held += 1;
    }

    /// Counts a task that is held no more.
    pub(crate) fn release(&mut self, id: u32) {
        let state = &mut self.states[id as usize];
        state.held = state.held.saturating_sub(1);
    }
}

fn part(limit: u32, member: &str, view: &View, me: &Peer) -> u32 {
    let ranked = view.ranked(member);
    let sum: u64 = ranked.iter().map(|host| u64::from(host.weight.max(1))).sum();
    let whole = |weight: u32| u64::from(limit) * u64::from(weight.max(1)) / sum.max(1);
    let given: u64 = ranked.iter().map(|host| whole(host.weight)).sum();
    let over = u64::from(limit).saturating_sub(given) as usize;
    let Some(at) = ranked.iter().position(|host| host.peer.host == me.host) else { return 0 };
    whole(ranked[at].weight) as u32 + u32::from(at < over)
}
