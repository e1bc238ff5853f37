//! `apply`: puts a configuration in force as the next revision.

use std::fmt::Write;

use endivestile_config::{Change, check_change, diff};
use endivestile_wire::key;
use serde::Serialize;

use super::history::read_entries;
use crate::audit::{Action, Entry};
use crate::change::{ConditionalWrite, Outcome, StoredHead, commit};
use crate::cli::ApplyArgs;
use crate::context::{Context, read_current_config};
use crate::error::CtlError;
use crate::exit::Exit;
use crate::store::Store;
use crate::{files, out};

/// Number of latest audit entries that a conflict searches for the others' changes.
const CONFLICT_ENTRIES: u64 = 50;

/// Result of `apply`.
#[derive(Debug, Serialize)]
struct Applied {
    /// Revision in force.
    revision: u64,
    /// Number of changed keys.
    changes: usize,
    /// Serial number of the audit entry; 0 if nothing changed.
    serial: u64,
}

/// Puts a configuration in force as the next revision.
pub(crate) fn run(context: &Context, args: &ApplyArgs) -> Result<Exit, CtlError> {
    let mut config = files::read_config(&args.files.files)?;
    let base = args.base.unwrap_or(config.revision);
    let mut store = context.store()?;
    let current = read_current_config(&mut store)?;
    let stored_head = StoredHead::read(&mut store)?;
    let latest = current.config.revision.max(stored_head.head.revision);
    // If the store holds no configuration that hosts accept, no change of others can
    // be overwritten. Operators may then pass a higher base, for example after the
    // store lost its data.
    let replaceable = current.key_revision == 0 || current.invalid_reason.is_some();
    if base < latest || base > latest && !replaceable {
        return Err(conflict(&mut store, base, latest));
    }
    config.revision = base + 1;
    let changes = diff(&current.config, &config);
    if changes.is_empty() && !replaceable && current.config.revision == latest {
        report(context, &Applied { revision: base, changes: 0, serial: 0 });
        return Ok(Exit::Done);
    }
    if let Some(invalid_reason) = &current.invalid_reason {
        out::print_error(&format!("replacing an invalid configuration: {invalid_reason}"));
    }
    check_change(&current.config, &config).map_err(CtlError::Refused)?;
    let mut entry = Entry::new(Action::Apply, &args.author.who, &args.author.note);
    entry.revision = config.revision;
    entry.set_changes(&changes);
    let change = ConditionalWrite {
        step: "apply",
        key: key::CONFIG.to_owned(),
        revision: current.key_revision,
        value: Some(config.canonical().into_bytes()),
    };
    match commit(&mut store, &change, &mut entry, stored_head)? {
        Outcome::Committed(serial) => {
            report(context, &Applied { revision: base + 1, changes: changes.len(), serial });
            Ok(Exit::Done)
        }
        Outcome::KeyChanged => {
            let now = read_current_config(&mut store)?.config.revision;
            Err(conflict(&mut store, base, now))
        }
    }
}

fn report(context: &Context, applied: &Applied) {
    if context.json {
        return out::print_json(applied);
    }
    let Applied { revision, changes, .. } = applied;
    match changes {
        0 => out::print(&format!("revision {revision} in force, nothing changed")),
        _ => out::print(&format!("revision {revision} in force, {changes} keys changed")),
    }
}

/// Returns a conflict error that lists the changes made by others since revision `base`.
fn conflict(store: &mut Store, base: u64, revision: u64) -> CtlError {
    let mut text = format!(
        "the last accepted revision is {revision}, the files are based on revision {base}; \
         nothing was changed"
    );
    // The conflict is reported even if the audit trail can't be read.
    let trail = read_entries(store, CONFLICT_ENTRIES).unwrap_or_default();
    for entry in trail.iter().filter(|entry| entry.revision > base) {
        let at = out::format_utc(entry.at_s);
        // Writing to a string can't fail.
        let _ = write!(text, "\nrevision {} by {} at {at}", entry.revision, entry.who);
        append_changes(&mut text, &entry.changes, entry.omitted);
    }
    CtlError::Conflict(text)
}

/// Appends changed keys to a text, one per line.
pub(crate) fn append_changes(text: &mut String, changes: &[Change], omitted: usize) {
    for change in changes {
        // Writing to a string can't fail.
        let _ = write!(text, "\n  {change}");
    }
    if omitted > 0 {
        let _ = write!(text, "\n  and {omitted} more keys");
    }
}
