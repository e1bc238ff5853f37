//! Command line.

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::load::LoadArgs;

/// Tool of the operators and callers of endivestile.
#[derive(Debug, Parser)]
#[command(name = "endivectl", version)]
pub(crate) struct Cli {
    /// Options of all commands.
    #[command(flatten)]
    pub(crate) common: Common,
    /// The command.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Options of all commands.
#[derive(Debug, Args)]
pub(crate) struct Common {
    /// Addresses of the platform's store, IP:port, separated by commas.
    #[arg(long, global = true, env = "ENDIVESTILE_STORE", value_delimiter = ',')]
    pub(crate) store: Vec<SocketAddr>,
    /// Time for a whole command against the store, in milliseconds.
    #[arg(long, global = true, default_value_t = 10_000,
          value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub(crate) timeout_ms: u64,
    /// Writes JSON, for scripts.
    #[arg(long, global = true)]
    pub(crate) json: bool,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks inventory and rules without the store.
    Check(FileArgs),
    /// Shows what files would change in the configuration in force.
    Diff(FileArgs),
    /// Puts files in force as the next revision.
    Apply(ApplyArgs),
    /// Shows the configuration in force in its canonical form.
    Show(ShowArgs),
    /// Shows the state of entry hosts.
    Status(StatusArgs),
    /// Starts the planned stop of a host, backend server or worker.
    Stop(StopArgs),
    /// Takes a planned stop back.
    Resume(StopArgs),
    /// Shows the audit trail.
    History(HistoryArgs),
    /// Submits a request or a job and shows its answer.
    Submit(SubmitArgs),
    /// Sends bounded load and reports on the answers.
    Load(LoadArgs),
    /// Says from hosts' logs why jobs were not served in time.
    Explain(ExplainArgs),
    /// Writes a shell's completion script.
    Completions(CompletionArgs),
}

/// Files of inventory and rules.
#[derive(Debug, Args)]
pub(crate) struct FileArgs {
    /// Files that together hold inventory and rules.
    #[arg(required = true)]
    pub(crate) files: Vec<String>,
}

/// Who changes something, and why.
#[derive(Debug, Args)]
pub(crate) struct AuthorArgs {
    /// Operator whom the audit trail names.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) who: String,
    /// Words for the audit trail.
    #[arg(long, default_value = "")]
    pub(crate) note: String,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub(crate) struct ApplyArgs {
    /// Files that together hold inventory and rules.
    #[command(flatten)]
    pub(crate) files: FileArgs,
    /// Revision that the files were made from; else the one they name, else 0.
    #[arg(long)]
    pub(crate) base: Option<u64>,
    /// Who changes something, and why.
    #[command(flatten)]
    pub(crate) author: AuthorArgs,
}

/// Arguments of `show`.
#[derive(Debug, Args)]
pub(crate) struct ShowArgs {
    /// Shows the revision only.
    #[arg(long)]
    pub(crate) revision: bool,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub(crate) struct StatusArgs {
    /// Callers' address of an entry host, or that of its page of counts, IP:port; may be
    /// repeated.
    #[arg(long = "host", required = true, value_delimiter = ',')]
    pub(crate) hosts: Vec<SocketAddr>,
}

/// Arguments of `stop` and `resume`.
#[derive(Debug, Args)]
pub(crate) struct StopArgs {
    /// Name of a host, backend server or worker of the inventory.
    pub(crate) name: String,
    /// Who changes something, and why.
    #[command(flatten)]
    pub(crate) author: AuthorArgs,
}

/// Arguments of `history`.
#[derive(Debug, Args)]
pub(crate) struct HistoryArgs {
    /// Entries shown, the latest first.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    pub(crate) last: u64,
}

/// Arguments of `submit`.
#[derive(Debug, Args)]
pub(crate) struct SubmitArgs {
    /// Callers' address of an entry host, IP:port; the next one is tried, with
    /// the same id, when one gives no answer.
    #[arg(long = "host", required = true, value_delimiter = ',')]
    pub(crate) hosts: Vec<SocketAddr>,
    /// Team on whose behalf it runs.
    #[arg(long)]
    pub(crate) team: String,
    /// Sends a request to this service; without it the body is a job in JSON.
    #[arg(long)]
    pub(crate) service: Option<String>,
    /// Marks a request as idempotent.
    #[arg(long, requires = "service")]
    pub(crate) idempotent: bool,
    /// Submission id; else the entry host issues one.
    #[arg(long)]
    pub(crate) id: Option<String>,
    /// Time until the deadline, in milliseconds.
    #[arg(long, default_value_t = 30_000,
          value_parser = clap::value_parser!(u64).range(1..=86_400_000))]
    pub(crate) deadline_ms: u64,
    /// File of the body, - for standard input.
    #[arg(default_value = "-")]
    pub(crate) file: String,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub(crate) struct ExplainArgs {
    /// Logs of entry hosts, - for standard input.
    #[arg(required = true)]
    pub(crate) files: Vec<String>,
    /// Shows the causes for each of these too.
    #[arg(long)]
    pub(crate) by: Option<Grouping>,
}

/// By what `explain` groups jobs.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum Grouping {
    /// The second in which they came.
    Second,
    /// The availability zone of the host that took them.
    Zone,
    /// Their route.
    Route,
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub(crate) struct CompletionArgs {
    /// The shell.
    pub(crate) shell: Shell,
}
