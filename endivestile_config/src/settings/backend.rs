//! Section `[backends]` of the settings.

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::raw::RawValue;

/// Settings of calls to backend servers and workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// Number of threads; each makes one call at a time.
    pub threads: usize,
    /// Time after which an idle connection is closed, in milliseconds; should be below the
    /// limit of the backend servers and workers.
    pub idle_timeout_ms: u64,
    /// Maximum size of a task's result, in bytes.
    pub answer_limit: usize,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self { threads: 256, idle_timeout_ms: 4_000, answer_limit: 4 << 20 }
    }
}

impl SectionFields for BackendSettings {
    const KEYS: &'static [&'static str] = &["threads", "idle-ms", "answer-limit"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "threads" => self.threads = raw.number(1..=4_096)?,
            "idle-ms" => self.idle_timeout_ms = raw.number(0..=600_000)?,
            "answer-limit" => self.answer_limit = raw.number(1_024..=(64 << 20))?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "threads" => self.threads.to_string(),
            "idle-ms" => self.idle_timeout_ms.to_string(),
            _ => self.answer_limit.to_string(),
        }
    }
}
