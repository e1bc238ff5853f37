//! Records of started tasks.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;

/// Record of one task start on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// Name of the machine.
    pub machine: Arc<str>,
    /// Task key sent by the entry host, empty when the call had none.
    pub task: String,
    /// Key given in the task's work, or the whole work when it has no key.
    pub work: String,
    /// Start time, in microseconds since the stand-in started.
    pub at_us: u64,
    /// Run time on this machine, in microseconds.
    pub service_us: u64,
}

/// Work of a task in the form that the stand-in interprets: `{"key":"k1","ms":120}`.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Work {
    /// Key by which a test identifies the task.
    #[serde(default)]
    pub(crate) key: Option<String>,
    /// Run time on a machine of speed 1, in milliseconds.
    #[serde(default)]
    pub(crate) ms: Option<f64>,
}

impl Work {
    /// Parses the work. Text in any other form has neither key nor run time.
    pub(crate) fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }
}

/// Returns the answer of every stand-in to `work`. It contains the work, so that a
/// caller can check that an answer belongs to its own task.
pub fn echo(work: &str) -> String {
    format!("done {work}")
}

/// Returns the keys that occur more than once, with their counts.
pub(crate) fn repeated<'a>(keys: impl Iterator<Item = &'a str>) -> Vec<(String, usize)> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    let duplicates = counts.into_iter().filter(|(_, count)| *count > 1);
    duplicates.map(|(key, count)| (key.to_owned(), count)).collect()
}
