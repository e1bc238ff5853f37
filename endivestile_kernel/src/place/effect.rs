//! Settings and effects of a placer.

use endivestile_config::model::Name;

use crate::{AttemptId, Metric, Note, Outcome, Peer, PlaceRequest, TaskKey};

/// Settings of a placer.
#[derive(Debug, Clone)]
pub struct PlacerSetup {
    /// Incarnation of this host.
    pub me: Peer,
    /// Seed of the placer's random choices.
    pub seed: u64,
}

/// Effects that the placer requests from the kernel.
#[derive(Debug, Clone, PartialEq)]
pub enum PlaceEffect {
    /// Call a backend to start a task.
    Start {
        /// Identifier of the call.
        attempt: AttemptId,
        /// Name of the backend.
        server: Name,
        /// Address of the backend, `IP:port`.
        address: Name,
        /// Path to call; empty for a worker.
        path: Name,
        /// The order.
        order: PlaceRequest,
    },
    /// Stop a call whose answer is no longer needed.
    Abort(AttemptId),
    /// Report the outcome of an order to its home.
    Ended {
        /// Host that sent the order.
        home: Peer,
        /// Key of the task at its home.
        key: TaskKey,
        /// Outcome.
        outcome: Outcome,
    },
    /// Write a log line.
    Log(Note),
    /// Count an event for the metrics.
    Count(Metric, u64),
}
