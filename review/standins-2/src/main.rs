//! Scripts of the second review: each runs entry hosts as processes against stand-ins for the
//! platform's store, minions and clients, and checks one rule from what those have seen.
//!
//! Usage: `review_standins_2 CASE ROOT RECORD`; the environment variable `TROUBLE=0` leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod hosts;
mod http;
mod minion;
mod record;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = args.as_slice() else {
        eprintln!("usage: review_standins_2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    let verdict = match std::fs::create_dir_all(&folder) {
        Ok(()) => cases::run(case, Path::new(root), &folder, Path::new(record), trouble),
        Err(e) => Err(e),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs in {}", folder.display());
    }
    match verdict {
        Ok(Verdict::Held) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(why)) => {
            println!("{case}: could not run: {why}");
            ExitCode::from(2)
        }
        Err(e) => {
            println!("{case}: could not run: {e}");
            ExitCode::from(2)
        }
    }
}
