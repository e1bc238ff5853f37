//! Which waiting task gets which room.

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

/// Waiting tasks that find no room before the rest of the queue is left alone:
/// a small one may fit where a big one does not.
const MISSES: usize = 6;
/// Speed that a worker that was slow is taken to have for one task, once its time out is
/// over: it goes behind every sound worker, and gets one while no other has room.
const PROBED: f64 = 0.6;

impl Scheduler {
    /// Starts or forwards what can be started or forwarded.
    pub(crate) fn dispatch(&mut self, now: Time) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.dispatch_service(now, &service);
        }
    }

    fn dispatch_service(&mut self, now: Time, service: &Name) {
        let mut misses = 0;
        let mut missed: Option<TaskRef> = None;
        let mut at: Option<QueueKey> = None;
        while let Some((key, task)) = self.queues.get(service).and_then(|q| q.next_after(at)) {
            if self.settled_otherwise(now, service, key, task) {
                continue;
            }
            if missed.is_some_and(|missed| self.alike(missed, task)) {
                at = Some(key);
                continue;
            }
            if !self.start_somewhere(now, task) && !self.forward(task) {
                misses += 1;
                missed = Some(task);
                at = Some(key);
                if misses >= MISSES {
                    return;
                }
            }
        }
    }

    /// Returns whether two tasks are of one step, and so find room in the same places.
    fn alike(&self, one: TaskRef, other: TaskRef) -> bool {
        let step = |task: TaskRef| {
            let state = self.jobs.get(&task.job)?;
            state.tasks.get(task.task as usize).map(|slot| slot.step)
        };
        one.job == other.job && step(one) == step(other)
    }

    /// Moves a task back that has turned late, and gives its job up when it
    /// cannot end in time at all.
    fn settled_otherwise(
        &mut self,
        now: Time,
        service: &Name,
        key: QueueKey,
        task: TaskRef,
    ) -> bool {
        let Some(state) = self.jobs.get(&task.job) else {
            if let Some(queue) = self.queues.get_mut(service) {
                queue.remove(&key);
            }
            return true;
        };
        let step = state.step(task.task as usize);
        let least = self.durations.min_us(&state.job, step.estimate_ms);
        if now.after_us(least as u64) > state.job.deadline {
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

    fn start_somewhere(&mut self, now: Time, task: TaskRef) -> bool {
        let Some(worker) = self.pick(now, task) else { return false };
        self.start(now, task, &worker)
    }

    /// Returns the worker where the task is expected to end first, the fullest among equals.
    fn pick(&self, now: Time, task: TaskRef) -> Option<Name> {
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
            let believed = self.durations.speed(id);
            let probe = believed < SLOW_SPEED && self.health.due_for_probe(now, id, goal.late);
            let speed = if probe { PROBED } else { believed };
            let cost = self.cost(step, &driver.entry.labels) / speed;
            if !goal.allows(now, run_us * cost) {
                continue;
            }
            let better = best.is_none_or(|(other, left, _)| {
                cost < other * 0.9 || (cost < other * 1.1 && free.cpu_milli < left)
            });
            if better {
                best = Some((cost, free.cpu_milli, id));
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    /// Returns how many times longer a task takes on a worker with these labels.
    fn cost(&self, step: &Step, labels: &[Name]) -> f64 {
        let near = step.near_label.as_ref().is_none_or(|near| labels.contains(near));
        if near { 1.0 } else { self.remote_factor }
    }

    fn goal(&self, now: Time, state: &JobState, run_us: f64) -> Goal {
        let timing = TaskTiming {
            arrived: state.job.arrived,
            objective: state.objective,
            deadline: state.job.deadline,
            run_us,
            fast: self.durations.fast_speed(),
        };
        Goal::new(now, &timing, self.policy)
    }

    fn start(&mut self, now: Time, task: TaskRef, worker: &Name) -> bool {
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
        self.begin(now, task.job);
        true
    }

    /// Notes that a job has begun; its other tasks go before what has not.
    fn begin(&mut self, now: Time, number: u64) {
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

    /// Passes a task on to another placer that has room, if this one has none.
    fn forward(&mut self, task: TaskRef) -> bool {
        if !self.policy.has(Mechanism::Forwarding) {
            return false;
        }
        let Some(state) = self.jobs.get(&task.job).filter(|state| !state.job.forwarded) else {
            return false;
        };
        let service = state.job.service.clone();
        let Some(peer) = self.target(&service) else { return false };
        let index = task.task as usize;
        let job =
            Arc::new(forwarded_job(state.job.as_ref(), state.step(index), &state.tasks[index]));
        let serial = self.next_forward_serial();
        self.forwards.insert(serial, (peer.clone(), task));
        if let Some(free) =
            self.peer_capacity.get_mut(&peer).and_then(|room| room.get_mut(&service))
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
        self.out.push(Output::Message(peer, JobMsg::Submit { serial, job, echo: Time::ZERO }));
        true
    }

    /// Returns the other placer with the most room.
    fn target(&self, service: &Name) -> Option<Peer> {
        let rooms = self.peer_capacity.iter().filter_map(|(peer, room)| {
            let free = room.get(service).copied().unwrap_or(0);
            (free > 0).then_some((free, peer))
        });
        rooms.max_by_key(|(free, _)| *free).map(|(_, peer)| peer.clone())
    }
}

/// Returns a job of one task, to be run elsewhere under the same name.
fn forwarded_job(job: &Job, step: &Step, slot: &crate::fleet::job_state::TaskSlot) -> Job {
    let only = Step {
        count: 1,
        first_task: slot.index,
        after: Vec::new(),
        // Its other tasks run elsewhere and cannot be counted there.
        max_per_worker: step.max_per_worker,
        ..step.clone()
    };
    // The other placer may start it several times before it gives it back.
    let base = slot.next_run + slot.failures;
    Job { steps: vec![only], run_base: base, forwarded: true, ..job.clone() }
}
