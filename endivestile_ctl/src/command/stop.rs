//! `stop` and `resume`: start and cancel planned stops.

use endivestile_wire::key;
use serde::Serialize;

use crate::audit::{Action, Entry};
use crate::change::{ConditionalWrite, Outcome, StoredHead, commit};
use crate::cli::StopArgs;
use crate::context::{Context, CurrentConfig, read_current_config};
use crate::error::CtlError;
use crate::exit::Exit;
use crate::out;

/// Stored value of a planned stop.
#[derive(Debug, Serialize)]
struct PlannedStop<'a> {
    /// Operator who started it.
    who: &'a str,
    /// Start time, in seconds since 1970.
    at_s: u64,
}

/// Result of `stop` or `resume`.
#[derive(Debug, Serialize)]
struct StopResult<'a> {
    /// Name of the host, backend server or worker.
    name: &'a str,
    /// Whether its planned stop is in force.
    stopping: bool,
    /// Serial number of the audit entry; 0 if nothing changed.
    serial: u64,
}

/// Starts a planned stop.
pub(crate) fn stop(context: &Context, args: &StopArgs) -> Result<Exit, CtlError> {
    set_stop(context, args, true)
}

/// Cancels a planned stop.
pub(crate) fn resume(context: &Context, args: &StopArgs) -> Result<Exit, CtlError> {
    set_stop(context, args, false)
}

fn set_stop(context: &Context, args: &StopArgs, stopping: bool) -> Result<Exit, CtlError> {
    let mut store = context.store()?;
    let name = args.name.as_str();
    let path = format!("{}{name}", key::STOPS);
    let stored = store.get("read-stop", &path)?;
    let stopped = stored.mod_revision > 0;
    // A stop may be cancelled after its target was removed from the inventory.
    if !stopped {
        check_name(&read_current_config(&mut store)?, name)?;
    }
    if stopped == stopping {
        report(context, &StopResult { name, stopping, serial: 0 });
        return Ok(Exit::Done);
    }
    let action = if stopping { Action::Stop } else { Action::Resume };
    let mut entry = Entry::new(action, &args.author.who, &args.author.note);
    entry.target = name.to_owned();
    let planned_stop = PlannedStop { who: &entry.who, at_s: entry.at_s };
    let value = serde_json::to_vec(&planned_stop).unwrap_or_default();
    let change = ConditionalWrite {
        step: action.label(),
        key: path,
        revision: stored.mod_revision,
        value: stopping.then_some(value),
    };
    let stored_head = StoredHead::read(&mut store)?;
    match commit(&mut store, &change, &mut entry, stored_head)? {
        Outcome::Committed(serial) => {
            report(context, &StopResult { name, stopping, serial });
            Ok(Exit::Done)
        }
        Outcome::KeyChanged => {
            let reason = format!("the planned stop of {name} was changed at the same time");
            Err(CtlError::Conflict(reason))
        }
    }
}

/// Rejects a name that is not in the inventory. An invalid configuration must not
/// prevent a stop, so any name is accepted then.
fn check_name(current: &CurrentConfig, name: &str) -> Result<(), CtlError> {
    let config = &current.config;
    let exists = config.hosts.contains_key(name)
        || config.servers.contains_key(name)
        || config.workers.contains_key(name);
    if exists || current.invalid_reason.is_some() {
        return Ok(());
    }
    Err(CtlError::Usage(format!("no host, backend server or worker is named \"{name}\"")))
}

fn report(context: &Context, result: &StopResult<'_>) {
    if context.json {
        return out::print_json(result);
    }
    let StopResult { name, stopping, serial } = result;
    let state = if *stopping { "stopping" } else { "in use" };
    let hint = if *serial == 0 { ", nothing changed" } else { "" };
    out::print(&format!("{name} {state}{hint}"));
}
