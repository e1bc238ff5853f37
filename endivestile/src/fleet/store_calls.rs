//! Counts of the calls to the platform's store, by purpose and outcome.

use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use endivestile_wire::adapter::StoreCallError;

/// Shortest time between two log lines about failed calls, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePurpose {
    /// Reads and watches of the operators' keys.
    OperatorKeys,
    /// Reads and watches of host registrations and ownership records.
    OwnKeys,
    /// Reads and watches of the workers' registrations.
    Workers,
    /// Conditional writes.
    Writes,
}

impl StorePurpose {
    const ALL: [Self; 4] = [Self::OperatorKeys, Self::OwnKeys, Self::Workers, Self::Writes];

    /// Returns the label on the metrics page and in log lines.
    const fn name(self) -> &'static str {
        match self {
            Self::OperatorKeys => "operator_keys",
            Self::OwnKeys => "own_keys",
            Self::Workers => "workers",
            Self::Writes => "writes",
        }
    }
}

/// Labels of the outcomes, in the order of [`outcome_index`].
const OUTCOMES: [&str; 5] = ["answered", "refused", "compacted", "conflict", "lost"];

fn outcome_index(error: Option<StoreCallError>) -> usize {
    match error {
        None => 0,
        Some(StoreCallError::Busy) => 1,
        Some(StoreCallError::Compacted) => 2,
        Some(StoreCallError::Raced(_)) => 3,
        Some(StoreCallError::Lost) => 4,
    }
}

type Counts = [[u64; OUTCOMES.len()]; StorePurpose::ALL.len()];

/// Counts since the start of the process.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreCalls {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    counts: Counts,
    /// When failed calls may be logged again.
    next_log: Option<Instant>,
}

impl StoreCalls {
    /// Counts a call that was answered, or that failed with `error`. Logs the counts of its
    /// purpose after a failure, once a second at most.
    pub(crate) fn record(&self, purpose: StorePurpose, error: Option<StoreCallError>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.counts[purpose as usize][outcome_index(error)] += 1;
        let failed = matches!(error, Some(StoreCallError::Busy | StoreCallError::Lost));
        let now = Instant::now();
        if !failed || inner.next_log.is_some_and(|at| at > now) {
            return;
        }
        inner.next_log = Some(now + Duration::from_millis(LOG_INTERVAL_MS));
        let mut text = String::new();
        for purpose in StorePurpose::ALL {
            let [answered, refused, _, _, lost] = inner.counts[purpose as usize];
            // Writing to a string cannot fail.
            let _ = write!(text, " {}={answered}/{refused}/{lost}", purpose.name());
        }
        log::info!("event=store_calls_failed last={} answered/refused/lost:{text}", purpose.name());
    }

    /// Appends the counts to the metrics page, one line for each pair that has occurred.
    pub(crate) fn write_page(&self, page: &mut String) {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        for purpose in StorePurpose::ALL {
            for (outcome, count) in OUTCOMES.iter().zip(inner.counts[purpose as usize]) {
                if count > 0 {
                    let _ = writeln!(
                        page,
                        "endivestile_store_calls{{purpose=\"{}\",outcome=\"{outcome}\"}} {count}",
                        purpose.name()
                    );
                }
            }
        }
    }
}
