//! The owner of the slots of a host's share of back ends.

use std::collections::{BTreeSet, HashMap, HashSet};

use endivestile_config::model::{Config, Name};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::backend::Backend;
use super::effect::{PlaceEffect, PlacerSetup};
use super::policy::{PolicyFn, policy};
use super::pool::{Pool, PoolKind};
use super::rack::Rack;
use super::share;
use super::task_table::{TaskEntry, TaskTable};
use super::teams::Teams;
use super::timer::Timer;
use crate::{AttemptId, Outcome, Peer, PlaceRequest, Target, TaskKey, Time, View};

/// Slot of the pool of tasks without accelerators.
pub(crate) const PLAIN: u32 = 0;

/// Slot of the pool of tasks with accelerators.
pub(crate) const ACCELERATED: u32 = 1;

/// Owner of the slots of the back ends in this host's share.
///
/// A pure state machine: time comes in with each call, and what is to be done
/// goes out as effects.
#[derive(Debug)]
pub struct Placer {
    pub(crate) me: Peer,
    pub(crate) rng: SmallRng,
    pub(crate) choose: PolicyFn,
    pub(crate) config: Config,
    pub(crate) stopping: bool,
    pub(crate) teams: Teams,
    pub(crate) backends: Vec<Backend>,
    pub(crate) vacant: Vec<u32>,
    pub(crate) by_name: HashMap<Name, u32>,
    pub(crate) leaving: HashSet<Name>,
    pub(crate) racks: Vec<Rack>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) services: HashMap<Name, u32>,
    pub(crate) held: TaskTable,
    pub(crate) index: HashMap<(Peer, TaskKey), u32>,
    pub(crate) attempts: HashMap<AttemptId, u32>,
    pub(crate) next_attempt: u64,
    pub(crate) next_seq: u64,
    pub(crate) waiting: u32,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    pub(crate) revisit: Option<Time>,
}

impl Placer {
    /// Makes a placer without back ends.
    pub fn new(setup: PlacerSetup) -> Self {
        Self {
            me: setup.me,
            rng: SmallRng::seed_from_u64(setup.seed),
            choose: policy(""),
            config: Config::default(),
            stopping: false,
            teams: Teams::default(),
            backends: Vec::new(),
            vacant: Vec::new(),
            by_name: HashMap::new(),
            leaving: HashSet::new(),
            racks: Vec::new(),
            pools: vec![Pool::new(PoolKind::Plain), Pool::new(PoolKind::Accelerated)],
            services: HashMap::new(),
            held: TaskTable::default(),
            index: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: 0,
            next_seq: 0,
            waiting: 0,
            timers: BTreeSet::new(),
            revisit: None,
        }
    }

    /// Takes over an accepted configuration; learnt speeds and running tasks of
    /// back ends that stay are kept.
    pub fn configure(
        &mut self,
        now: Time,
        config: &Config,
        view: &View,
        out: &mut Vec<PlaceEffect>,
    ) {
        self.config = config.clone();
        self.choose = policy(&config.rules.policy);
        self.teams.configure(&config.teams, view, &self.me);
        let specs = share::share(config, view, &self.me);
        self.rebuild(now, &specs, out);
    }

    /// Takes over another view of the hosts.
    ///
    /// Waiting tasks that no back end of the new share can run end as not run,
    /// so that their homes place them anew.
    pub fn handle_view(&mut self, now: Time, view: &View, out: &mut Vec<PlaceEffect>) {
        self.teams.configure(&self.config.teams, view, &self.me);
        let specs = share::share(&self.config, view, &self.me);
        if !self.same_share(&specs) {
            self.rebuild(now, &specs, out);
        }
    }

