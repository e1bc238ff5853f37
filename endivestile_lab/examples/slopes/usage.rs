//! What processes use and what they have sent.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Instant;

use endivestile_testkit::{Caller, DaemonCommand, Deployment};

use crate::result::MeasureResult;

/// Ticks of `/proc/<pid>/stat` in a second.
const TICKS: f64 = 100.0;
/// Place of the user time in `/proc/<pid>/stat` after the program's name.
const USER: usize = 11;

/// Counts over all entry hosts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// When it was looked at.
    at: Instant,
    /// Processor time in seconds.
    cpu_s: f64,
    /// Resident memory in KiB.
    rss_kb: f64,
    /// Frames between hosts.
    frames: f64,
    /// Bytes of these frames.
    bytes: f64,
    /// Task starts.
    starts: f64,
    /// Calls that reached the store, watches at their creation.
    store_calls: f64,
    /// Watches that wait.
    watches: f64,
}

/// What was used between two looks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UsageDelta {
    /// Seconds between the looks.
    pub(crate) span_s: f64,
    /// Processor time in seconds.
    pub(crate) cpu_s: f64,
    /// Resident memory of all hosts at the end, in KiB.
    pub(crate) rss_kb: f64,
    /// Frames between hosts.
    pub(crate) frames: f64,
    /// Bytes of these frames.
    pub(crate) bytes: f64,
    /// Task starts.
    pub(crate) starts: f64,
    /// Calls that reached the store.
    pub(crate) store_calls: f64,
    /// Watches that waited at the end.
    pub(crate) watches: f64,
}

impl Usage {
    /// Looks at all entry hosts of a deployment.
    pub(crate) fn read(deployment: &Deployment) -> MeasureResult<Self> {
        let store = deployment.store.counts();
        let mut sum = Self {
            at: Instant::now(),
            cpu_s: 0.0,
            rss_kb: 0.0,
            frames: 0.0,
            bytes: 0.0,
            starts: 0.0,
            store_calls: store.total() as f64,
            watches: store.waiting as f64,
        };
        for host in &deployment.hosts {
            let status = Caller::new(host.address(), "").status()?;
            let count = |name: &str| status["counters"][name].as_f64().unwrap_or(0.0);
            sum.frames += count("frames");
            sum.bytes += count("frame_bytes");
            sum.starts += count("starts");
            sum.rss_kb += status["rss_kb"].as_f64().unwrap_or(0.0);
            sum.cpu_s += cpu_s(host.pid())?;
        }
        Ok(sum)
    }

    /// Returns what was used since an earlier look.
    pub(crate) fn since(&self, before: &Self) -> UsageDelta {
        UsageDelta {
            span_s: self.at.duration_since(before.at).as_secs_f64(),
            cpu_s: self.cpu_s - before.cpu_s,
            rss_kb: self.rss_kb,
            frames: self.frames - before.frames,
            bytes: self.bytes - before.bytes,
            starts: self.starts - before.starts,
            store_calls: self.store_calls - before.store_calls,
            watches: self.watches,
        }
    }
}

/// Returns the processor time of a process, in seconds.
pub(crate) fn cpu_s(pid: u32) -> MeasureResult<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(") ").ok_or("no name in stat")?;
    let ticks = fields.split(' ').skip(USER).take(2).map(str::parse::<f64>);
    Ok(ticks.collect::<Result<Vec<_>, _>>()?.iter().sum::<f64>() / TICKS)
}

/// Returns the daemon built beside this example.
pub(crate) fn built_daemon() -> MeasureResult<DaemonCommand> {
    let example = std::env::current_exe()?;
    let dir = example.parent().and_then(Path::parent).ok_or("no directory of the daemon")?;
    let program: PathBuf = dir.join("endivestile");
    if program.exists() {
        return Ok(DaemonCommand::new(program));
    }
    Err("build the daemon first: cargo build --release -p endivestile".into())
}
