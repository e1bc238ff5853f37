//! Long runs of the fault soak, seed after seed.
//!
//! The entry hosts are processes: the example starts itself again with `daemon`
//! as first argument. It ends with exit code 1 if any promise was broken, and
//! leaves what it saw of each such run in a file.

use std::env;
use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
// Registers itself as an adapter.
use endivestile_platform as _;
use endivestile_testkit::{DaemonCommand, Soak, SoakReport};

/// First argument of the processes that run as entry hosts.
const DAEMON: &str = "daemon";

/// Runs the fault soak.
#[derive(Debug, Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds, one run each.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// For how long faults come in each run, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Hosts in each of two zones.
    #[arg(long, default_value_t = 2)]
    hosts: usize,
    /// Workers in each zone.
    #[arg(long, default_value_t = 4)]
    workers: usize,
    /// Callers.
    #[arg(long, default_value_t = 6)]
    callers: usize,
    /// Folder for what was seen of runs that failed.
    #[arg(long, default_value = "target/soak")]
    kept: PathBuf,
}

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == DAEMON) {
        args.remove(1);
        return endivestile::run_from(args);
    }
    match soak(&Args::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("soak failed: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Makes the runs; returns how many of them broke a promise.
fn soak(args: &Args) -> io::Result<u64> {
    let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON.into()] };
    let mut failed = 0;
    for seed in args.first..args.first + args.seeds {
        let soak = Soak {
            daemon: daemon.clone(),
            seed,
            faults_ms: args.seconds * 1_000,
            hosts: args.hosts,
            workers: args.workers,
            callers: args.callers,
            evacuations: true,
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
            keep(args, seed, &report)?;
        }
    }
    Ok(failed)
}

/// Writes down what was seen of a run that failed.
fn keep(args: &Args, seed: u64, report: &SoakReport) -> io::Result<()> {
    for breach in report.breaches.iter().take(5) {
        println!("  {breach}");
    }
    fs::create_dir_all(&args.kept)?;
    let text = [report.breaches.join("\n"), report.trace.join("\n")].join("\n\n");
    fs::write(args.kept.join(format!("seed-{seed}.txt")), text)
}