    /// Takes in that a back end is leaving, or that it is not any more.
    pub fn set_leaving(
        &mut self,
        now: Time,
        name: &str,
        leaving: bool,
        out: &mut Vec<PlaceEffect>,
    ) {
        if leaving {
            self.leaving.insert(Name::from(name));
        } else {
            self.leaving.remove(name);
        }
        let Some(&id) = self.by_name.get(name) else { return };
        self.backends[id as usize].leaving = leaving;
        self.changed(now, id, out);
    }

    /// Takes in an order of a home: it is started, queued or refused at once.
    pub fn handle_order(
        &mut self,
        now: Time,
        home: &Peer,
        order: PlaceRequest,
        out: &mut Vec<PlaceEffect>,
    ) {
        let name = (home.clone(), order.key);
        if self.index.contains_key(&name) {
            return;
        }
        let team = self.teams.id(&order.team);
        let pool = self.admit(now, team, &order, out);
        let (pool, trial) = match pool {
            Ok(admitted) => admitted,
            Err(cause) => {
                let outcome = Outcome::NotRun(cause);
                out.push(PlaceEffect::Ended { home: home.clone(), key: order.key, outcome });
                return;
            }
        };
        let state = &mut self.pools[pool as usize];
        state.hint(order.task.declared_ms);
        let ln_size = state.declared.ln_size(order.task.declared_ms);
        state.sizes.count(ln_size);
        let held = TaskEntry {
            home: home.clone(),
            order,
            pool,
            team,
            seq: self.next_seq,
            ln_size,
            patient: None,
            drop_at: Time::NEVER,
            tries: 0,
            overtaken: 0,
            trial,
            kept: None,
            run: None,
        };
        self.next_seq += 1;
        let slot = self.held.insert(held);
        self.index.insert(name, slot);
        self.teams.hold(team);
        self.enqueue(now, slot);
        self.arm_revisit(now);
        self.dispatch(now, pool, out);
    }

    /// Drops a task: a waiting one is forgotten, a running one is stopped and
    /// its slot is free when its call ends.
    pub fn handle_drop(
        &mut self,
        now: Time,
        home: &Peer,
        key: TaskKey,
        out: &mut Vec<PlaceEffect>,
    ) {
        let Some(slot) = self.index.remove(&(home.clone(), key)) else { return };
        let Some(held) = self.held.get_mut(slot) else { return };
        if let Some(run) = held.run.as_mut() {
            run.wanted = false;
            out.push(PlaceEffect::Abort(run.attempt));
            return;
        }
        let pool = held.pool;
        self.unqueue(slot);
        self.forget(slot);
        self.dispatch_behind(now, pool, out);
    }

    /// Forgets the waiting tasks of a home that is gone; running ones go on.
    pub fn handle_home_gone(&mut self, now: Time, home: &Peer, out: &mut Vec<PlaceEffect>) {
        let of_home = self.held.iter().filter(|(_, held)| held.home == *home);
        let (running, waiting): (Vec<_>, Vec<_>) =
            of_home.map(|(slot, held)| (slot, held.run.is_some())).partition(|(_, runs)| *runs);
        for (slot, _) in running {
            if let Some(held) = self.held.get_mut(slot) {
                self.index.remove(&(held.home.clone(), held.order.key));
                held.run =
                    held.run.map(|run| super::task_table::BackendCall { wanted: false, ..run });
            }
        }
        for (slot, _) in waiting {
            self.unqueue(slot);
            self.forget(slot);
        }
        self.dispatch_all(now, out);
    }

    /// Starts the planned stop: no new orders, what is held is finished.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns whether any back end of the whole inventory could ever run a task.
    pub fn can_ever_run(config: &Config, target: &Target) -> bool {
        share::can_ever_run(config, target)
    }

    /// Returns the pool for a target.
    pub(crate) fn pool_of(&self, target: &Target) -> Option<u32> {
        match target {
            Target::Service(name) => self.services.get(name).copied(),
            Target::Need(need) if need.accelerators == 0 => Some(PLAIN),
            Target::Need(_) => Some(ACCELERATED),
        }
    }
}
