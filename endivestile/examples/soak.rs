//! Long runs of the soak test with random faults, one run per seed.
//!
//! The entry hosts are processes: the example starts itself again with `daemon` as first
//! argument. It exits with code 1 if any run broke a guarantee, and writes the breaches
//! and the trace of each such run to a file.

use std::env;
use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
// Links the platform adapter, which registers itself.
use endivestile_platform as _;
use endivestile_testkit::{DaemonCommand, Soak, SoakReport};

/// First argument of the processes that run as entry hosts.
const DAEMON_ARG: &str = "daemon";

/// Runs the soak test with random faults.
#[derive(Debug, Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds, one run each.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Duration of the faults in each run, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Entry hosts in each of the two zones.
    #[arg(long, default_value_t = 2)]
    hosts: usize,
    /// Workers in each zone.
    #[arg(long, default_value_t = 4)]
    workers: usize,
    /// Concurrent callers.
    #[arg(long, default_value_t = 6)]
    callers: usize,
    /// Send crowds of clients to hosts on small machines as well.
    #[arg(long)]
    crowds: bool,
    /// Keep the first zone full, and lose hosts of both zones in pairs instead of other faults.
    #[arg(long)]
    paired: bool,
    /// Directory for the traces of failed runs.
    #[arg(long, default_value = "target/soak")]
    kept: PathBuf,
}

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == DAEMON_ARG) {
        args.remove(1);
        return endivestile::run_from(args);
    }
    match run_seeds(&Args::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("soak failed: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all seeds; returns the number of failed runs.
fn run_seeds(args: &Args) -> io::Result<u64> {
    let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON_ARG.into()] };
    let mut failed = 0;
    for seed in args.first..args.first + args.seeds {
        let soak = Soak {
            daemon: daemon.clone(),
            seed,
            faults_ms: args.seconds * 1_000,
            hosts: args.hosts,
            workers: args.workers,
            callers: args.callers,
            evacuations: !args.paired,
            reset_series: !args.paired,
            crowds: args.crowds,
            paired_losses: args.paired,
        };
        let report = soak.run()?;
        println!(
            "seed={seed} jobs={} completed={} refused={} unanswered={} breaches={}",
            report.jobs,
            report.completed,
            report.refused,
            report.unanswered,
            report.breaches.len()
        );
        if !report.breaches.is_empty() {
            failed += 1;
            save_report(args, seed, &report)?;
        }
    }
    Ok(failed)
}

/// Writes the breaches and the trace of a failed run to a file.
fn save_report(args: &Args, seed: u64, report: &SoakReport) -> io::Result<()> {
    for breach in report.breaches.iter().take(5) {
        println!("  {breach}");
    }
    fs::create_dir_all(&args.kept)?;
    let text = [report.breaches.join("\n"), report.trace.join("\n")].join("\n\n");
    fs::write(args.kept.join(format!("seed-{seed}.txt")), text)
}
