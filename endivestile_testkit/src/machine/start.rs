//! Starts of tasks, as tests count them.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;

/// One start of a task at a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// Name of the machine.
    pub machine: Arc<str>,
    /// Key of the task as the system named it, empty when the call carried none.
    pub task: String,
    /// Key inside the work, or the whole work when it has none.
    pub work: String,
    /// When it started, in microseconds since the stand-in started.
    pub at_us: u64,
    /// How long the machine takes for it, in microseconds.
    pub service_us: u64,
}

/// What the stand-in reads of a task's work: `{"key":"k1","ms":120}`.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Work {
    /// Key by which the test names the task.
    #[serde(default)]
    pub(crate) key: Option<String>,
    /// Run time on a machine of speed 1, in milliseconds.
    #[serde(default)]
    pub(crate) ms: Option<f64>,
}

impl Work {
    /// Reads the work; other text than JSON has neither key nor run time.
    pub(crate) fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }
}

/// Returns the answer of every stand-in to `work`, by which a caller knows its own.
pub fn echo(work: &str) -> String {
    format!("done {work}")
}

/// Returns the keys that occur more than once, with their counts.
pub(crate) fn repeated<'a>(keys: impl Iterator<Item = &'a str>) -> Vec<(String, usize)> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    let many = counts.into_iter().filter(|(_, count)| *count > 1);
    many.map(|(key, count)| (key.to_owned(), count)).collect()
}
