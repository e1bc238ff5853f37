//! Arguments of `load`.

use std::net::SocketAddr;

use clap::Args;

/// Limit of concurrent callers; each uses a thread.
const MAX_CALLERS: u64 = 1_024;

/// Arguments of `load`.
#[derive(Debug, Clone, Args)]
pub(crate) struct LoadArgs {
    /// Caller-facing address of an entry host, IP:port; several are used in turn.
    #[arg(long = "host", required = true, value_delimiter = ',')]
    pub(crate) hosts: Vec<SocketAddr>,
    /// Allows hosts other than loopback addresses (127.0.0.0/8 and ::1).
    #[arg(long)]
    pub(crate) allow_remote: bool,
    /// Duration in which submissions start, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub(crate) seconds: u64,
    /// Number of callers; each waits for an answer before its next submission.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=MAX_CALLERS))]
    pub(crate) callers: u64,
    /// Submissions per second, at random times; without it each caller continues at once.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    pub(crate) rate: Option<u64>,
    /// Seed of all random values.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Teams, chosen at random.
    #[arg(long = "team", required = true, value_delimiter = ',')]
    pub(crate) teams: Vec<String>,
    /// Services, chosen at random.
    #[arg(long = "service", value_delimiter = ',')]
    pub(crate) services: Vec<String>,
    /// Percentage of the submissions that are jobs.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=100))]
    pub(crate) job_percent: u8,
    /// Maximum number of tasks of a job; the number is drawn from 1 to this.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=200))]
    pub(crate) tasks: u64,
    /// CPU that a task of a job needs on a worker, in thousandths of a core; if CPU
    /// and memory are both 0, tasks of jobs are sent to the services.
    #[arg(long, default_value_t = 0)]
    pub(crate) cpu_milli: u32,
    /// Memory that a task of a job needs on a worker, in MiB.
    #[arg(long, default_value_t = 0)]
    pub(crate) memory_mb: u32,
    /// Percentage of the requests that are idempotent.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u8).range(0..=100))]
    pub(crate) idempotent_percent: u8,
    /// Shortest run time of a task, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub(crate) run_ms: u32,
    /// Longest run time of a task, in milliseconds; defaults to the shortest.
    #[arg(long)]
    pub(crate) max_run_ms: Option<u32>,
    /// Work of a task; {ms} is replaced by its run time, {key} by a text that is
    /// unique in the load.
    #[arg(long, default_value = r#"{"key":"{key}","ms":{ms}}"#)]
    pub(crate) work: String,
    /// Time until the deadline, in milliseconds.
    #[arg(long, default_value_t = 10_000,
          value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub(crate) deadline_ms: u64,
    /// Uses ids that this tool generates and the hosts hash, in place of issued ones.
    #[arg(long)]
    pub(crate) own_ids: bool,
    /// Writes one line of CSV per submission to this file.
    #[arg(long)]
    pub(crate) trace: Option<String>,
}

impl LoadArgs {
    /// Checks what clap does not.
    ///
    /// Load on a host that serves real callers would take their slots, so addresses
    /// other than loopback must be allowed explicitly.
    pub(crate) fn check(&self) -> Result<(), String> {
        let remote = self.hosts.iter().find(|host| !host.ip().is_loopback());
        if let (Some(host), false) = (remote, self.allow_remote) {
            return Err(format!("{host} is not a loopback address; --allow-remote allows it"));
        }
        if self.services.is_empty() && (self.job_percent < 100 || !self.needs_worker()) {
            return Err(
                "--service is missing: requests, or tasks of jobs, are sent to one".to_owned()
            );
        }
        if self.max_run_ms.is_some_and(|longest_ms| longest_ms < self.run_ms) {
            return Err("--max-run-ms is below --run-ms".to_owned());
        }
        Ok(())
    }

    /// Returns whether tasks of jobs run on workers rather than services.
    pub(crate) fn needs_worker(&self) -> bool {
        self.cpu_milli > 0 || self.memory_mb > 0
    }
}
