//! The state of a job and its tasks at the owner that runs them.

use std::collections::BTreeMap;
use std::sync::Arc;

use endivestile_config::model::Name;

use crate::fleet::admission::queue::QueueKey;
use crate::fleet::forward_notice::ForwardNotice;
use crate::fleet::job::{Job, JobEnd, Step};
use crate::fleet::job_log::RunStats;
use crate::fleet::scheduler::HoldEnds;
use crate::fleet::workers::crash_evidence::TaskKey;
use crate::fleet::workers::run::RunId;
use crate::{Peer, Time};

/// Progress of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Not queued: earlier steps have not ended, or the job is being closed.
    Blocked,
    /// In the queue, under this key.
    Queued(QueueKey),
    /// Sent to a worker.
    Running {
        /// The worker.
        worker: Name,
        /// The run.
        id: RunId,
    },
    /// Forwarded to another owner, under this serial number.
    Forwarded(u64),
    /// Ended successfully.
    Done,
}

/// One task of a job.
#[derive(Debug)]
pub(crate) struct TaskSlot {
    /// Index of its step.
    pub(crate) step: usize,
    /// Number of the task within its step.
    pub(crate) index: u16,
    /// Progress.
    pub(crate) state: TaskState,
    /// Number of runs that failed.
    pub(crate) failures: u32,
    /// Number of the next run.
    pub(crate) next_run: u32,
}

impl TaskSlot {
    /// Returns whether a run of the task may be in progress.
    fn busy(&self) -> bool {
        matches!(self.state, TaskState::Running { .. } | TaskState::Forwarded(_))
    }
}

/// How a job was admitted.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Admission {
    /// Whether it is among the largest tenth of its route's jobs.
    pub(crate) largest: bool,
    /// Whether it is queued with the highest priority, under the guaranteed share of its kind.
    pub(crate) guaranteed: bool,
    /// Whether it was admitted because a worker was free, and free capacity is kept for it.
    pub(crate) claims: bool,
}

/// A job that this host has accepted as an owner.
#[derive(Debug)]
pub(crate) struct JobState {
    /// The host that sent the job and receives its result.
    pub(crate) sender: Peer,
    /// The sender's number for the job.
    pub(crate) serial: u64,
    /// The job.
    pub(crate) job: Arc<Job>,
    /// Tasks, ordered by step.
    pub(crate) tasks: Vec<TaskSlot>,
    /// Number of unfinished tasks of each step.
    pub(crate) remaining: Vec<u16>,
    /// Time by which the job has to end to meet its objective.
    pub(crate) objective: Time,
    /// When the first task was sent to a worker.
    pub(crate) started: Option<Time>,
    /// How it was admitted.
    pub(crate) admission: Admission,
    /// Number of tasks started or forwarded, repeats included.
    pub(crate) starts: u32,
    /// Result, set while runs of the job may still be in progress.
    pub(crate) ending: Option<JobEnd>,
    /// Whether the result has been sent.
    pub(crate) end_sent: bool,
    /// When this host received the job.
    pub(crate) received_at: Time,
    /// Whether the job waits until no run of an earlier attempt can be in progress.
    pub(crate) deferred: bool,
    /// Number of an earlier submission of the same job that has to end first, so that no task
    /// runs twice at the same time.
    pub(crate) earlier: Option<u64>,
    /// Whether its tasks are not forwarded: its front chose this zone for the whole job.
    pub(crate) keep_here: bool,
    /// Whether its front knows that its tasks may be forwarded.
    pub(crate) notice: ForwardNotice,
    /// Duration of the task that ended first, scaled to a worker of usual speed, in
    /// microseconds. Predicts the others: tasks of one job are similar.
    pub(crate) work_us: Option<f64>,
    /// Counts for the log line at the job's end.
    pub(crate) stats: RunStats,
}

