//! State of the placer and its event handlers.

use std::collections::{BTreeSet, HashMap, HashSet};

use endivestile_config::model::{Config, Name};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::backend::Backend;
use super::effect::{PlaceEffect, PlacerSetup};
use super::policy::{PolicyFn, policy_by_name};
use super::pool::{Pool, PoolKind};
use super::rack::Rack;
use super::share;
use super::task_table::{TaskEntry, TaskTable};
use super::teams::Teams;
use super::timer::Timer;
use crate::{AttemptId, Outcome, Peer, PlaceRequest, Target, TaskKey, Time, View};

/// Index of the pool of tasks without accelerators.
pub(crate) const PLAIN: u32 = 0;

/// Index of the pool of tasks with accelerators.
pub(crate) const ACCELERATED: u32 = 1;

/// Owner of the slots of the backends in this host's share.
///
/// A pure state machine: each call passes the current time, and effects are
/// returned in `out`.
#[derive(Debug)]
pub struct Placer {
    pub(crate) me: Peer,
    pub(crate) rng: SmallRng,
    pub(crate) choose: PolicyFn,
    pub(crate) config: Config,
    pub(crate) stopping: bool,
    pub(crate) teams: Teams,
    pub(crate) backends: Vec<Backend>,
    pub(crate) vacant_ids: Vec<u32>,
    pub(crate) backend_ids: HashMap<Name, u32>,
    pub(crate) leaving_names: HashSet<Name>,
    pub(crate) racks: Vec<Rack>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) service_pools: HashMap<Name, u32>,
    pub(crate) tasks: TaskTable,
    pub(crate) task_by_key: HashMap<(Peer, TaskKey), u32>,
    pub(crate) task_by_attempt: HashMap<AttemptId, u32>,
    pub(crate) next_attempt: u64,
    pub(crate) next_seq: u64,
    pub(crate) waiting_count: u32,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    pub(crate) revisit_at: Option<Time>,
}

impl Placer {
    /// Creates a placer without backends.
    pub fn new(setup: PlacerSetup) -> Self {
        Self {
            me: setup.me,
            rng: SmallRng::seed_from_u64(setup.seed),
            choose: policy_by_name(""),
            config: Config::default(),
            stopping: false,
            teams: Teams::default(),
            backends: Vec::new(),
            vacant_ids: Vec::new(),
            backend_ids: HashMap::new(),
            leaving_names: HashSet::new(),
            racks: Vec::new(),
            pools: vec![Pool::new(PoolKind::Plain), Pool::new(PoolKind::Accelerated)],
            service_pools: HashMap::new(),
            tasks: TaskTable::default(),
            task_by_key: HashMap::new(),
            task_by_attempt: HashMap::new(),
            next_attempt: 0,
            next_seq: 0,
            waiting_count: 0,
            timers: BTreeSet::new(),
            revisit_at: None,
        }
    }

    /// Applies an accepted configuration. Learned run times and running tasks of
    /// backends that remain are kept.
    pub fn configure(
        &mut self,
        now: Time,
        config: &Config,
        view: &View,
        out: &mut Vec<PlaceEffect>,
    ) {
        self.config = config.clone();
        self.choose = policy_by_name(&config.rules.policy);
        self.teams.configure(&config.teams, view, &self.me);
        let specs = share::own_backends(config, view, &self.me);
        self.rebuild(now, &specs, out);
    }

    /// Applies a new view of the hosts.
    ///
    /// Waiting tasks that no backend of the new share can run end as not run, so that
    /// their homes place them elsewhere.
    pub fn handle_view(&mut self, now: Time, view: &View, out: &mut Vec<PlaceEffect>) {
        self.teams.configure(&self.config.teams, view, &self.me);
        let specs = share::own_backends(&self.config, view, &self.me);
        if !self.same_share(&specs) {
            self.rebuild(now, &specs, out);
        }
    }

