//! Section `[log]` of the settings.

use std::path::PathBuf;

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::model::Name;
use crate::raw::RawValue;
use crate::settings::format_optional;

/// Log levels.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Name,
    /// File that events are appended to; `None` for standard output.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: Name::from("info"), file: None }
    }
}

impl SectionFields for LogSettings {
    const KEYS: &'static [&'static str] = &["level", "file"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "level" => self.level = raw.one_of(&LEVELS)?,
            "file" => self.file = (!raw.text.is_empty()).then(|| PathBuf::from(&raw.text)),
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "level" => self.level.to_string(),
            _ => format_optional(self.file.as_ref().map(|file| file.display())),
        }
    }
}
