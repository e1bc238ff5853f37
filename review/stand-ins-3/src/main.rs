//! Cases of the third review: `case-3 NAME RECORD`, run in the root of the repository.

mod cases;
mod deployment;
mod host;
mod http;
mod record;
mod store;
mod workers;

use std::process::ExitCode;
use std::time::Duration;
use std::{env, process, thread};

/// Longest time for a case, in seconds.
const LIMIT_S: u64 = 115;

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (name, record) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(LIMIT_S));
        println!("not run: {LIMIT_S} s are over");
        host::end_all();
        process::exit(2);
    });
    match cases::run(&name, &record, trouble) {
        Ok(true) => {
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{name}: the rule was broken");
            ExitCode::from(1)
        }
        Err(deployment::NotRun(reason)) => {
            println!("{name}: not run: {reason}");
            ExitCode::from(2)
        }
    }
}
