//! Selection and start of waiting tasks.

use super::effect::PlaceEffect;
use super::placer::{ACCELERATED, PLAIN, Placer};
use super::policy_input::{PolicyInput, TaskProfile};
use super::resources::Resources;
use super::task_table::BackendCall;
use super::timer::Timer;
use crate::{AttemptId, Metric, Time};

/// Number of teams whose first tasks are considered.
const HEAD_TEAMS: usize = 4;

/// Number of tasks considered per team: on workers a small task may fit where a
/// larger one does not.
const TASKS_PER_TEAM: usize = 4;

/// Number of smaller tasks that may overtake one that does not fit before a worker
/// is reserved for it.
const MAX_OVERTAKEN: u8 = 8;

/// Factor by which the elapsed time of the median running task may exceed the mean
/// run time before its backend counts as slower.
const OVERDUE_FACTOR: f64 = 3.0;

/// Number of free backends compared by rack.
const RACK_CHOICES: usize = 4;

/// Result of choosing a backend for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pick {
    /// Start on this endpoint.
    At(usize),
    /// No backend has enough free capacity.
    Full,
    /// Waiting for a faster backend is better.
    Wait,
    /// On the free backend the task would miss its deadline.
    Late,
}

impl Placer {
    /// Starts waiting tasks in all pools. Accelerators are offered first to the tasks
    /// that need them.
    pub(crate) fn dispatch_all(&mut self, now: Time, out: &mut Vec<PlaceEffect>) {
        self.dispatch(now, ACCELERATED, out);
        for pool in 0..self.pools.len() as u32 {
            self.dispatch(now, pool, out);
        }
    }

    /// Starts waiting tasks of a pool.
    pub(crate) fn dispatch(&mut self, now: Time, pool: u32, out: &mut Vec<PlaceEffect>) {
        while let Some((slot, at)) = self.next_start(now, pool) {
            self.start(now, slot, at, out);
        }
    }

    /// Returns the next task to start and its endpoint.
    fn next_start(&mut self, now: Time, pool: u32) -> Option<(u32, usize)> {
        let mut heads = [0; HEAD_TEAMS * TASKS_PER_TEAM];
        let count = self.heads(pool, &mut heads);
        let sized = !self.pools[pool as usize].runs_on_workers();
        let mut first = Pick::Full;
        for (step, &slot) in heads[..count].iter().enumerate() {
            let smaller_waits = sized && self.smaller_behind(&heads[step..count]);
            let pick = self.pick(now, pool, slot, smaller_waits);
            if step == 0 {
                first = pick;
            }
            match pick {
                Pick::At(at) => {
                    if step > 0 && first == Pick::Full {
                        self.count_overtaken(heads[0]);
                    }
                    return Some((slot, at));
                }
                Pick::Wait => self.arm_wait_limit(now, pool, slot),
                Pick::Full if !self.pools[pool as usize].runs_on_workers() => return None,
                Pick::Full | Pick::Late => {}
            }
        }
        None
    }

    /// Returns whether one of `heads` is smaller than the first and of the same team.
    fn smaller_behind(&self, heads: &[u32]) -> bool {
        let sizes = heads.iter().filter_map(|slot| self.tasks.get(*slot));
        let mut sizes = sizes.map(|task| (task.team, task.ln_size));
        let Some((team, size)) = sizes.next() else { return false };
        sizes.take_while(|(other, _)| *other == team).any(|(_, other)| other < size)
    }

    fn heads(&self, pool: u32, heads: &mut [u32]) -> usize {
        let pool = &self.pools[pool as usize];
        if pool.queue.waiting() == 0 || pool.usable_count == 0 {
            return 0;
        }
        let (teams, per_team) = if pool.runs_on_workers() {
            (HEAD_TEAMS, TASKS_PER_TEAM)
        } else if pool.declared.slope() > 0.0 {
            (1, HEAD_TEAMS * TASKS_PER_TEAM)
        } else {
            (HEAD_TEAMS, 1)
        };
        let mut count = 0;
        for (at, slot) in pool.queue.heads(teams, per_team).enumerate() {
            heads[at] = slot;
            count = at + 1;
        }
        count
    }

    /// Chooses a backend for a task.
    fn pick(&mut self, now: Time, id: u32, slot: u32, smaller_waits: bool) -> Pick {
        let Some(task) = self.tasks.get(slot) else { return Pick::Full };
        let (demand, run, reserved) = (task.demand(), task.order.key.run, task.reserved_worker);
        let (ln_size, wait_until) = (task.ln_size, task.wait_until);
        let (deadline, trial) = (task.order.deadline, task.trial);
        if let Some(at) = reserved.and_then(|backend| self.reserved_endpoint(id, backend, &demand))
        {
            return Pick::At(at);
        }
        let fastest_free = self.find_fastest(now, id, &demand, run);
        if fastest_free.is_none() {
            return Pick::Full;
        }
        let pool = &self.pools[id as usize];
        let input = PolicyInput::new(
            pool,
            demand,
            fastest_free,
            now,
            TaskProfile { ln_size, wait_until, smaller_waits },
        );
        let Some(at) = (self.choose)(&input, &mut self.rng) else { return Pick::Wait };
        if !input.is_free(at) {
            return Pick::Full;
        }
        let late = pool.has_estimate()
            && now.after_us((pool.typical_us(at) * ln_size.exp()) as u64) > deadline;
        if late && !trial { Pick::Late } else { Pick::At(at) }
    }

    fn reserved_endpoint(&self, id: u32, backend: u32, demand: &Resources) -> Option<usize> {
        let backend = &self.backends[backend as usize];
        let endpoint = backend.endpoints.iter().find(|(pool, _)| *pool == id);
        endpoint.filter(|_| backend.free().covers(demand)).map(|(_, at)| *at as usize)
    }

