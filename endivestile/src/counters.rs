//! Counts of the kernel and the edges.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use endivestile_kernel::Metric;

/// Counts since the start of the process, shared by all threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counters {
    /// One count per entry of [`NAMES`].
    counts: Arc<[AtomicU64; COUNT]>,
}

/// Number of counts.
const COUNT: usize = NAMES.len();

/// Names of all counts, as in the metrics' page; the order is that of [`slot`] and [`IoMetric`].
const NAMES: [&str; 26] = [
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
];

/// What the edges count themselves.
#[derive(Debug, Clone, Copy)]
pub(crate) enum IoMetric {
    /// Calls refused as invalid.
    Invalid = 16,
    /// Frames not sent: the link was down or its queue full.
    FramesDropped,
    /// Bytes of frames sent.
    FrameBytes,
    /// Links that broke or could not be made.
    LinksDown,
    /// Calls to back ends that ended as lost.
    BackendCallsLost,
    /// Calls to back ends without a connection.
    BackendCallsUnreachable,
    /// Reads and watches of the store for the watch.
    WatchCalls,
    /// Grants, refreshes and registrations.
    LeaseCalls,
    /// Calls to the store without an answer.
    StoreErrors,
    /// Log lines dropped because the log was too slow.
    LinesDropped,
}

impl Counters {
    /// Counts an event of the kernel.
    pub(crate) fn count_kernel(&self, metric: Metric, count: u64) {
        self.counts[slot(metric)].fetch_add(count, Ordering::Relaxed);
    }

    /// Counts an event of an edge.
    pub(crate) fn count_io(&self, tally: IoMetric, count: u64) {
        self.counts[tally as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Returns one count of an edge.
    pub(crate) fn io_count(&self, tally: IoMetric) -> u64 {
        self.counts[tally as usize].load(Ordering::Relaxed)
    }

    /// Returns all counts with their names.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed));
        NAMES.into_iter().zip(counts.collect::<Vec<_>>())
    }
}

fn slot(metric: Metric) -> usize {
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
