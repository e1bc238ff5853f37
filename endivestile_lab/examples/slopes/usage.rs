//! Processor time, memory and message counters of a deployment.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Instant;

use endivestile_testkit::{Caller, DaemonCommand, Deployment};

use crate::result::MeasureResult;

/// Clock ticks of `/proc/<pid>/stat` per second.
const TICKS_PER_S: f64 = 100.0;
/// Index of the user time in `/proc/<pid>/stat`, counted from behind the program's name; the
/// system time follows it.
const USER_TIME_INDEX: usize = 11;

/// Usage and counters of all entry hosts together, at one time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Time of the reading.
    at: Instant,
    /// Processor time, in seconds.
    cpu_s: f64,
    /// Resident memory, in KiB.
    rss_kb: f64,
    /// Number of frames between hosts.
    frames: f64,
    /// Bytes of these frames.
    bytes: f64,
    /// Number of task starts.
    starts: f64,
    /// Number of calls that reached the store; a watch counts once, when it is created.
    store_calls: f64,
    /// Number of open watches.
    watches: f64,
}

/// Difference of two readings.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UsageDelta {
    /// Time between the readings, in seconds.
    pub(crate) span_s: f64,
    /// Processor time, in seconds.
    pub(crate) cpu_s: f64,
    /// Resident memory of all hosts at the end, in KiB.
    pub(crate) rss_kb: f64,
    /// Number of frames between hosts.
    pub(crate) frames: f64,
    /// Bytes of these frames.
    pub(crate) bytes: f64,
    /// Number of task starts.
    pub(crate) starts: f64,
    /// Number of calls that reached the store.
    pub(crate) store_calls: f64,
    /// Number of open watches at the end.
    pub(crate) watches: f64,
}

impl Usage {
    /// Reads the usage of all entry hosts and the store of a deployment.
    pub(crate) fn read(deployment: &Deployment) -> MeasureResult<Self> {
        let store = deployment.store.counts();
        let mut usage = Self {
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
            usage.frames += count("frames");
            usage.bytes += count("frame_bytes");
            usage.starts += count("starts");
            usage.rss_kb += status["rss_kb"].as_f64().unwrap_or(0.0);
            usage.cpu_s += cpu_s(host.pid())?;
        }
        Ok(usage)
    }

    /// Returns the difference from an earlier reading.
    pub(crate) fn since(&self, earlier: &Self) -> UsageDelta {
        UsageDelta {
            span_s: self.at.duration_since(earlier.at).as_secs_f64(),
            cpu_s: self.cpu_s - earlier.cpu_s,
            rss_kb: self.rss_kb,
            frames: self.frames - earlier.frames,
            bytes: self.bytes - earlier.bytes,
            starts: self.starts - earlier.starts,
            store_calls: self.store_calls - earlier.store_calls,
            watches: self.watches,
        }
    }
}

/// Returns the processor time that a process has used, in seconds.
pub(crate) fn cpu_s(pid: u32) -> MeasureResult<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, times) = stat.rsplit_once(") ").ok_or("unexpected format of the stat file")?;
    let ticks = times.split(' ').skip(USER_TIME_INDEX).take(2).map(str::parse::<f64>);
    Ok(ticks.collect::<Result<Vec<_>, _>>()?.iter().sum::<f64>() / TICKS_PER_S)
}

/// Returns the daemon built with this example.
pub(crate) fn built_daemon() -> MeasureResult<DaemonCommand> {
    let example = std::env::current_exe()?;
    let dir =
        example.parent().and_then(Path::parent).ok_or("the example is not in a build directory")?;
    let program: PathBuf = dir.join("endivestile");
    if program.exists() {
        return Ok(DaemonCommand::new(program));
    }
    Err("build the daemon first: cargo build --release -p endivestile".into())
}
