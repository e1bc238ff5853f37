//! Runs one experiment: entry hosts as processes against stand-ins, a
//! fixed-seed arrival trace, and policies that alternate within one run.
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

/// Measures response against the ideal and wasted messages.
#[derive(Debug, Parser)]
struct Args {
    /// The experiment.
    file: PathBuf,
    /// Daemon; the one built beside this example by default.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Directory for JSON, table and plot.
    #[arg(long, default_value = "target/experiments")]
    out: PathBuf,
    /// Rounds in place of those of the file.
    #[arg(long)]
    rounds: Option<usize>,
    /// Loads in place of those of the file, in percent, separated by commas.
    #[arg(long, value_delimiter = ',')]
    loads: Option<Vec<u32>>,
    /// Idempotent and non-idempotent requests in a hundred submissions, in
    /// place of those of the file; the rest are jobs.
    #[arg(long, value_delimiter = ',')]
    mix: Option<Vec<u32>>,
    /// Price of a message in place of that of the file, in microseconds.
    #[arg(long)]
    price_us: Option<u64>,
    /// Name in place of that of the file.
    #[arg(long)]
    name: Option<String>,
    /// Policies in place of those of the file, separated by commas.
    #[arg(long, value_delimiter = ',')]
    policies: Option<Vec<String>>,
}

fn main() -> ExitCode {
    match start(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("experiment failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: Args) -> Result<(), Box<dyn Error>> {
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
        None => beside()?,
    };
    let slices = run(&spec, &daemon)?;
    let table = summary::summarise(&slices);
    fs::create_dir_all(&args.out)?;
    let path = |kind: &str| args.out.join(format!("{}.{kind}", spec.name));
    fs::write(path("json"), report::json(&spec, &slices, &table)?)?;
    let text = report::table(&spec, &table);
    fs::write(path("md"), &text)?;
    plot::draw(&path("svg"), &spec, &table)?;
    println!("{text}");
    Ok(())
}

/// Returns the daemon in the directory above the examples.
fn beside() -> Result<PathBuf, Box<dyn Error>> {
    let example = env::current_exe()?;
    let dir = example.parent().and_then(Path::parent).ok_or("no directory of the daemon")?;
    let daemon = dir.join("endivestile");
    if daemon.exists() {
        return Ok(daemon);
    }
    Err(format!("no daemon at {}, build it or name it by --daemon", daemon.display()).into())
}
