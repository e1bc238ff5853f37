//! Dispatch of waiting tasks to workers and to other schedulers.

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::admission::order::WaitingTask;
use crate::fleet::admission::queue::{QueueKey, SizeClass};
use crate::fleet::job::Step;
use crate::fleet::job_state::{JobState, TaskState};
use crate::fleet::metrics::{Count, Span};
use crate::fleet::placement::forwarding::Forwarding;
use crate::fleet::placement::goal::{Goal, TaskTiming};
use crate::fleet::placement::matching::{RunView, TaskView, WorkerView};
use crate::fleet::placement::round::Round;
use crate::fleet::scheduler::{Output, Scheduler, has_capacity, has_label};
use crate::fleet::workers::driver::Driver;
use crate::fleet::workers::owned::SLOW_SPEED;
use crate::fleet::workers::run::{Run, RunId, TaskRef};
use crate::{Level, Need, Time};

/// Number of tasks that may fail to be placed before the rest of the queue is skipped. More
/// than one, since a small task may fit where a large one does not.
const MAX_MISSES: usize = 6;
/// Number of tasks that may wait until their fronts know that they may be forwarded before the rest
/// of the queue is skipped. More than misses, since a front that is lost never answers.
const MAX_AWAITED: u32 = 24;
/// Assumed speed of a slow worker for its probe after an ejection. It ranks behind every
/// healthy worker and gets the probe when no other has free capacity.
const PROBE_SPEED: f64 = 0.6;
/// Time that a worker takes at most to stop a run, in milliseconds.
const STOP_MS: u64 = 50;