    /// Returns the fastest endpoint with enough free capacity. Among equally fast ones
    /// it prefers another rack than that of the job's last task.
    fn find_fastest(&mut self, now: Time, id: u32, demand: &Resources, run: u64) -> Option<usize> {
        let pool = &self.pools[id as usize];
        if pool.runs_on_workers() {
            return pool.free_tree.find(demand, 0);
        }
        for _ in 0..RACK_CHOICES {
            let at = self.pools[id as usize].free.first()?.at();
            if !self.mark_overdue(now, id, at) {
                break;
            }
        }
        let pool = &self.pools[id as usize];
        let first = pool.free.first()?;
        let Some((_, rack)) = pool.last_started.filter(|(last, _)| *last == run) else {
            return Some(first.at());
        };
        let mut equals = pool
            .free
            .iter()
            .take(RACK_CHOICES)
            .take_while(|key| key.run_time_step() <= first.run_time_step() + 1);
        let other = equals.find(|key| pool.endpoints[key.at()].rack != rack);
        Some(other.unwrap_or(first).at())
    }

    /// Raises the estimated run time of a backend whose tasks are long overdue. Returns
    /// whether it changed.
    ///
    /// A backend that becomes slow shows it only when its first slow task ends. Until
    /// then it looks the fastest and fills up. The median running task counts, not the
    /// longest, so that a single long task has no effect.
    fn mark_overdue(&mut self, now: Time, id: u32, at: usize) -> bool {
        let pool = &mut self.pools[id as usize];
        let backend = pool.endpoints[at].backend;
        let state = &self.backends[backend as usize];
        let Some(start) = state.median_start().filter(|_| state.running.len() > 2) else {
            return false;
        };
        let elapsed = now.since(start).as_micros() as f64;
        if !pool.has_estimate() || elapsed < pool.mean_us(at) * OVERDUE_FACTOR {
            return false;
        }
        pool.endpoints[at].overdue_ln = Some(elapsed.ln());
        self.refresh(backend);
        true
    }

    /// Counts that a task which did not fit was overtaken, and reserves a worker for it
    /// once that happens too often.
    ///
    /// Otherwise small tasks would fill every gap, and a task that needs most of a
    /// worker would never find one empty enough and miss its deadline in a pool that is
    /// otherwise fast.
    fn count_overtaken(&mut self, slot: u32) {
        let Some(task) = self.tasks.get_mut(slot) else { return };
        task.overtaken = task.overtaken.saturating_add(1);
        if task.overtaken < MAX_OVERTAKEN || task.reserved_worker.is_some() {
            return;
        }
        let demand = task.demand();
        let endpoints = &self.pools[task.pool as usize].endpoints;
        let fitting = endpoints.iter().map(|endpoint| endpoint.backend).filter(|id| {
            let backend = &self.backends[*id as usize];
            backend.is_usable()
                && backend.reserved_for.is_none()
                && backend.capacity.covers(&demand)
        });
        let best =
            fitting.max_by_key(|id| self.backends[*id as usize].free().fit_permille(&demand));
        let Some(id) = best else { return };
        task.reserved_worker = Some(id);
        self.backends[id as usize].reserved_for = Some(slot);
        self.refresh(id);
    }

    /// Sets how long a task waits for a faster backend, unless it is already set.
    fn arm_wait_limit(&mut self, now: Time, id: u32, slot: u32) {
        let Some(task) = self.tasks.get_mut(slot) else { return };
        if task.wait_until.is_some() {
            return;
        }
        let pool = &self.pools[id as usize];
        let Some(first) = pool.first_free(&task.demand()) else { return };
        let until = now.after_us((pool.typical_us(first) * task.ln_size.exp()) as u64 + 1);
        task.wait_until = Some(until);
        self.timers.insert((until, Timer::WaitLimit(id)));
    }

    /// Starts a task on an endpoint of its pool.
    fn start(&mut self, now: Time, slot: u32, at: usize, out: &mut Vec<PlaceEffect>) {
        self.dequeue(slot);
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let Some(task) = self.tasks.get_mut(slot) else { return };
        let pool = &mut self.pools[task.pool as usize];
        let demand = task.demand();
        let id = pool.endpoints[at].backend;
        let share = f64::from(pool.units(&demand)) / pool.mean_units.max(1.0);
        let cost = (pool.mean_us(at) * task.ln_size.exp() * share) as u64;
        pool.queue.charge(task.team, cost);
        pool.cursor = at + 1;
        pool.starts = pool.starts.wrapping_add(1);
        pool.endpoints[at].last_start = pool.starts;
        pool.last_started = Some((task.order.key.run, pool.endpoints[at].rack));
        task.call = Some(BackendCall { attempt, backend: id, started: now, cost, awaited: true });
        let backend = &mut self.backends[id as usize];
        backend.add_task(now, slot, &demand);
        out.push(PlaceEffect::Start {
            attempt,
            server: backend.name.clone(),
            address: backend.address.clone(),
            path: pool.path.clone(),
            order: task.order.clone(),
        });
        out.push(PlaceEffect::Count(Metric::Starts, 1));
        self.task_by_attempt.insert(attempt, slot);
        self.refresh(id);
    }

    /// Starts tasks on workers that a removed task held back: it may have been ahead of
    /// smaller ones or had a worker reserved.
    pub(crate) fn dispatch_after_removal(
        &mut self,
        now: Time,
        pool: u32,
        out: &mut Vec<PlaceEffect>,
    ) {
        if self.pools[pool as usize].runs_on_workers() {
            self.dispatch(now, ACCELERATED, out);
            self.dispatch(now, PLAIN, out);
        }
    }
}
