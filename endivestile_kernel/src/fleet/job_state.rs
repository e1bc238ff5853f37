//! A job as its placer holds it.

use std::sync::Arc;

use endivestile_config::model::Name;

use crate::fleet::admission::queue::QueueKey;
use crate::fleet::job::{Job, JobEnd, Step};
use crate::fleet::job_log::RunStats;
use crate::fleet::workers::run::RunId;
use crate::{Peer, Time};

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Earlier steps have not ended, or the job is being closed.
    Blocked,
    /// In the queue.
    Queued(QueueKey),
    /// Ordered at a worker.
    Running {
        /// The worker.
        worker: Name,
        /// The run.
        id: RunId,
    },
    /// Passed on to another placer, under this number.
    Forwarded(u64),
    /// Ended well.
    Done,
}

/// One task.
#[derive(Debug)]
pub(crate) struct TaskSlot {
    /// Index of its step.
    pub(crate) step: usize,
    /// Number within the step.
    pub(crate) index: u16,
    /// Where it stands.
    pub(crate) state: TaskState,
    /// Runs that failed by the task's own fault, as far as can be told.
    pub(crate) failures: u32,
    /// Number of the next run.
    pub(crate) next_run: u32,
}

impl TaskSlot {
    /// Returns whether something may run for it.
    fn busy(&self) -> bool {
        matches!(self.state, TaskState::Running { .. } | TaskState::Forwarded(_))
    }
}

/// One job.
#[derive(Debug)]
pub(crate) struct JobState {
    /// The host that wants its end.
    pub(crate) sender: Peer,
    /// That host's number for it.
    pub(crate) serial: u64,
    /// The job.
    pub(crate) job: Arc<Job>,
    /// Its tasks, step by step.
    pub(crate) tasks: Vec<TaskSlot>,
    /// Tasks of each step that have not ended.
    pub(crate) remaining: Vec<u16>,
    /// When its caller is served well at the latest.
    pub(crate) objective: Time,
    /// When its first task was ordered.
    pub(crate) started: Option<Time>,
    /// Orders of tasks.
    pub(crate) starts: u32,
    /// How it ended, while something of it may still run.
    pub(crate) ending: Option<JobEnd>,
    /// Whether its host has been told.
    pub(crate) end_sent: bool,
    /// When it came here.
    pub(crate) received_at: Time,
    /// Whether it waits until nothing of an earlier try can run.
    pub(crate) deferred: bool,
    /// Duration at speed 1 of the task that ended first, in microseconds:
    /// tasks of one job are much alike.
    pub(crate) work_us: Option<f64>,
    /// What delayed it.
    pub(crate) stats: RunStats,
}

impl JobState {
    /// Takes a job in, with the tasks of its first steps ready to be queued.
    pub(crate) fn new(now: Time, from: Peer, serial: u64, job: Arc<Job>, objective: Time) -> Self {
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
        let left = job.steps.iter().map(|step| step.count).collect();
        Self {
            sender: from,
            serial,
            job,
            tasks,
            remaining: left,
            objective,
            started: None,
            starts: 0,
            ending: None,
            end_sent: false,
            received_at: now,
            deferred: false,
            work_us: None,
            stats: RunStats::default(),
        }
    }

    /// Returns the step of a task.
    pub(crate) fn step(&self, task: usize) -> &Step {
        &self.job.steps[self.tasks[task].step]
    }

    /// Returns the name by which workers know a task.
    pub(crate) fn task_name(&self, task: usize) -> Name {
        let number = self.step(task).number;
        Name::from(format!("{}.0.{number}.{}", self.job.id, self.tasks[task].index))
    }

    /// Returns whether all tasks of the steps before have ended.
    fn ready(&self, step: usize) -> bool {
        self.job.steps[step].after.iter().all(|at| self.remaining[usize::from(*at)] == 0)
    }

    /// Returns the blocked tasks that may be queued now.
    pub(crate) fn unblocked(&self) -> Vec<usize> {
        if self.ending.is_some() || self.deferred {
            return Vec::new();
        }
        let blocked = |task: &usize| {
            let slot = &self.tasks[*task];
            slot.state == TaskState::Blocked && self.ready(slot.step)
        };
        (0..self.tasks.len()).filter(blocked).collect()
    }

    /// Returns whether a task of it may have run: one was ordered here, or is
    /// with another placer, which has not told yet.
    pub(crate) fn may_have_run(&self) -> bool {
        let forwarded = |slot: &TaskSlot| matches!(slot.state, TaskState::Forwarded(_));
        self.started.is_some() || self.tasks.iter().any(forwarded)
    }

    /// Returns whether something of it may run.
    pub(crate) fn busy(&self) -> bool {
        self.tasks.iter().any(TaskSlot::busy)
    }

    /// Returns whether all tasks have ended well.
    pub(crate) fn done(&self) -> bool {
        self.remaining.iter().all(|left| *left == 0)
    }

    /// Returns how many tasks of a task's step run on a worker.
    pub(crate) fn running_on(&self, task: usize, worker: &str) -> usize {
        let step = self.tasks[task].step;
        let there = |slot: &&TaskSlot| {
            slot.step == step
                && matches!(&slot.state, TaskState::Running { worker: at, .. } if &**at == worker)
        };
        self.tasks.iter().filter(there).count()
    }
}
