//! Limits log lines about clients to one a reason and interval.

use endivestile_kernel::Time;

use crate::counters::IoMetric;

/// Interval between two lines with the same reason, in milliseconds.
const INTERVAL_MS: u64 = 5_000;

/// Counts of events by reason since their last lines.
#[derive(Debug, Default)]
pub(crate) struct PacedLog {
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    metric: IoMetric,
    reason: &'static str,
    count: u64,
    next_at: Time,
}

impl PacedLog {
    /// Counts an event. Returns the number of events since the last line if the next is due.
    pub(crate) fn admit(
        &mut self,
        metric: IoMetric,
        reason: &'static str,
        now: Time,
    ) -> Option<u64> {
        let found = |entry: &Entry| entry.metric == metric && entry.reason == reason;
        let index = self.entries.iter().position(found).unwrap_or_else(|| {
            self.entries.push(Entry { metric, reason, count: 0, next_at: Time::ZERO });
            self.entries.len() - 1
        });
        let entry = &mut self.entries[index];
        entry.count += 1;
        if now < entry.next_at {
            return None;
        }
        entry.next_at = now.after_ms(INTERVAL_MS);
        Some(std::mem::take(&mut entry.count))
    }
}
