//! The cases.

mod forwarded_twice;
mod other_kind;

use std::path::Path;

use crate::Verdict;
use crate::world::World;

/// Runs a case by its name.
pub fn run(
    name: &str,
    root: &Path,
    folder: &Path,
    record: &Path,
    trouble: bool,
) -> std::io::Result<Verdict> {
    let mut world = World::new(root, folder, record)?;
    world.record.line(&format!("case {name} trouble={trouble}"));
    let verdict = match name {
        "forwarded-twice" => forwarded_twice::run(&mut world, trouble)?,
        "other-kind" => other_kind::run(&mut world, trouble)?,
        _ => Verdict::NotRun("unknown case".to_owned()),
    };
    world.record_runs();
    Ok(verdict)
}