impl JobState {
    /// Creates the state of a job whose tasks are all blocked.
    pub(crate) fn new(
        now: Time,
        sender: Peer,
        serial: u64,
        job: Arc<Job>,
        objective: Time,
    ) -> Self {
        let slots =
            job.steps.iter().enumerate().flat_map(|(at, step)| {
                (0..step.count).map(move |index| (at, step.first_task + index))
            });
        let tasks = slots
            .map(|(step, index)| TaskSlot {
                step,
                index,
                state: TaskState::Blocked,
                failures: 0,
                next_run: job.run_base + 1,
            })
            .collect();
        let remaining = job.steps.iter().map(|step| step.count).collect();
        Self {
            sender,
            serial,
            job,
            tasks,
            remaining,
            objective,
            started: None,
            admission: Admission::default(),
            starts: 0,
            ending: None,
            end_sent: false,
            received_at: now,
            deferred: false,
            earlier: None,
            keep_here: false,
            notice: ForwardNotice::default(),
            work_us: None,
            stats: RunStats::default(),
        }
    }

    /// Returns the priority with which its tasks are queued; 0 is the highest.
    pub(crate) fn priority(&self) -> u32 {
        if self.admission.guaranteed { 0 } else { self.job.priority }
    }

    /// Returns when its runs have to end unless its sender is heard from again; `me` is this host.
    pub(crate) fn hold_end(&self, me: &Peer, ends: &BTreeMap<Peer, HoldEnds>) -> Time {
        if self.sender == *me {
            return Time::NEVER;
        }
        let ends = ends.get(&self.sender);
        ends.map_or(Time::ZERO, |it| if self.job.forwarded { it.forwarded } else { it.own })
    }

    /// Returns the step to which a task belongs.
    pub(crate) fn step(&self, task: usize) -> &Step {
        &self.job.steps[self.tasks[task].step]
    }

    /// Returns the name of a task in calls to workers.
    pub(crate) fn task_name(&self, task: usize) -> Name {
        let number = self.step(task).number;
        Name::from(format!("{}.0.{number}.{}", self.job.id, self.tasks[task].index))
    }

    /// Returns the name of a task in evidence of crashes, the same at all hosts.
    pub(crate) fn task_key(&self, task: usize) -> TaskKey {
        let (step, task) = (self.step(task).number, self.tasks[task].index);
        TaskKey { job: self.job.id.clone(), step, task }
    }

    /// Returns whether all steps that a step depends on have ended.
    fn ready(&self, step: usize) -> bool {
        self.job.steps[step].after.iter().all(|at| self.remaining[usize::from(*at)] == 0)
    }

    /// Returns the blocked tasks that can be queued now.
    pub(crate) fn unblocked(&self) -> Vec<usize> {
        if self.ending.is_some() || self.deferred || self.earlier.is_some() {
            return Vec::new();
        }
        let blocked = |task: &usize| {
            let slot = &self.tasks[*task];
            slot.state == TaskState::Blocked && self.ready(slot.step)
        };
        (0..self.tasks.len()).filter(blocked).collect()
    }

    /// Returns whether a task of the job may have run: one was sent to a worker, or to
    /// another owner that has not reported its end yet.
    pub(crate) fn may_have_run(&self) -> bool {
        let forwarded = |slot: &TaskSlot| matches!(slot.state, TaskState::Forwarded(_));
        self.started.is_some() || self.tasks.iter().any(forwarded)
    }

    /// Returns whether a run of the job may be in progress.
    pub(crate) fn busy(&self) -> bool {
        self.tasks.iter().any(TaskSlot::busy)
    }

    /// Returns whether all tasks have ended successfully.
    pub(crate) fn done(&self) -> bool {
        self.remaining.iter().all(|n| *n == 0)
    }

    /// Returns the workers on which as many tasks of the step of `task` run as are allowed.
    pub(crate) fn full_workers(&self, task: usize) -> Vec<Name> {
        let limit = usize::from(self.step(task).max_per_worker);
        let step = self.tasks[task].step;
        let running = self.tasks.iter().filter(|slot| limit > 0 && slot.step == step);
        let mut workers: Vec<Name> = Vec::new();
        for slot in running {
            if let TaskState::Running { worker, .. } = &slot.state
                && !workers.contains(worker)
                && self.running_on(task, worker) >= limit
            {
                workers.push(worker.clone());
            }
        }
        workers
    }

    /// Returns how many tasks of the same step as `task` run on a worker.
    pub(crate) fn running_on(&self, task: usize, worker: &str) -> usize {
        let step = self.tasks[task].step;
        let on_worker = |slot: &&TaskSlot| {
            slot.step == step
                && matches!(&slot.state, TaskState::Running { worker: at, .. } if &**at == worker)
        };
        self.tasks.iter().filter(on_worker).count()
    }
}
