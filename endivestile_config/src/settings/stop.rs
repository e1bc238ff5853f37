//! Section `[stop]` of the settings.

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::raw::RawValue;

/// How the daemon stops.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopSettings {
    /// Longest graceful shutdown, in seconds; keep it over `max-deadline-ms`,
    /// or a shutdown may cut off a request.
    pub shutdown_limit_s: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { shutdown_limit_s: 660 }
    }
}

impl SectionFields for StopSettings {
    const KEYS: &'static [&'static str] = &["limit-s"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "limit-s" => self.shutdown_limit_s = raw.number(1..=172_800)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, _key: &str) -> String {
        self.shutdown_limit_s.to_string()
    }
}
