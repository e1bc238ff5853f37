//! `apply`: puts files in force as the next revision.

use std::fmt::Write;

use endivestile_config::{Change, check_change, diff};
use endivestile_wire::key;
use serde::Serialize;

use super::history::entries;
use crate::audit::{Action, Entry};
use crate::change::{Guarded, Outcome, Tip, commit};
use crate::cli::ApplyArgs;
use crate::context::{Context, in_force};
use crate::error::CtlError;
use crate::exit::Exit;
use crate::store::Store;
use crate::{files, out};

/// Entries of the audit trail that a conflict looks back over.
const LOOK_BACK: u64 = 50;

/// What `apply` did.
#[derive(Debug, Serialize)]
struct Applied {
    /// Revision in force.
    revision: u64,
    /// Keys that changed.
    changes: usize,
    /// Serial number of the audit entry; 0 when nothing had to be changed.
    serial: u64,
}

/// Puts files in force as the next revision.
pub(crate) fn run(context: &Context, args: &ApplyArgs) -> Result<Exit, CtlError> {
    let mut config = files::config(&args.files.files)?;
    let base = args.base.unwrap_or(config.revision);
    let mut store = context.store()?;
    let current = in_force(&mut store)?;
    let tip = Tip::read(&mut store)?;
    let held = current.config.revision.max(tip.head.revision);
    // Where no host takes what the store holds, nobody's change can be written
    // over; a higher base is how operators go on after the store lost everything.
    let vacant = current.stored == 0 || current.fault.is_some();
    if base < held || base > held && !vacant {
        return Err(conflict(&mut store, base, held));
    }
    config.revision = base + 1;
    let changes = diff(&current.config, &config);
    if changes.is_empty() && !vacant && current.config.revision == held {
        report(context, &Applied { revision: base, changes: 0, serial: 0 });
        return Ok(Exit::Done);
    }
    if let Some(fault) = &current.fault {
        out::complain(&format!("the value that no host takes is replaced: {fault}"));
    }
    check_change(&current.config, &config).map_err(CtlError::Refused)?;
    let mut entry = Entry::new(Action::Apply, &args.author.who, &args.author.note);
    entry.revision = config.revision;
    entry.list(&changes);
    let change = Guarded {
        step: "apply",
        key: key::CONFIG.to_owned(),
        revision: current.stored,
        value: Some(config.canonical().into_bytes()),
    };
    match commit(&mut store, &change, &mut entry, tip)? {
        Outcome::Done(serial) => {
            report(context, &Applied { revision: base + 1, changes: changes.len(), serial });
            Ok(Exit::Done)
        }
        Outcome::Raced => {
            let now = in_force(&mut store)?.config.revision;
            Err(conflict(&mut store, base, now))
        }
    }
}

fn report(context: &Context, applied: &Applied) {
    if context.json {
        return out::json(applied);
    }
    let Applied { revision, changes, .. } = applied;
    match changes {
        0 => out::say(&format!("revision {revision} in force, nothing changed")),
        _ => out::say(&format!("revision {revision} in force, {changes} keys changed")),
    }
}

/// Tells what others changed since the revision that the files were made from.
fn conflict(store: &mut Store, base: u64, revision: u64) -> CtlError {
    let mut text = format!(
        "revision {revision} was accepted last, the files were made from revision {base}; \
         nothing was changed"
    );
    // The conflict stands without the trail too.
    let trail = entries(store, LOOK_BACK).unwrap_or_default();
    for entry in trail.iter().filter(|entry| entry.revision > base) {
        let at = out::utc(entry.at_s);
        // Writing to a string can't fail.
        let _ = write!(text, "\nrevision {} by {} at {at}", entry.revision, entry.who);
        list(&mut text, &entry.changes, entry.omitted);
    }
    CtlError::Conflict(text)
}

/// Adds changed keys to a text, one a line.
pub(crate) fn list(text: &mut String, changes: &[Change], omitted: usize) {
    for change in changes {
        // Writing to a string can't fail.
        let _ = write!(text, "\n  {change}");
    }
    if omitted > 0 {
        let _ = write!(text, "\n  and {omitted} more keys");
    }
}
