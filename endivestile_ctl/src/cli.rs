//! Command-line arguments.

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::load::LoadArgs;

/// Command-line tool of the operators and callers of endivestile.
#[derive(Debug, Parser)]
#[command(name = "endivectl", version)]
pub(crate) struct Cli {
    /// Options shared by all commands.
    #[command(flatten)]
    pub(crate) common: Common,
    /// Command to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Options shared by all commands.
#[derive(Debug, Args)]
pub(crate) struct Common {
    /// Addresses of the platform's store, IP:port, separated by commas.
    #[arg(long, global = true, env = "ENDIVESTILE_STORE", value_delimiter = ',')]
    pub(crate) store: Vec<SocketAddr>,
    /// Time limit for all store calls of a command, in milliseconds.
    #[arg(long, global = true, default_value_t = 10_000,
          value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub(crate) timeout_ms: u64,
    /// Writes JSON for scripts.
    #[arg(long, global = true)]
    pub(crate) json: bool,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks inventory and rules without access to the store.
    Check(FileArgs),
    /// Shows what the files would change in the configuration in force.
    Diff(FileArgs),
    /// Puts the files in force as the next revision of the configuration.
    Apply(ApplyArgs),
    /// Shows the configuration in force in its canonical form.
    Show(ShowArgs),
    /// Shows the state of entry hosts.
    Status(StatusArgs),
    /// Starts the planned stop of a host, backend server or worker.
    Stop(StopArgs),
    /// Cancels a planned stop.
    Resume(StopArgs),
    /// Shows the audit trail.
    History(HistoryArgs),
    /// Submits a request or a job and shows its answer.
    Submit(SubmitArgs),
    /// Sends load for a limited time and reports on the answers.
    Load(LoadArgs),
    /// Explains from the logs of hosts why jobs were not served in time.
    Explain(ExplainArgs),
    /// Writes a completion script for a shell.
    Completions(CompletionArgs),
}

/// Files with inventory and rules.
#[derive(Debug, Args)]
pub(crate) struct FileArgs {
    /// Files that together contain inventory and rules.
    #[arg(required = true)]
    pub(crate) files: Vec<String>,
}

/// Author of a change and a note on it.
#[derive(Debug, Args)]
pub(crate) struct AuthorArgs {
    /// Operator named in the audit trail.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) who: String,
    /// Note for the audit trail.
    #[arg(long, default_value = "")]
    pub(crate) note: String,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub(crate) struct ApplyArgs {
    /// Files that together contain inventory and rules.
    #[command(flatten)]
    pub(crate) files: FileArgs,
    /// Revision that the files are based on; defaults to the one they name, else 0.
    #[arg(long)]
    pub(crate) base: Option<u64>,
    /// Author of the change and a note on it.
    #[command(flatten)]
    pub(crate) author: AuthorArgs,
}

/// Arguments of `show`.
#[derive(Debug, Args)]
pub(crate) struct ShowArgs {
    /// Shows only the revision.
    #[arg(long)]
    pub(crate) revision: bool,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub(crate) struct StatusArgs {
    /// Caller-facing address of an entry host, or that of its metrics page, IP:port; may be
    /// repeated.
    #[arg(long = "host", required = true, value_delimiter = ',')]
    pub(crate) hosts: Vec<SocketAddr>,
}

/// Arguments of `stop` and `resume`.
#[derive(Debug, Args)]
pub(crate) struct StopArgs {
    /// Name of a host, backend server or worker of the inventory.
    pub(crate) name: String,
    /// Author of the change and a note on it.
    #[command(flatten)]
    pub(crate) author: AuthorArgs,
}

/// Arguments of `history`.
#[derive(Debug, Args)]
pub(crate) struct HistoryArgs {
    /// Number of entries to show, latest first.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    pub(crate) last: u64,
}

/// Arguments of `submit`.
#[derive(Debug, Args)]
pub(crate) struct SubmitArgs {
    /// Caller-facing address of an entry host, IP:port; if one does not answer, the
    /// next one is tried with the same id.
    #[arg(long = "host", required = true, value_delimiter = ',')]
    pub(crate) hosts: Vec<SocketAddr>,
    /// Team that the submission belongs to.
    #[arg(long)]
    pub(crate) team: String,
    /// Service to send a request to; without it the body is a job in JSON.
    #[arg(long)]
    pub(crate) service: Option<String>,
    /// Marks a request as idempotent.
    #[arg(long, requires = "service")]
    pub(crate) idempotent: bool,
    /// Submission id; without it the entry host issues one.
    #[arg(long)]
    pub(crate) id: Option<String>,
    /// Time until the deadline, in milliseconds.
    #[arg(long, default_value_t = 30_000,
          value_parser = clap::value_parser!(u64).range(1..=86_400_000))]
    pub(crate) deadline_ms: u64,
    /// File with the body, - for standard input.
    #[arg(default_value = "-")]
    pub(crate) file: String,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub(crate) struct ExplainArgs {
    /// Logs of entry hosts, - for standard input.
    #[arg(required = true)]
    pub(crate) files: Vec<String>,
    /// Also shows the causes per group.
    #[arg(long)]
    pub(crate) by: Option<Grouping>,
}

/// Criterion by which `explain` groups jobs.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum Grouping {
    /// Second of arrival.
    Second,
    /// Availability zone of the host that accepted the job.
    Zone,
    /// Route of the job.
    Route,
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub(crate) struct CompletionArgs {
    /// Shell to write the script for.
    pub(crate) shell: Shell,
}
