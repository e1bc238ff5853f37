//! Counters of the kernel and the I/O modules.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use endivestile_kernel::Metric;

/// Counters since the start of the process, shared by all threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counters {
    /// One counter per entry of [`NAMES`].
    counts: Arc<[AtomicU64; COUNTERS]>,
}

/// Number of counters.
const COUNTERS: usize = NAMES.len();

/// Names of all counters in the metrics, in the order of [`kernel_index`] and [`IoMetric`].
const NAMES: [&str; 31] = [
    "accepted",
    "refused_not_run",
    "refused_unknown",
    "complete",
    "failed",
    "starts",
    "retries",
    "forwards",
    "handoffs",
    "records",
    "frames",
    "idle_frames",
    "resent",
    "store_calls",
    "takeovers",
    "ejections",
    "invalid",
    "frames_dropped",
    "frame_bytes",
    "links_down",
    "ends_lost",
    "ends_unreachable",
    "watch_calls",
    "lease_calls",
    "store_errors",
    "lines_dropped",
    "connections_closed",
    "connections_refused",
    "bodies_refused",
    "requests_late",
    "accepts_failed",
];

/// Counters of the I/O modules. The discriminants index [`NAMES`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum IoMetric {
    /// Calls refused as invalid.
    Invalid = 16,
    /// Frames dropped because the link was down or its queue was full.
    FramesDropped,
    /// Bytes of sent frames.
    FrameBytes,
    /// Links that broke or could not be established.
    LinksDown,
    /// Calls to backend servers or workers whose answer was lost.
    BackendCallsLost,
    /// Calls to backend servers or workers that could not be reached.
    BackendCallsUnreachable,
    /// Reads and watches of the platform's store.
    WatchCalls,
    /// Store calls that grant, refresh or revoke a lease.
    LeaseCalls,
    /// Store calls that failed.
    StoreErrors,
    /// Log lines dropped because the output was too slow.
    LinesDropped,
    /// Connections closed in favour of others.
    ConnectionsClosed,
    /// New connections refused because all others were owed an answer.
    ConnectionsRefused,
    /// Requests refused because the process held as many bytes as it may.
    BodiesRefused,
    /// Requests that were not received in time, and answers that were not read in time.
    RequestsLate,
    /// Connections that could not be accepted.
    AcceptsFailed,
}

impl Counters {
    /// Adds to a counter of the kernel.
    pub(crate) fn count_kernel(&self, metric: Metric, count: u64) {
        self.counts[kernel_index(metric)].fetch_add(count, Ordering::Relaxed);
    }

    /// Adds to a counter of an I/O module.
    pub(crate) fn count_io(&self, metric: IoMetric, count: u64) {
        self.counts[metric as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Returns a counter of an I/O module.
    pub(crate) fn io_count(&self, metric: IoMetric) -> u64 {
        self.counts[metric as usize].load(Ordering::Relaxed)
    }

    /// Returns all counters with their names.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed));
        NAMES.into_iter().zip(counts.collect::<Vec<_>>())
    }
}

fn kernel_index(metric: Metric) -> usize {
    match metric {
        Metric::Accepted => 0,
        Metric::RefusedNotRun => 1,
        Metric::RefusedUnknown => 2,
        Metric::Complete => 3,
        Metric::Failed => 4,
        Metric::Starts => 5,
        Metric::Retries => 6,
        Metric::Forwards => 7,
        Metric::Handoffs => 8,
        Metric::Records => 9,
        Metric::Frames => 10,
        Metric::IdleFrames => 11,
        Metric::Resent => 12,
        Metric::StoreCalls => 13,
        Metric::Takeovers => 14,
        Metric::Ejections => 15,
    }
}