    /// Marks a backend as leaving, or clears the mark.
    pub fn set_leaving(
        &mut self,
        now: Time,
        name: &str,
        leaving: bool,
        out: &mut Vec<PlaceEffect>,
    ) {
        if leaving {
            self.leaving_names.insert(Name::from(name));
        } else {
            self.leaving_names.remove(name);
        }
        let Some(&id) = self.backend_ids.get(name) else { return };
        self.backends[id as usize].leaving = leaving;
        self.handle_backend_change(now, id, out);
    }

    /// Handles an order: starts, queues or refuses the task immediately. A repeated
    /// order is ignored.
    pub fn handle_order(
        &mut self,
        now: Time,
        home: &Peer,
        order: PlaceRequest,
        out: &mut Vec<PlaceEffect>,
    ) {
        let task_key = (home.clone(), order.key);
        if self.task_by_key.contains_key(&task_key) {
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
        state.apply_hint(order.task.declared_ms);
        let ln_size = state.declared.ln_size(order.task.declared_ms);
        state.work_by_size.record(ln_size);
        let task = TaskEntry {
            home: home.clone(),
            order,
            pool,
            team,
            seq: self.next_seq,
            ln_size,
            wait_until: None,
            expires_at: Time::NEVER,
            failed_starts: 0,
            overtaken: 0,
            trial,
            reserved_worker: None,
            call: None,
        };
        self.next_seq += 1;
        let slot = self.tasks.insert(task);
        self.task_by_key.insert(task_key, slot);
        self.teams.add_task(team);
        self.enqueue(now, slot);
        self.arm_revisit(now);
        self.dispatch(now, pool, out);
    }

    /// Drops a task at the request of its home. A waiting one is discarded; a running
    /// one is stopped, and its slot becomes free when its call ends.
    pub fn handle_drop(
        &mut self,
        now: Time,
        home: &Peer,
        key: TaskKey,
        out: &mut Vec<PlaceEffect>,
    ) {
        let Some(slot) = self.task_by_key.remove(&(home.clone(), key)) else { return };
        let Some(task) = self.tasks.get_mut(slot) else { return };
        if let Some(call) = task.call.as_mut() {
            call.awaited = false;
            out.push(PlaceEffect::Abort(call.attempt));
            return;
        }
        let pool = task.pool;
        self.dequeue(slot);
        self.discard(slot);
        self.dispatch_after_removal(now, pool, out);
    }

    /// Discards the waiting tasks of a home that is gone. Running ones continue.
    pub fn handle_home_gone(&mut self, now: Time, home: &Peer, out: &mut Vec<PlaceEffect>) {
        let of_home = self.tasks.iter().filter(|(_, task)| task.home == *home);
        let (running, waiting): (Vec<_>, Vec<_>) =
            of_home.map(|(slot, task)| (slot, task.call.is_some())).partition(|(_, runs)| *runs);
        for (slot, _) in running {
            if let Some(task) = self.tasks.get_mut(slot) {
                self.task_by_key.remove(&(task.home.clone(), task.order.key));
                task.call =
                    task.call.map(|call| super::task_table::BackendCall { awaited: false, ..call });
            }
        }
        for (slot, _) in waiting {
            self.dequeue(slot);
            self.discard(slot);
        }
        self.dispatch_all(now, out);
    }

    /// Begins a planned shutdown: refuses new orders and finishes existing tasks.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether no task is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns whether any backend of the whole inventory could ever run a task.
    pub fn can_ever_run(config: &Config, target: &Target) -> bool {
        share::can_ever_run(config, target)
    }

    /// Returns the pool for a target.
    pub(crate) fn pool_of(&self, target: &Target) -> Option<u32> {
        match target {
            Target::Service(name) => self.service_pools.get(name).copied(),
            Target::Need(need) if need.accelerators == 0 => Some(PLAIN),
            Target::Need(_) => Some(ACCELERATED),
        }
    }
}
