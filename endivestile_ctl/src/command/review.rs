//! `check`, `diff` and `show`: they change nothing.

use endivestile_config::{Change, diff as changes};
use serde::Serialize;

use crate::cli::{FileArgs, ShowArgs};
use crate::context::{Context, in_force};
use crate::error::CtlError;
use crate::exit::Exit;
use crate::{files, out};

/// Numbers of a configuration that passed the check.
#[derive(Debug, Serialize)]
struct Passed {
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
    /// Size of the canonical form.
    bytes: usize,
}

/// Differences to the configuration in force.
#[derive(Debug, Serialize)]
struct Difference<'a> {
    /// Revision in force.
    revision: u64,
    /// Keys that differ.
    changes: &'a [Change],
}

/// Checks files without the store.
pub(crate) fn check(context: &Context, args: &FileArgs) -> Result<Exit, CtlError> {
    let config = files::config(&args.files)?;
    let passed = Passed {
        zones: config.zones.len(),
        hosts: config.hosts.len(),
        servers: config.servers.len(),
        workers: config.workers.len(),
        services: config.services.len(),
        teams: config.teams.len(),
        bytes: config.canonical().len(),
    };
    if context.json {
        out::json(&passed);
        return Ok(Exit::Done);
    }
    let Passed { zones, hosts, servers, workers, services, teams, bytes } = passed;
    out::say(&format!(
        "accepted: {zones} availability zones, {hosts} hosts, {servers} backend servers, \
         {workers} workers, {services} services, {teams} teams, {bytes} bytes"
    ));
    Ok(Exit::Done)
}

/// Shows what files would change.
pub(crate) fn diff(context: &Context, args: &FileArgs) -> Result<Exit, CtlError> {
    let config = files::config(&args.files)?;
    let current = in_force(&mut context.store()?)?.sound()?;
    let changes = changes(&current, &config);
    if context.json {
        out::json(&Difference { revision: current.revision, changes: &changes });
        return Ok(Exit::Done);
    }
    out::say(&format!("# against revision {}", current.revision));
    changes.iter().for_each(|change| out::say(&change.to_string()));
    Ok(Exit::Done)
}

/// Shows the configuration in force.
pub(crate) fn show(context: &Context, args: &ShowArgs) -> Result<Exit, CtlError> {
    let current = in_force(&mut context.store()?)?.sound()?;
    match (args.revision, context.json) {
        (true, true) => out::json(&current.revision),
        (true, false) => out::say(&current.revision.to_string()),
        (false, true) => out::json(&current),
        (false, false) => out::say(&current.canonical()),
    }
    Ok(Exit::Done)
}
