//! Messages about jobs and reports exchanged between hosts.

use std::sync::Arc;

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::fleet::evacuation::EvacuationState;
use crate::fleet::job::{Job, JobEnd, Reason};
use crate::{Frame, Time};

/// Version of the frame encoding from which on fronts are notified before tasks are forwarded.
pub(crate) const NOTICE_VERSION: u32 = 6;

/// A message about one job; `serial` is the number that the submitting host gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobMsg {
    /// Requests that a job is run.
    Submit {
        /// Number of the job.
        serial: u64,
        /// The job.
        job: Arc<Job>,
        /// Receiver's clock in the latest frame that the sender had from it. The receiver
        /// refuses a job whose echo is older than a host lease.
        echo: Time,
    },
    /// Cancels a job; answered with [`Self::Ended`] once no run of it is in progress.
    Cancel {
        /// Number of the job.
        serial: u64,
    },
    /// Reports the end of a job.
    Ended {
        /// Number of the job.
        serial: u64,
        /// Result.
        end: JobEnd,
    },
    /// Reports workers lost under tasks of a job to the hosts that may get the job next.
    Crashes(JobCrashes),
    /// Notifies a job's front that its tasks may run under another owner; answered with
    /// [`Self::ForwardNoted`], before which none is forwarded.
    MayForward {
        /// Number of the job.
        serial: u64,
    },
    /// Acknowledges [`Self::MayForward`].
    ForwardNoted {
        /// Number of the job.
        serial: u64,
    },
}

/// Workers lost under the tasks of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCrashes {
    /// The caller's id of the job.
    pub job: Name,
    /// Tasks under which a worker was lost.
    pub tasks: Vec<TaskCrashes>,
}

/// Workers lost under one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Number of the step in the caller's job.
    pub step: u16,
    /// Number of the task within its step.
    pub task: u16,
    /// Workers that were lost under it.
    pub workers: Vec<WorkerLoss>,
}

/// A worker that was lost with a run. It is named by id and incarnation, so that several
/// reports of one loss count once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLoss {
    /// Id of the worker.
    pub worker: Name,
    /// Its incarnation, in milliseconds since 1970.
    pub incarnation: u64,
    /// Whether the run was the only one on the worker.
    pub alone: bool,
    /// Whether the worker is known to have crashed; otherwise it may only be unreachable.
    pub crashed: bool,
    /// Whether several workers were lost together, so that this does not make the task suspected.
    pub together: bool,
}

/// Direct transfer of a pool to another owner while the store is unreachable. From then on
/// the sender starts nothing there, and the receiver may do so under this fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectTransfer {
    /// The pool.
    pub pool: Name,
    /// Epoch of the latest ownership record in the store.
    pub epoch: u64,
    /// Fencing token; greater than all tokens used in this epoch.
    pub token: u64,
}

impl JobMsg {
    /// Returns the first version of the frame encoding that has the message.
    pub(crate) fn version(&self) -> u32 {
        match self {
            Self::MayForward { .. } | Self::ForwardNoted { .. } => NOTICE_VERSION,
            Self::Crashes(_) => 5,
            Self::Ended { end, .. }
                if matches!(end.reason(), Some(Reason::NoRoom | Reason::Crashes)) =>
            {
                5
            }
            Self::Submit { .. } | Self::Cancel { .. } | Self::Ended { .. } => Frame::FIRST_VERSION,
        }
    }

    /// Returns the size of the job description in the message, in bytes.
    pub(crate) fn payload(&self) -> usize {
        match self {
            Self::Submit { job, .. } => job.spec.len(),
            _ => 0,
        }
    }

    /// Converts its times from a clock that reads `theirs` to one that reads `ours`.
    pub(crate) fn rebase(&mut self, theirs: Time, ours: Time) {
        match self {
            Self::Submit { job, .. } => Arc::make_mut(job).rebase(theirs, ours),
            Self::Ended { end, .. } => end.rebase(theirs, ours),
            Self::Cancel { .. }
            | Self::Crashes(_)
            | Self::MayForward { .. }
            | Self::ForwardNoted { .. } => {}
        }
    }
}

/// Free capacity and queue length of one service on a host's workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// The service.
    pub service: Name,
    /// Number of average tasks for which there is free capacity.
    pub free: u32,
    /// Number of queued tasks.
    pub waiting: u32,
}

/// State that a host reports to its peers with every frame.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HostReport {
    /// Availability zone.
    pub zone: Name,
    /// Address at which it accepts links from its peers.
    pub address: Name,
    /// Processor time that the host may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Bandwidth of the host's network link, in kilobits per second.
    pub link_kbps: u32,
    /// How far the host lags behind with its own work, in milliseconds.
    pub lag_ms: u32,
    /// Number of pools that it owns.
    pub pools: u32,
    /// Free capacity and queue length of each service.
    pub capacity: Vec<ServiceCapacity>,
    /// Number of jobs with no task started, by route.
    pub pending: Vec<(Name, u32)>,
    /// Latest states of all zones that are or were evacuated.
    pub evacuations: Vec<EvacuationState>,
}
