//! `explain`: finds in the logs of entry hosts why jobs were not served in time.

mod cause;
mod line;
mod record;
mod report;

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use crate::cli::ExplainArgs;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::out;

use line::Line;
use record::JobRecords;
use report::Report;

/// Reads logs and reports on the jobs in them.
pub(crate) fn run(context: &Context, args: &ExplainArgs) -> Result<Exit, CtlError> {
    let mut records = JobRecords::default();
    for file in &args.files {
        read_log(file, &mut records)?;
    }
    let report = Report::new(&records, args.by);
    if context.json {
        out::print_json(&report);
    } else {
        out::print(&report.to_string());
    }
    Ok(Exit::Done)
}

fn read_log(file: &str, records: &mut JobRecords) -> Result<(), CtlError> {
    let failed =
        |cause: io::Error| CtlError::File { step: "read-log", file: file.to_owned(), cause };
    let source: Box<dyn BufRead> = match file {
        "-" => Box::new(io::stdin().lock()),
        path => Box::new(BufReader::new(File::open(path).map_err(failed)?)),
    };
    for text in source.split(b'\n') {
        let text = text.map_err(failed)?;
        // A host that was killed during a write may leave an incomplete character.
        let text = String::from_utf8_lossy(&text);
        if let Some(line) = Line::parse(&text) {
            records.handle_line(&line);
        }
    }
    Ok(())
}
