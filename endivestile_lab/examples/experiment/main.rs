//! Runs one experiment: entry hosts as processes with stand-ins for the backend servers and the
//! store, reproducible arrival traces, and placement policies that alternate within one run.
//!
//! `cargo build --release -p endivestile` first, then
//! `cargo run --release -p endivestile_lab --example experiment -- experiments/pitchfee.ini`.

mod counters;
mod fault;
mod plot;
mod replay;
mod report;
mod run;
mod spec;
mod summary;

use std::env;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;

use run::run;
use spec::Spec;

/// Measures response times relative to an ideal schedule, and the overhead of messages.
#[derive(Debug, Parser)]
struct Args {
    /// INI file of the experiment.
    file: PathBuf,
    /// Daemon to start; by default the one built with this example.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Directory for the JSON file, the table and the plot.
    #[arg(long, default_value = "target/experiments")]
    out: PathBuf,
    /// Number of rounds; overrides the file.
    #[arg(long)]
    rounds: Option<usize>,
    /// Loads in percent of capacity, separated by commas; overrides the file.
    #[arg(long, value_delimiter = ',')]
    loads: Option<Vec<u32>>,
    /// Idempotent and non-idempotent requests per hundred submissions, separated by a comma; the
    /// rest are jobs. Overrides the file.
    #[arg(long, value_delimiter = ',')]
    mix: Option<Vec<u32>>,
    /// Placement cost of a message, in microseconds; overrides the file.
    #[arg(long)]
    price_us: Option<u64>,
    /// Name of the experiment and its output files; overrides the file.
    #[arg(long)]
    name: Option<String>,
    /// Policies, separated by commas; overrides the file.
    #[arg(long, value_delimiter = ',')]
    policies: Option<Vec<String>>,
}

fn main() -> ExitCode {
    match run_experiment(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("experiment failed: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the experiment and writes its results.
fn run_experiment(args: Args) -> Result<(), Box<dyn Error>> {
    let mut spec = Spec::read(&args.file)?;
    spec.rounds = args.rounds.unwrap_or(spec.rounds);
    spec.loads = args.loads.unwrap_or(spec.loads);
    spec.policies = args.policies.unwrap_or(spec.policies);
    spec.name = args.name.unwrap_or(spec.name);
    spec.price_us = args.price_us.unwrap_or(spec.price_us);
    if let Some([idempotent, once]) = args.mix.as_deref() {
        (spec.idempotent, spec.once) = (*idempotent, *once);
    }
    let daemon = match args.daemon {
        Some(path) => path,
        None => built_daemon()?,
    };
    let slices = run(&spec, &daemon)?;
    let table = summary::summarise(&slices);
    fs::create_dir_all(&args.out)?;
    let path = |extension: &str| args.out.join(format!("{}.{extension}", spec.name));
    fs::write(path("json"), report::json(&spec, &slices, &table)?)?;
    let text = report::table(&spec, &table);
    fs::write(path("md"), &text)?;
    plot::draw(&path("svg"), &spec, &table)?;
    println!("{text}");
    Ok(())
}

/// Returns the daemon in the directory above that of the examples.
fn built_daemon() -> Result<PathBuf, Box<dyn Error>> {
    let example = env::current_exe()?;
    let dir =
        example.parent().and_then(Path::parent).ok_or("the example is not in a build directory")?;
    let daemon = dir.join("endivestile");
    if daemon.exists() {
        return Ok(daemon);
    }
    Err(format!("no daemon at {}, build it or pass --daemon", daemon.display()).into())
}
