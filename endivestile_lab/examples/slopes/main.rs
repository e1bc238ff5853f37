//! Measures how the cost of a deployment grows with its size, with one subcommand for each
//! table of `docs/CAPACITY.md`.
//!
//! `cargo build --release -p endivestile` first, then
//! `cargo run --release -p endivestile_lab --example slopes -- idle`.

mod adopt;
mod burst;
mod harness;
mod heap;
mod idle;
mod inventory;
mod load;
mod memory;
mod pair;
mod result;
mod takeover;
mod task;
mod usage;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use result::MeasureResult;

/// Measures how processor time, memory and messages grow with a deployment.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    table: Table,
}

/// A table to measure.
#[derive(Debug, Subcommand)]
enum Table {
    /// Cost of idle entry hosts by their number.
    Idle(idle::Args),
    /// Cost of a task start by kind of submission and number of entry hosts.
    Load(load::Args),
    /// Time to adopt a configuration by number of entry hosts and workers.
    Adopt(adopt::Args),
    /// Time and store calls to take over the shards of killed entry hosts.
    Takeover(takeover::Args),
    /// Response times of callers that connect at the same time.
    Burst(burst::Args),
    /// Processor time of the kernel alone, for tasks, membership changes and configurations.
    Task,
    /// Memory of the kernel alone, per remembered submission, queued task and worker.
    Memory,
}

fn main() -> ExitCode {
    match measure(Args::parse().table) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("slopes failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn measure(table: Table) -> MeasureResult {
    match table {
        Table::Idle(args) => idle::measure(&args),
        Table::Load(args) => load::measure(&args),
        Table::Adopt(args) => adopt::measure(&args),
        Table::Takeover(args) => takeover::measure(&args),
        Table::Burst(args) => burst::measure(&args),
        Table::Task => task::measure(),
        Table::Memory => memory::measure(),
    }
}
