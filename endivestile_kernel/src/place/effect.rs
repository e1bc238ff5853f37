//! What a placer is told at its start, and what it asks for.

use endivestile_config::model::Name;

use crate::{AttemptId, Metric, Note, Outcome, Peer, PlaceRequest, TaskKey};

/// What a placer has to know from its start.
#[derive(Debug, Clone)]
pub struct PlacerSetup {
    /// Incarnation of this host.
    pub me: Peer,
    /// Seed of the placer's random choices.
    pub seed: u64,
}

/// What a placer asks of the kernel around it.
#[derive(Debug, Clone, PartialEq)]
pub enum PlaceEffect {
    /// Call a back end.
    Start {
        /// Number of the call.
        attempt: AttemptId,
        /// Name of the back end.
        server: Name,
        /// Address of the back end, `IP:port`.
        address: Name,
        /// Path to call; empty for a worker.
        path: Name,
        /// The order.
        order: PlaceRequest,
    },
    /// Stop a call whose answer nobody wants any more.
    Abort(AttemptId),
    /// Tell the home how its order ended.
    Ended {
        /// The home.
        home: Peer,
        /// Key at the home.
        key: TaskKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// Write a log line.
    Log(Note),
    /// Count an event for the metrics.
    Count(Metric, u64),
}
