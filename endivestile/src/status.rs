//! Status of the host, for operators and metrics.

use std::fs;

use endivestile_kernel::Kernel;
use serde_json::{Map, Value};

use crate::clock::Clock;
use crate::counters::Counters;

/// Returns the resident memory of the process in KiB, or 0 if it cannot be read.
pub(crate) fn rss_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Returns the status of the host as JSON.
pub(crate) fn status_json(
    kernel: &Kernel,
    clock: Clock,
    counters: &Counters,
    open_calls: usize,
) -> Vec<u8> {
    let mut page = match serde_json::to_value(kernel.status(clock.now())) {
        Ok(Value::Object(page)) => page,
        _ => Map::new(),
    };
    let counts: Map<String, Value> =
        counters.all().map(|(name, count)| (name.to_owned(), Value::from(count))).collect();
    page.insert("counters".to_owned(), Value::Object(counts));
    page.insert("open_calls".to_owned(), Value::from(open_calls));
    page.insert("rss_kb".to_owned(), Value::from(rss_kb()));
    serde_json::to_vec(&page).unwrap_or_default()
}
