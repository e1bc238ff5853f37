//! Section `[stop]` of the settings.

use crate::error::ConfigError;
use crate::keys::{Keys, unknown_key};
use crate::raw::Raw;

/// How the daemon stops.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopSettings {
    /// Longest graceful shutdown, in seconds; keep it over `max-deadline-ms`,
    /// or a shutdown may cut off a request.
    pub limit_s: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { limit_s: 660 }
    }
}

impl Keys for StopSettings {
    const KEYS: &'static [&'static str] = &["limit-s"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &Raw) -> Result<(), ConfigError> {
        match raw.place.key.as_str() {
            "limit-s" => self.limit_s = raw.number(1..=172_800)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, _key: &str) -> String {
        self.limit_s.to_string()
    }
}
