//! The read-only commands `check`, `diff` and `show`.

use endivestile_config::{Change, diff as changes};
use serde::Serialize;

use crate::cli::{FileArgs, ShowArgs};
use crate::context::{Context, read_current_config};
use crate::error::CtlError;
use crate::exit::Exit;
use crate::{files, out};

/// Counts of the items in a valid configuration.
#[derive(Debug, Serialize)]
struct CheckSummary {
    /// Availability zones.
    zones: usize,
    /// Entry hosts.
    hosts: usize,
    /// Backend servers.
    servers: usize,
    /// Workers.
    workers: usize,
    /// Services.
    services: usize,
    /// Teams.
    teams: usize,
    /// Size of the canonical form, in bytes.
    bytes: usize,
}

/// Differences from the configuration in force.
#[derive(Debug, Serialize)]
struct Difference<'a> {
    /// Revision in force.
    revision: u64,
    /// Keys that differ.
    changes: &'a [Change],
}

/// Checks a configuration without access to the store.
pub(crate) fn check(context: &Context, args: &FileArgs) -> Result<Exit, CtlError> {
    let config = files::read_config(&args.files)?;
    let summary = CheckSummary {
        zones: config.zones.len(),
        hosts: config.hosts.len(),
        servers: config.servers.len(),
        workers: config.workers.len(),
        services: config.services.len(),
        teams: config.teams.len(),
        bytes: config.canonical().len(),
    };
    if context.json {
        out::print_json(&summary);
        return Ok(Exit::Done);
    }
    let CheckSummary { zones, hosts, servers, workers, services, teams, bytes } = summary;
    out::print(&format!(
        "accepted: {zones} availability zones, {hosts} hosts, {servers} backend servers, \
         {workers} workers, {services} services, {teams} teams, {bytes} bytes"
    ));
    Ok(Exit::Done)
}

/// Shows what a configuration would change.
pub(crate) fn diff(context: &Context, args: &FileArgs) -> Result<Exit, CtlError> {
    let config = files::read_config(&args.files)?;
    let current = read_current_config(&mut context.store()?)?.into_valid()?;
    let changes = changes(&current, &config);
    if context.json {
        out::print_json(&Difference { revision: current.revision, changes: &changes });
        return Ok(Exit::Done);
    }
    out::print(&format!("# against revision {}", current.revision));
    changes.iter().for_each(|change| out::print(&change.to_string()));
    Ok(Exit::Done)
}

/// Shows the configuration in force.
pub(crate) fn show(context: &Context, args: &ShowArgs) -> Result<Exit, CtlError> {
    let current = read_current_config(&mut context.store()?)?.into_valid()?;
    match (args.revision, context.json) {
        (true, true) => out::print_json(&current.revision),
        (true, false) => out::print(&current.revision.to_string()),
        (false, true) => out::print_json(&current),
        (false, false) => out::print(&current.canonical()),
    }
    Ok(Exit::Done)
}