impl Scheduler {
    /// Starts or forwards waiting tasks wherever there is free capacity.
    pub(crate) fn dispatch(&mut self, now: Time) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        self.check_isolation(now);
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.dispatch_service(now, &service);
        }
    }

    fn dispatch_service(&mut self, now: Time, service: &Name) {
        if self.policy.has(Mechanism::Backfill) {
            return self.backfill_service(now, service);
        }
        let (mut misses, mut awaited) = (0, 0);
        let mut missed: Option<TaskRef> = None;
        let mut position: Option<QueueKey> = None;
        while let Some((key, task)) = self.queues.get(service).and_then(|q| q.next_after(position))
        {
            if self.drop_or_requeue(now, service, key, task) {
                continue;
            }
            if let Some(left_queue) = self.handle_suspected(now, task) {
                position = if left_queue { position } else { Some(key) };
                continue;
            }
            if missed.is_some_and(|missed| self.same_step(missed, task)) {
                position = Some(key);
                continue;
            }
            if self.start_here(now, task) {
                continue;
            }
            match self.forward(task, awaited) {
                Forwarding::Sent => continue,
                Forwarding::Awaited => awaited += 1,
                Forwarding::NoPlace => misses += 1,
            }
            missed = Some(task);
            position = Some(key);
            if misses >= MAX_MISSES || awaited >= MAX_AWAITED {
                return;
            }
        }
    }

    /// Starts or forwards waiting tasks in queue order, and behind those that fit no free
    /// capacity the ones that the size index finds and that delay none of them.
    fn backfill_service(&mut self, now: Time, service: &Name) {
        let Some(mut round) = self.start_round(now, service) else { return };
        let mut missed: Option<TaskRef> = None;
        let mut awaited = 0;
        while let Some((key, task)) = self.queues.get(service).and_then(|queue| round.next(queue)) {
            if self.drop_or_requeue(now, service, key, task) {
                continue;
            }
            let Some(state) = self.jobs.get(&task.job) else { return };
            let step = state.step(task.task as usize);
            let class = SizeClass::of(&step.need, step.required_label.as_ref());
            if let Some(left_queue) = self.handle_suspected(now, task) {
                if !left_queue {
                    round.skip(key, &class);
                }
            } else if missed.is_some_and(|missed| self.same_step(missed, task)) {
                round.skip(key, &class);
            } else if !self.start_matched(now, task, &mut round) {
                match self.forward(task, awaited) {
                    Forwarding::Sent => continue,
                    Forwarding::Awaited => {
                        awaited += 1;
                        round.skip(key, &class);
                    }
                    Forwarding::NoPlace => {
                        if round.at_head() {
                            self.keep_reservation(now, key, task, &mut round);
                        }
                        round.miss(key, &class);
                    }
                }
                missed = Some(task);
            }
        }
    }

    /// Starts a pass over a queue; `None` if no task waits.
    fn start_round(&self, now: Time, service: &Name) -> Option<Round> {
        let queue = self.queues.get(service).filter(|queue| !queue.is_empty())?;
        let smallest = queue.smallest_need();
        let workers = self.worker_views(now, service, |free| has_capacity(free, &smallest));
        Some(Round::new(now, workers, queue.usual().range(), queue.cpu_milli()))
    }

    /// Returns the workers of a service that may get tasks and whose free capacity is `wanted`.
    fn worker_views(
        &self,
        now: Time,
        service: &Name,
        wanted: impl Fn(&Need) -> bool,
    ) -> Vec<WorkerView> {
        let drivers = self.drivers.iter().filter(|(_, driver)| driver.entry.service == *service);
        let usable = drivers.filter(|(_, driver)| driver.usable(now));
        let views = usable.filter_map(|(id, driver)| {
            let free = driver.free_capacity();
            wanted(&free).then(|| self.worker_view(now, id, driver, free))
        });
        views.collect()
    }

    fn worker_view(&self, now: Time, id: &Name, driver: &Driver, free: Need) -> WorkerView {
        let known_speed = self.durations.speed(id);
        let probe = known_speed < SLOW_SPEED && self.health.due_for_probe(now, id, true);
        WorkerView {
            id: id.clone(),
            free,
            capacity: driver.total_capacity(),
            speed: if probe { PROBE_SPEED } else { known_speed },
            labels: driver.labels().to_vec(),
            allowed: self.health.allows(now, id, false),
            allowed_late: self.health.allows(now, id, true),
            probe,
            runs: driver.runs.values().map(|run| run_view(now, run)).collect(),
            reserved_at: Time::NEVER,
        }
    }

    /// Starts a task on the worker that matches it best, if any.
    fn start_matched(&mut self, now: Time, task: TaskRef, round: &mut Round) -> bool {
        let Some(state) = self.jobs.get(&task.job) else { return false };
        let index = task.task as usize;
        let full = state.full_workers(index);
        let view = self.task_view(now, state, index, &full);
        let Ok(worker) = round.choose(&view) else { return false };
        let end = now.after_us(view.run_us_on(worker));
        let id = worker.id.clone();
        if !self.start(now, task, &id) {
            return false;
        }
        if round.passed_over() {
            self.out.push(Output::Count(Count::TasksBackfilled));
        }
        if let Some(driver) = self.drivers.get_mut(&id) {
            let own = driver.runs.values_mut().filter(|run| run.task == Some(task));
            own.for_each(|run| run.expected_end = end);
        }
        if let Some(driver) = self.drivers.get(&id) {
            round.update(self.worker_view(now, &id, driver, driver.free_capacity()));
        }
        true
    }

    /// Reserves for a task that got no worker the one that will first have capacity for it.
    fn keep_reservation(&mut self, now: Time, key: QueueKey, task: TaskRef, round: &mut Round) {
        let Some(state) = self.jobs.get(&task.job) else { return };
        let service = &state.job.service;
        let Some(queue) = self.queues.get(service) else { return };
        let index = task.task as usize;
        let full = state.full_workers(index);
        let view = self.task_view(now, state, index, &full);
        let former = queue.reservation(&key);
        let all = || self.worker_views(now, service, |_| true);
        let reservation = round.reserve(former, &view, all);
        if Some(&reservation) == former {
            return;
        }
        let fields = reservation.worker.as_ref().map(|worker| {
            let runs = self.drivers.get(worker).map(|driver| driver.runs.values());
            let seen = runs.and_then(|runs| runs.map(|run| run.seen).min()).unwrap_or(now);
            [
                ("worker", worker.to_string()),
                ("task", task.task.to_string()),
                ("cpu_milli", view.need.cpu_milli.to_string()),
                ("in_us", reservation.at.since(now).as_micros().to_string()),
                ("age_us", now.since(seen).as_micros().to_string()),
                ("waiting", queue.len().to_string()),
            ]
        });
        let service = service.clone();
        if let Some(fields) = fields {
            self.log_job(Level::Debug, "worker_reserved", task.job, &fields);
        }
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.reserve(key, reservation);
        }
    }

    fn task_view<'a>(
        &self,
        now: Time,
        state: &'a JobState,
        index: usize,
        full_workers: &'a [Name],
    ) -> TaskView<'a> {
        let step = state.step(index);
        let run_us = self.durations.task_us(&state.job, step.estimate_ms);
        let goal = self.goal(now, state, run_us);
        TaskView {
            need: step.need,
            run_us,
            latest_end: goal.end_by,
            margin: goal.factor,
            late: goal.late,
            required_label: step.required_label.as_ref(),
            near_label: step.near_label.as_ref(),
            remote_factor: self.remote_factor,
            full_workers,
        }
    }

    /// Returns whether two tasks belong to the same step and so fit on the same workers.
    fn same_step(&self, one: TaskRef, other: TaskRef) -> bool {
        let step = |task: TaskRef| {
            let state = self.jobs.get(&task.job)?;
            state.tasks.get(task.task as usize).map(|slot| slot.step)
        };
        one.job == other.job && step(one) == step(other)
    }

    /// Requeues a task that has become late, and gives up its job if it cannot end before the
    /// deadline. Returns whether the task has left its position.
    fn drop_or_requeue(&mut self, now: Time, service: &Name, key: QueueKey, task: TaskRef) -> bool {
        let Some(state) = self.jobs.get(&task.job) else {
            if let Some(queue) = self.queues.get_mut(service) {
                queue.remove(&key);
            }
            return true;
        };
        let step = state.step(task.task as usize);
        let needed_us = self.durations.min_us(&state.job, step.estimate_ms);
        if now.after_us(needed_us as u64) > state.job.deadline {
            self.abandon_job(now, task.job);
            return true;
        }
        let late = self.rank(now, state, task.task as usize).0;
        if late == key.late {
            return false;
        }
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(&key);
        }
        self.enqueue(now, task);
        true
    }

    /// Returns whether a task can no longer meet its objective, and its rank in the queue.
    pub(crate) fn rank(&self, now: Time, state: &JobState, task: usize) -> (bool, (u32, Time)) {
        let step = state.step(task);
        let waiting = WaitingTask {
            priority: state.priority(),
            arrived: state.job.arrived,
            objective: state.objective,
            run_us: self.durations.task_us(&state.job, step.estimate_ms) as u64,
            remaining: state.remaining.iter().map(|n| u64::from(*n)).sum(),
            started: state.started.is_some(),
        };
        waiting.rank(now, self.policy)
    }

    /// Starts a task on a worker of this host, if one has free capacity.
    fn start_here(&mut self, now: Time, task: TaskRef) -> bool {
        let Some(worker) = self.pick_worker(now, task) else { return false };
        self.start(now, task, &worker)
    }

    /// Returns the worker on which the task is expected to end first; among about equal ones,
    /// the one with the least free capacity.
    fn pick_worker(&self, now: Time, task: TaskRef) -> Option<Name> {
        let state = self.jobs.get(&task.job)?;
        let index = task.task as usize;
        let step = state.step(index);
        let run_us = self.durations.task_us(&state.job, step.estimate_ms);
        let goal = self.goal(now, state, run_us);
        let mut best: Option<(f64, u32, &Name)> = None;
        for (id, driver) in &self.drivers {
            if driver.entry.service != state.job.service || !driver.usable(now) {
                continue;
            }
            let free = driver.free_capacity();
            if !has_capacity(&free, &step.need)
                || !has_label(driver.labels(), step.required_label.as_ref())
            {
                continue;
            }
            if !self.health.allows(now, id, goal.late) {
                continue;
            }
            if step.max_per_worker > 0
                && state.running_on(index, id) >= usize::from(step.max_per_worker)
            {
                continue;
            }
            let known_speed = self.durations.speed(id);
            let probe = known_speed < SLOW_SPEED && self.health.due_for_probe(now, id, goal.late);
            let speed = if probe { PROBE_SPEED } else { known_speed };
            let factor = self.locality_factor(step, driver.labels()) / speed;
            if !goal.allows(now, run_us * factor) {
                continue;
            }
            let better = best.is_none_or(|(other, cpu, _)| {
                factor < other * 0.9 || (factor < other * 1.1 && free.cpu_milli < cpu)
            });
            if better {
                best = Some((factor, free.cpu_milli, id));
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    /// Returns the factor on a task's duration for the distance of a worker from its data.
    pub(crate) fn locality_factor(&self, step: &Step, labels: &[Name]) -> f64 {
        let near = step.near_label.as_ref().is_none_or(|near| labels.contains(near));
        if near { 1.0 } else { self.remote_factor }
    }

    fn goal(&self, now: Time, state: &JobState, run_us: f64) -> Goal {
        let timing = TaskTiming {
            arrived: state.job.arrived,
            objective: state.objective,
            deadline: state.job.deadline,
            run_us,
            fast_speed: self.durations.fast_speed(),
        };
        Goal::new(now, &timing, self.policy)
    }

    /// Starts a queued task on a worker; returns whether it did.
    pub(crate) fn start(&mut self, now: Time, task: TaskRef, worker: &Name) -> bool {
        let index = task.task as usize;
        let Some(state) = self.jobs.get_mut(&task.job) else { return false };
        let Some(driver) = self.drivers.get_mut(worker) else { return false };
        let id = RunId { task: state.task_name(index), run: state.tasks[index].next_run };
        let need = state.step(index).need;
        let hold_end = state.hold_end(&self.me, &self.hold_ends);
        let call = driver.start(now, id.clone(), task, need, &state.job.spec, hold_end);
        let Some(call) = call else { return false };
        if let TaskState::Queued(key) = &state.tasks[index].state
            && let Some(queue) = self.queues.get_mut(&state.job.service)
        {
            queue.remove(key);
            self.start_rates.record_start(&state.job.service, key);
            let work = || self.durations.task_work(&state.job, state.step(index));
            self.loads.record_start(&state.job.service, key, work);
        }
        let slot = &mut state.tasks[index];
        slot.next_run += 1;
        slot.state = TaskState::Running { worker: worker.clone(), id };
        state.starts += 1;
        state.stats.last_order = Some(now);
        state.stats.speed = self.durations.speed(worker);
        self.health.record_start(worker);
        self.out.push(Output::Count(Count::Starts));
        self.out.push(Output::Call(call));
        self.mark_started(now, task.job);
        true
    }

    /// Marks a job as started and requeues its late tasks, which then go before late jobs that
    /// have not started.
    fn mark_started(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get_mut(&number).filter(|state| state.started.is_none()) else {
            return;
        };
        state.started = Some(now);
        let waited = now.since(state.received_at).as_micros() as u64;
        self.out.push(Output::Time(Span::FirstStart, waited));
        let mut late = Vec::new();
        for (task, slot) in state.tasks.iter().enumerate() {
            if let TaskState::Queued(key) = slot.state
                && key.late
            {
                late.push((task as u32, key));
            }
        }
        let service = state.job.service.clone();
        for (task, key) in late {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.remove(&key);
            }
            self.enqueue(now, TaskRef { job: number, task });
        }
    }
}

fn run_view(now: Time, run: &Run) -> RunView {
    let (percent, expected_end) =
        if run.stopping { (0, now.after_ms(STOP_MS)) } else { (run.percent, run.expected_end) };
    RunView { need: run.need, sent: run.sent, percent, seen: run.seen, expected_end }
}
