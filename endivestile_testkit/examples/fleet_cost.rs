//! A fixed course of events for counting the instructions of the fleet's state machine.
//!
//! ```text
//! cargo build --release -p endivestile_testkit --example fleet_cost
//! valgrind --tool=callgrind --collect-atstart=no --toggle-collect='*Fleet*flush*' \
//!     --toggle-collect='*Fleet*handle' target/release/examples/fleet_cost load
//! ```
//!
//! `start` ends when the hosts have claimed the workers; its count is subtracted from those of
//! `rest` and `load`, which go on from there.
//!
//! Everything runs in virtual time with fixed seeds, so two builds see the same events and their
//! counts can be compared.

use std::env;
use std::process::ExitCode;

use endivestile_testkit::{FleetWorld, JobKind, LoadResult};

/// Processor time of the hosts of each zone, in thousandths of a core.
const HOSTS: [u32; 8] = [500, 500, 120, 120, 120, 120, 120, 120];
/// Workers of each zone.
const WORKERS: u64 = 44;
/// Length of the measured part, in milliseconds.
const LENGTH_MS: u64 = 4_000;

/// Jobs of a calm day: about half of the capacity of two zones of [`WORKERS`] workers.
const KINDS: [JobKind; 3] = [
    JobKind {
        name: "wide",
        rate: 40.0,
        tasks: 8,
        work_ms: 60,
        priority: 0,
        deadline_ms: 2_000,
        estimate_factor: 1.0,
        cpu_milli: (11_000, 17_000),
    },
    JobKind {
        name: "long",
        rate: 8.0,
        tasks: 4,
        work_ms: 900,
        priority: 2,
        deadline_ms: 5_000,
        estimate_factor: 1.0,
        cpu_milli: (11_000, 17_000),
    },
    JobKind {
        name: "small",
        rate: 120.0,
        tasks: 2,
        work_ms: 200,
        priority: 1,
        deadline_ms: 2_500,
        estimate_factor: 1.0,
        cpu_milli: (11_000, 17_000),
    },
];

fn main() -> ExitCode {
    let mut world = FleetWorld::with_hosts(&["a", "b"], &HOSTS, WORKERS, 32_000, 7);
    world.run(3_000);
    match env::args().nth(1).as_deref() {
        Some("start") => {}
        Some("rest") => world.run(LENGTH_MS * 4),
        Some("load") => {
            let served = world.run_load(&KINDS, LENGTH_MS, 2);
            let sum = |part: fn(&LoadResult) -> u32| served.values().map(part).sum::<u32>();
            println!("submitted {} in time {}", sum(|it| it.submitted), sum(|it| it.in_time));
        }
        _ => {
            eprintln!("usage: fleet_cost start|rest|load");
            return ExitCode::FAILURE;
        }
    }
    if world.breaches().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
