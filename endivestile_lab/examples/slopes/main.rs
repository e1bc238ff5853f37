//! Measures what a deployment costs as it grows: one subcommand per table of
//! `docs/CAPACITY.md`.
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

/// Measures slopes of processor time, memory and messages.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    table: Table,
}

/// A table to measure.
#[derive(Debug, Subcommand)]
enum Table {
    /// Idle entry hosts against their number.
    Idle(idle::Args),
    /// Cost of a task start against kind of submission and number of entry hosts.
    Load(load::Args),
    /// Time to adopt a configuration against entry hosts and size.
    Adopt(adopt::Args),
    /// Time and store calls to take over the shards of killed entry hosts.
    Takeover(takeover::Args),
    /// Callers that connect at once.
    Burst(burst::Args),
    /// Processor time of the kernel alone: a task, a change of the view, a configuration.
    Task,
    /// Bytes of the kernel alone: per remembered submission, queued task and back end.
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
