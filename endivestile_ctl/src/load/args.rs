//! Arguments of `load`.

use std::net::SocketAddr;

use clap::Args;

/// Most callers at once; each is a thread.
const MAX_CALLERS: u64 = 1_024;

/// Arguments of `load`.
#[derive(Debug, Clone, Args)]
pub(crate) struct LoadArgs {
    /// Callers' address of an entry host, IP:port; taken in turn when repeated.
    #[arg(long = "host", required = true, value_delimiter = ',')]
    pub(crate) hosts: Vec<SocketAddr>,
    /// Allows hosts outside 127.0.0.0/8.
    #[arg(long)]
    pub(crate) allow_remote: bool,
    /// Time during which submissions start, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub(crate) seconds: u64,
    /// Callers; each waits for an answer before its next submission.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=MAX_CALLERS))]
    pub(crate) callers: u64,
    /// Submissions a second, at random times; else each caller goes on at once.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    pub(crate) rate: Option<u64>,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Teams, taken at random.
    #[arg(long = "team", required = true, value_delimiter = ',')]
    pub(crate) teams: Vec<String>,
    /// Services, taken at random.
    #[arg(long = "service", value_delimiter = ',')]
    pub(crate) services: Vec<String>,
    /// Percent of the submissions that are jobs.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=100))]
    pub(crate) job_percent: u8,
    /// Tasks of a job, drawn from 1 to this.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=200))]
    pub(crate) tasks: u64,
    /// Processor time that a task of a job needs of a worker, in thousandths of
    /// a core; 0 sends tasks of jobs to the services.
    #[arg(long, default_value_t = 0)]
    pub(crate) cpu_milli: u32,
    /// Memory that a task of a job needs of a worker, in MiB.
    #[arg(long, default_value_t = 0)]
    pub(crate) memory_mb: u32,
    /// Percent of the requests that are idempotent.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u8).range(0..=100))]
    pub(crate) idempotent_percent: u8,
    /// Shortest run time that is drawn for a task, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub(crate) run_ms: u32,
    /// Longest run time that is drawn for a task; else always the shortest.
    #[arg(long)]
    pub(crate) max_run_ms: Option<u32>,
    /// Work of a task; {ms} stands for the run time drawn, {key} for a text
    /// that no other task of the load has.
    #[arg(long, default_value = r#"{"key":"{key}","ms":{ms}}"#)]
    pub(crate) work: String,
    /// Time until the deadline, in milliseconds.
    #[arg(long, default_value_t = 10_000,
          value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub(crate) deadline_ms: u64,
    /// Uses ids made here and hashed by the hosts, in place of issued ones.
    #[arg(long)]
    pub(crate) own_ids: bool,
    /// File for one line of CSV per submission.
    #[arg(long)]
    pub(crate) trace: Option<String>,
}

impl LoadArgs {
    /// Refuses what the parser can't see.
    ///
    /// Load on a host that serves real callers would take their slots; so any
    /// other than a loopback address must be allowed by name.
    pub(crate) fn check(&self) -> Result<(), String> {
        let remote = self.hosts.iter().find(|host| !host.ip().is_loopback());
        if let (Some(host), false) = (remote, self.allow_remote) {
            return Err(format!("{host} is no loopback address; --allow-remote allows it"));
        }
        if self.services.is_empty() && (self.job_percent < 100 || !self.needs_worker()) {
            return Err("--service is missing: requests, or tasks of jobs, go to one".to_owned());
        }
        if self.max_run_ms.is_some_and(|most| most < self.run_ms) {
            return Err("--max-run-ms is below --run-ms".to_owned());
        }
        Ok(())
    }

    /// Tells whether tasks of jobs go to workers.
    pub(crate) fn needs_worker(&self) -> bool {
        self.cpu_milli > 0 || self.memory_mb > 0
    }
}
