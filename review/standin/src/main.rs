//! Cases of the review that can't be put as a day of the bench.
//!
//! `case NAME FOLDER` plays a case, writes FOLDER/record.txt and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cancel;
mod client;
mod deployment;
mod host;
mod http;
mod max_per_server;
mod reborn;
mod record;
mod relay;
mod resets;
mod store;
mod worker;

use std::env;
use std::path::Path;
use std::process::ExitCode;

/// Why a case couldn't run.
pub type CaseResult = Result<(), String>;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    let play = match case.as_str() {
        "max-per-server" => max_per_server::play,
        "cancel" => cancel::play,
        "reborn" => reborn::play,
        "resets" => resets::play,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    match play(&record, trouble) {
        Ok(breaches) if breaches.is_empty() => {
            record.write("the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaches) => {
            record.write(&format!("the rule was broken {} times", breaches.len()));
            for breach in breaches {
                println!("{breach}");
            }
            ExitCode::from(1)
        }
        Err(reason) => {
            record.write(&format!("could not run: {reason}"));
            eprintln!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
