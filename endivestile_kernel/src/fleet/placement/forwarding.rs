//! Forwarding of tasks to owners of other zones.

use std::sync::Arc;

use endivestile_config::Mechanism;

use crate::fleet::forward_notice::{ForwardNotice, ForwardStep};
use crate::fleet::job::{Job, Step};
use crate::fleet::job_state::{JobState, TaskSlot, TaskState};
use crate::fleet::metrics::Count;
use crate::fleet::msg::JobMsg;
use crate::fleet::scheduler::{Output, Scheduler};
use crate::fleet::workers::run::TaskRef;
use crate::{Peer, Time};

/// What became of a task that might be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Forwarding {
    /// It was forwarded.
    Sent,
    /// It stays until its front knows that it may be forwarded.
    Awaited,
    /// It stays: no other owner has free capacity for it, or its job is not forwarded.
    NoPlace,
}

impl Scheduler {
    /// Forwards a task to another scheduler with free capacity, unless that is needed for the
    /// `awaited` tasks ahead of it.
    pub(crate) fn forward(&mut self, task: TaskRef, awaited: u32) -> Forwarding {
        if !self.policy.has(Mechanism::Forwarding) {
            return Forwarding::NoPlace;
        }
        let movable = |state: &&JobState| !state.job.forwarded && !state.keep_here;
        let Some(state) = self.jobs.get(&task.job).filter(movable) else {
            return Forwarding::NoPlace;
        };
        let service = state.job.service.clone();
        let Some(peer) = self.forward_target(state, task.task as usize, awaited) else {
            return Forwarding::NoPlace;
        };
        if !self.front_notified(task.job) {
            return Forwarding::Awaited;
        }
        let Some(state) = self.jobs.get(&task.job) else { return Forwarding::NoPlace };
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
        let Some(state) = self.jobs.get_mut(&task.job) else { return Forwarding::NoPlace };
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
        Forwarding::Sent
    }

    /// Returns whether tasks of a job may be forwarded; notifies its front if it has to be.
    fn front_notified(&mut self, number: u64) -> bool {
        let Some(state) = self.jobs.get_mut(&number) else { return false };
        match state.notice.step(state.sender == self.me) {
            ForwardStep::Forward => return true,
            ForwardStep::Wait => {}
            ForwardStep::Notify => {
                state.notice = ForwardNotice::Sent;
                let msg = JobMsg::MayForward { serial: state.serial };
                self.out.push(Output::Message(state.sender.clone(), msg));
            }
        }
        false
    }

    /// Records that the front of a job knows that its tasks may be forwarded.
    pub(crate) fn acknowledge_notice(&mut self, from: &Peer, serial: u64) {
        let number = self.by_sender.get(&(from.clone(), serial));
        if let Some(state) = number.and_then(|number| self.jobs.get_mut(number)) {
            state.notice = ForwardNotice::Acknowledged;
            self.dirty = true;
        }
    }

    /// Returns the other host with the most free capacity for a task behind the `awaited` ones.
    ///
    /// A host does not know which other tasks of the step it has, so it gets no more of them than
    /// may run on one worker.
    fn forward_target(&self, state: &JobState, task: usize, awaited: u32) -> Option<Peer> {
        let limit = usize::from(state.step(task).max_per_worker);
        let accepts = |peer: &Peer| limit == 0 || self.forwarded_to(state, task, peer) < limit;
        let candidates = self.peer_capacity.iter().filter_map(|(peer, capacity)| {
            let free = capacity.get(&state.job.service).copied().unwrap_or(0);
            (free > awaited && accepts(peer)).then_some((free, peer))
        });
        candidates.max_by_key(|(free, _)| *free).map(|(_, peer)| peer.clone())
    }

    /// Returns how many tasks of the same step as `task` are forwarded to a host.
    fn forwarded_to(&self, state: &JobState, task: usize, peer: &Peer) -> usize {
        let step = state.tasks[task].step;
        let there = state.tasks.iter().filter(|slot| match slot.state {
            TaskState::Forwarded(serial) => {
                slot.step == step && self.forwards.get(&serial).is_some_and(|(at, _)| at == peer)
            }
            _ => false,
        });
        there.count()
    }
}

/// Returns a job of one task, to be run by another scheduler under the same name.
fn forwarded_job(job: &Job, step: &Step, slot: &TaskSlot) -> Job {
    let only = Step { count: 1, first_task: slot.index, after: Vec::new(), ..step.clone() };
    // The other scheduler may start it several times before it returns it.
    let base = slot.next_run + slot.failures;
    let max_attempts = job.max_attempts.saturating_sub(slot.failures).max(1);
    Job { steps: vec![only], max_attempts, run_base: base, forwarded: true, ..job.clone() }
}
