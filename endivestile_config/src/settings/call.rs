//! Section `[calls]` of the settings.

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::raw::RawValue;

/// Maximum deadline in the settings, in milliseconds: one day.
const DAY_MS: u64 = 86_400_000;

/// Settings of calls from callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallSettings {
    /// Number of threads that decode submissions.
    pub threads: usize,
    /// Maximum size of a body, in bytes.
    pub body_limit: usize,
    /// Default deadline of a call, in milliseconds from its arrival.
    pub default_deadline_ms: u64,
    /// Latest deadline that a call may set, in milliseconds from its arrival.
    pub max_deadline_ms: u64,
    /// Maximum time to receive the head of a request, and again its body, in milliseconds.
    pub receive_ms: u64,
    /// Maximum idle time between two requests on a connection, and maximum time in which a caller
    /// takes nothing of its answer, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            threads: 4,
            body_limit: 4 << 20,
            default_deadline_ms: 30_000,
            max_deadline_ms: 600_000,
            receive_ms: 60_000,
            idle_ms: 600_000,
        }
    }
}

impl SectionFields for CallSettings {
    const KEYS: &'static [&'static str] = &[
        "threads",
        "body-limit",
        "default-deadline-ms",
        "max-deadline-ms",
        "receive-ms",
        "idle-ms",
    ];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "threads" => self.threads = raw.number(1..=1_024)?,
            "body-limit" => self.body_limit = raw.number(1_024..=(64 << 20))?,
            "default-deadline-ms" => self.default_deadline_ms = raw.number(1..=DAY_MS)?,
            "max-deadline-ms" => self.max_deadline_ms = raw.number(1..=DAY_MS)?,
            "receive-ms" => self.receive_ms = raw.number(100..=DAY_MS)?,
            "idle-ms" => self.idle_ms = raw.number(100..=DAY_MS)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "threads" => self.threads.to_string(),
            "body-limit" => self.body_limit.to_string(),
            "default-deadline-ms" => self.default_deadline_ms.to_string(),
            "max-deadline-ms" => self.max_deadline_ms.to_string(),
            "receive-ms" => self.receive_ms.to_string(),
            _ => self.idle_ms.to_string(),
        }
    }
}
