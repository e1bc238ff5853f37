//! Status of the host, for operators and metrics.

use std::fs;

use endivestile_kernel::Kernel;
use serde_json::{Map, Value};

use crate::clock::Clock;
use crate::counters::Counters;
use crate::http_server::Gate;

/// Returns the resident memory of the process in KiB, or 0 if it cannot be read.
pub(crate) fn rss_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Length of a clock tick in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;

/// Returns the processor time that the process has used, in milliseconds, or 0 if it cannot be
/// read.
pub(crate) fn cpu_ms() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program's name in parentheses may contain spaces; user and system time are the 12th and
    // 13th field after it.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum::<u64>() * TICK_MS
}

/// Returns the status of the host as JSON.
pub(crate) fn status_json(
    kernel: &Kernel,
    clock: Clock,
    counters: &Counters,
    callers: &Gate,
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
    let (connections, pool_bytes) = callers.held();
    page.insert("connections".to_owned(), Value::from(connections));
    page.insert("pool_bytes".to_owned(), Value::from(pool_bytes));
    page.insert("rss_kb".to_owned(), Value::from(rss_kb()));
    serde_json::to_vec(&page).unwrap_or_default()
}
