//! Validates submissions against the configuration in force.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Name, Worker};
use endivestile_kernel::{MAX_TASKS, Need, Target, Task};
use endivestile_wire::call::{JobBody, NeedBody, TEAM_HEADER, TaskBody};

use super::invalid_request::InvalidRequest;

/// Validates names and resource needs. Without a configuration everything
/// passes, since the kernel refuses the submission itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Validator<'a>(pub(crate) Option<&'a Config>);

impl Validator<'_> {
    /// Returns the configuration's shared copy of a team's name.
    pub(crate) fn team(self, name: &str) -> Result<Name, InvalidRequest> {
        let Some(config) = self.0 else { return Ok(Name::from(name)) };
        let found = config.teams.get_key_value(name).map(|(name, _)| Name::clone(name));
        found.ok_or_else(|| InvalidRequest::field(TEAM_HEADER, format!("unknown team {name:?}")))
    }

    /// Returns the configuration's shared copy of a service's name.
    pub(crate) fn service(self, name: &str, field: &str) -> Result<Name, InvalidRequest> {
        let Some(config) = self.0 else { return Ok(Name::from(name)) };
        let found = config.services.get_key_value(name).map(|(name, _)| Name::clone(name));
        found.ok_or_else(|| InvalidRequest::field(field, format!("unknown service {name:?}")))
    }

    /// Validates and converts the tasks of a job.
    pub(crate) fn job(self, body: JobBody) -> Result<Vec<Arc<Task>>, InvalidRequest> {
        let count = body.tasks.len();
        if count == 0 || count > MAX_TASKS {
            let reason = format!("{count} tasks, accepted: 1 to {MAX_TASKS}");
            return Err(InvalidRequest::field("tasks", reason));
        }
        body.tasks.into_iter().enumerate().map(|(at, task)| self.task(at, task)).collect()
    }

    /// Validates and converts the task with index `at`.
    fn task(self, at: usize, body: TaskBody) -> Result<Arc<Task>, InvalidRequest> {
        let target = match (&body.service, body.need) {
            (Some(name), None) => {
                Target::Service(self.service(name, &format!("tasks[{at}].service"))?)
            }
            (None, Some(need)) => Target::Need(self.need(need, &format!("tasks[{at}].need"))?),
            _ => {
                let field = format!("tasks[{at}]");
                return Err(InvalidRequest::field(field, "accepted: either a service or a need"));
            }
        };
        let work = Bytes::from(body.work.into_bytes());
        Ok(Arc::new(Task { target, work, declared_ms: body.declared_ms.unwrap_or(0) }))
    }

    /// Converts a need, which at least one worker must be able to satisfy when idle.
    fn need(self, body: NeedBody, field: &str) -> Result<Need, InvalidRequest> {
        let need = Need {
            cpu_milli: body.cpu_milli,
            memory_mb: body.memory_mb,
            accelerators: body.accelerators,
        };
        if need.cpu_milli == 0 && need.memory_mb == 0 && need.accelerators == 0 {
            // A worker would have capacity for any number of empty needs.
            return Err(InvalidRequest::field(field, "nothing is needed"));
        }
        let Some(config) = self.0 else { return Ok(need) };
        if config.workers.values().any(|worker| satisfies(worker, &need)) {
            return Ok(need);
        }
        Err(InvalidRequest::field(field, "more than any worker has"))
    }
}

fn satisfies(worker: &Worker, need: &Need) -> bool {
    worker.cpu_milli >= need.cpu_milli
        && worker.memory_mb >= need.memory_mb
        && worker.accelerators >= need.accelerators
}
