//! Section `[stop]` of the settings.

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::raw::RawValue;

/// Settings of the shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopSettings {
    /// Maximum duration of a graceful shutdown, in seconds; without a platform
    /// adapter it must not be below `max-deadline-ms`, or a shutdown would cut off requests.
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
