//! Dispatch of waiting tasks to workers and to other schedulers.

use std::sync::Arc;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::admission::queue::QueueKey;
use crate::fleet::job::{Job, Step};
use crate::fleet::job_state::{JobState, TaskState};
use crate::fleet::metrics::{Count, Span};
use crate::fleet::msg::JobMsg;
use crate::fleet::placement::goal::{Goal, TaskTiming};
use crate::fleet::scheduler::{Output, Scheduler, has_capacity, has_label};
use crate::fleet::workers::owned::SLOW_SPEED;
use crate::fleet::workers::run::{RunId, TaskRef};
use crate::{Peer, Time};

/// Number of tasks that may fail to be placed before the rest of the queue is skipped. More
/// than one, since a small task may fit where a large one does not.
const MAX_MISSES: usize = 6;
/// Assumed speed of a slow worker for its probe after an ejection. It ranks behind every
/// healthy worker and gets the probe when no other has free capacity.
const PROBE_SPEED: f64 = 0.6;

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
        let mut misses = 0;
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
            if !self.start_here(now, task) && !self.forward(task) {
                misses += 1;
                missed = Some(task);
                position = Some(key);
                if misses >= MAX_MISSES {
                    return;
                }
            }
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
                || !has_label(&driver.entry, step.required_label.as_ref())
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
            let factor = self.locality_factor(step, &driver.entry.labels) / speed;
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
        let Some(call) = driver.start(now, id.clone(), task, need, &state.job.spec) else {
            return false;
        };
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

    /// Forwards a task to another scheduler with free capacity; returns whether it did.
    fn forward(&mut self, task: TaskRef) -> bool {
        if !self.policy.has(Mechanism::Forwarding) {
            return false;
        }
        let movable = |state: &&JobState| !state.job.forwarded && !state.keep_here;
        let Some(state) = self.jobs.get(&task.job).filter(movable) else { return false };
        let service = state.job.service.clone();
        let Some(peer) = self.forward_target(&service) else { return false };
        let index = task.task as usize;
        let job =
            Arc::new(forwarded_job(state.job.as_ref(), state.step(index), &state.tasks[index]));
        let serial = self.next_forward_serial();
        self.forwards.insert(serial, (peer.clone(), task));
        if let Some(free) =
            self.peer_capacity.get_mut(&peer).and_then(|capacity| capacity.get_mut(&service))
        {
            *free = free.saturating_sub(1);
        }
        let Some(state) = self.jobs.get_mut(&task.job) else { return false };
        if let TaskState::Queued(key) = &state.tasks[index].state
            && let Some(queue) = self.queues.get_mut(&service)
        {
            queue.remove(key);
        }
        state.tasks[index].state = TaskState::Forwarded(serial);
        state.starts += 1;
        self.out.push(Output::Count(Count::TasksForwarded));
        // Ahead of the task, so that its new owner does not start it without the evidence.
        if let Some(report) = self.crashes.report(&job.id) {
            self.out.push(Output::Message(peer.clone(), JobMsg::Crashes(report)));
        }
        self.out.push(Output::Message(peer, JobMsg::Submit { serial, job, echo: Time::ZERO }));
        true
    }

    /// Returns the other host with the most free capacity for a service.
    fn forward_target(&self, service: &Name) -> Option<Peer> {
        let candidates = self.peer_capacity.iter().filter_map(|(peer, capacity)| {
            let free = capacity.get(service).copied().unwrap_or(0);
            (free > 0).then_some((free, peer))
        });
        candidates.max_by_key(|(free, _)| *free).map(|(_, peer)| peer.clone())
    }
}

/// Returns a job of one task, to be run by another scheduler under the same name.
fn forwarded_job(job: &Job, step: &Step, slot: &crate::fleet::job_state::TaskSlot) -> Job {
    let only = Step {
        count: 1,
        first_task: slot.index,
        after: Vec::new(),
        // Counts only this task there, since the step's other tasks run elsewhere.
        max_per_worker: step.max_per_worker,
        ..step.clone()
    };
    // The other scheduler may start it several times before it returns it.
    let base = slot.next_run + slot.failures;
    Job { steps: vec![only], run_base: base, forwarded: true, ..job.clone() }
}
