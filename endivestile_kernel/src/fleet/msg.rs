//! Messages between hosts that serve jobs.

use std::sync::Arc;

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::Time;
use crate::fleet::evacuation::EvacuationState;
use crate::fleet::job::{Job, JobEnd};

/// A message about one job; `serial` is the asking host's number for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobMsg {
    /// Run this.
    Submit {
        /// Number.
        serial: u64,
        /// The job.
        job: Arc<Job>,
        /// Receiver's clock at its latest frame that the sender had when it
        /// handed the job over; the receiver takes no job by an old one.
        echo: Time,
    },
    /// Nobody waits for it any more; answered with [`Self::Ended`] once nothing of it runs.
    Cancel {
        /// Number.
        serial: u64,
    },
    /// It ended, and nothing of it runs.
    Ended {
        /// Number.
        serial: u64,
        /// How.
        end: JobEnd,
    },
}

/// The owner of a pool hands it on while the store cannot be reached: from now on
/// the sender orders nothing there, and the receiver may under this token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectTransfer {
    /// The pool.
    pub pool: Name,
    /// Epoch of the record that names the owner by the store.
    pub epoch: u64,
    /// Fencing token, above all that were used under this epoch.
    pub token: u64,
}

impl JobMsg {
    /// Returns the bytes of work that the message carries.
    pub(crate) fn payload(&self) -> usize {
        match self {
            Self::Submit { job, .. } => job.spec.len(),
            _ => 0,
        }
    }

    /// Moves every instant from a clock that reads `theirs` to one that reads `ours`.
    pub(crate) fn rebase(&mut self, theirs: Time, ours: Time) {
        match self {
            Self::Submit { job, .. } => Arc::make_mut(job).rebase(theirs, ours),
            Self::Ended { end, .. } => end.rebase(theirs, ours),
            Self::Cancel { .. } => {}
        }
    }
}

/// Room of a host's workers for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// Service.
    pub service: Name,
    /// Usual tasks for which there is room now.
    pub free: u32,
    /// Tasks that wait.
    pub waiting: u32,
}

/// What a host tells its peers of itself with every frame.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HostReport {
    /// Availability zone.
    pub zone: Name,
    /// Address of its links.
    pub address: Name,
    /// Processor time that the host may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Bandwidth of the host's link, in kilobits a second.
    pub link_kbps: u32,
    /// How late the host is with its own work, in milliseconds.
    pub lag_ms: u32,
    /// Pools that it owns.
    pub pools: u32,
    /// Room for each service.
    pub capacity: Vec<ServiceCapacity>,
    /// Jobs that wait with no task started, by route.
    pub pending: Vec<(Name, u32)>,
    /// Zones of which it knows that they are or were evacuated.
    pub evacuations: Vec<EvacuationState>,
}
