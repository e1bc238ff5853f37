//! Settings of one entry host's daemon.

mod backend;
mod call;
mod host;
mod log;
mod metric;
mod platform;
mod stop;
mod store;

use std::net::SocketAddr;

use crate::document::read_sections;
use crate::error::{ConfigError, Location};
use crate::keys::{set_key, set_keys, write_section};
use crate::model::Name;
use crate::raw::{RawValue, nearest, truncate};

pub use backend::BackendSettings;
pub use call::CallSettings;
pub use host::HostSettings;
pub use log::LogSettings;
pub use metric::MetricSettings;
pub use platform::PlatformSettings;
pub use stop::StopSettings;
pub use store::StoreSettings;

/// Sections of the settings.
const SECTIONS: [&str; 8] =
    ["backends", "calls", "host", "log", "metrics", "platform", "stop", "store"];
/// How errors name an override of the command line.
const OVERRIDE: &str = "command line";

/// All settings.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Settings {
    /// Section `host`.
    pub host: HostSettings,
    /// Section `store`.
    pub store: StoreSettings,
    /// Section `calls`.
    pub calls: CallSettings,
    /// Section `backends`.
    pub backends: BackendSettings,
    /// Section `log`.
    pub log: LogSettings,
    /// Section `metrics`.
    pub metrics: MetricSettings,
    /// Section `platform`.
    pub platform: PlatformSettings,
    /// Section `stop`.
    pub stop: StopSettings,
}

impl Settings {
    /// Parses settings; `origin` names the text in errors.
    ///
    /// # Errors
    ///
    /// The first fault of the text, or a setting that must be given and isn't.
    pub fn parse(text: &str, origin: &str) -> Result<Self, ConfigError> {
        Self::load(text, origin, &[])
    }

    /// Parses settings, then lets overrides of the form `section.key=value` win.
    ///
    /// # Errors
    ///
    /// As [`Self::parse`]; a setting that is missing in the text may be given
    /// by an override.
    pub fn load(text: &str, origin: &str, overrides: &[String]) -> Result<Self, ConfigError> {
        let mut settings = Self::default();
        let mut seen: Vec<(String, usize)> = Vec::new();
        for section in read_sections(text, origin)? {
            if let Some((_, first)) = seen.iter().find(|(kind, _)| *kind == section.kind) {
                return Err(ConfigError::Duplicate {
                    location: section.location,
                    first_line: *first,
                });
            }
            if !section.name.is_empty() {
                return Err(unknown(&section.location, &section.kind));
            }
            seen.push((section.kind.clone(), section.location.line));
            match section.kind.as_str() {
                "host" => set_keys(&mut settings.host, &section)?,
                "store" => set_keys(&mut settings.store, &section)?,
                "calls" => set_keys(&mut settings.calls, &section)?,
                "backends" => set_keys(&mut settings.backends, &section)?,
                "log" => set_keys(&mut settings.log, &section)?,
                "metrics" => set_keys(&mut settings.metrics, &section)?,
                "platform" => set_keys(&mut settings.platform, &section)?,
                "stop" => set_keys(&mut settings.stop, &section)?,
                kind => return Err(unknown(&section.location, kind)),
            }
        }
        for assignment in overrides {
            settings.set(assignment)?;
        }
        settings.check(origin)?;
        Ok(settings)
    }

    /// Sets one setting from `section.key=value`.
    ///
    /// # Errors
    ///
    /// An unknown section or key, or a value that is not accepted.
    pub fn set(&mut self, assignment: &str) -> Result<(), ConfigError> {
        let (section, key, text) = split(assignment)?;
        let location = Location { origin: Name::from(OVERRIDE), ..Location::key(section, key) };
        let raw = RawValue { location, text: text.to_owned() };
        match section {
            "host" => set_key(&mut self.host, &raw),
            "store" => set_key(&mut self.store, &raw),
            "calls" => set_key(&mut self.calls, &raw),
            "backends" => set_key(&mut self.backends, &raw),
            "log" => set_key(&mut self.log, &raw),
            "metrics" => set_key(&mut self.metrics, &raw),
            "platform" => set_key(&mut self.platform, &raw),
            "stop" => set_key(&mut self.stop, &raw),
            kind => Err(unknown(&raw.location, kind)),
        }
    }

    /// Checks what must be given and what must fit together.
    fn check(&self, origin: &str) -> Result<(), ConfigError> {
        let location = |section: &str, key: &str| Location {
            origin: Name::from(origin),
            ..Location::key(section, key)
        };
        let missing = [
            ("host", "name", self.host.name.is_empty()),
            ("host", "zone", self.host.zone.is_empty()),
            ("store", "addresses", self.store.addresses.is_empty()),
            ("host", "advertise", self.host.advertised_address().ip().is_unspecified()),
        ];
        if let Some((section, key, _)) = missing.iter().find(|(_, _, missing)| *missing) {
            return Err(ConfigError::Missing { location: location(section, key) });
        }
        if self.calls.default_deadline_ms > self.calls.max_deadline_ms {
            return Err(ConfigError::InvalidValue {
                location: location("calls", "default-deadline-ms"),
                value: self.calls.default_deadline_ms.to_string(),
                accepted: format!("up to max-deadline-ms, {}", self.calls.max_deadline_ms),
            });
        }
        self.check_stop(location("stop", "limit-s"))
    }

    /// Refuses a shutdown that ends before the longest call: it would cut off
    /// requests, and their callers would see a closed connection.
    fn check_stop(&self, location: Location) -> Result<(), ConfigError> {
        let least = self.calls.max_deadline_ms.div_ceil(1_000);
        // A platform sets the limit itself, whatever its callers' deadlines are.
        if self.stop.shutdown_limit_s >= least || self.platform.adapter.is_some() {
            return Ok(());
        }
        let value = self.stop.shutdown_limit_s.to_string();
        let accepted = format!("from {least}, the seconds of [calls] max-deadline-ms");
        Err(ConfigError::InvalidValue { location, value, accepted })
    }

    /// Returns all settings as a text that [`Self::parse`] reads.
    pub fn canonical(&self) -> String {
        let mut out = String::new();
        write_section(&mut out, "host", &self.host);
        write_section(&mut out, "store", &self.store);
        write_section(&mut out, "calls", &self.calls);
        write_section(&mut out, "backends", &self.backends);
        write_section(&mut out, "log", &self.log);
        write_section(&mut out, "metrics", &self.metrics);
        write_section(&mut out, "platform", &self.platform);
        write_section(&mut out, "stop", &self.stop);
        out
    }
}

fn split(assignment: &str) -> Result<(&str, &str, &str), ConfigError> {
    let parts = assignment.split_once('=').and_then(|(path, value)| {
        let (section, key) = path.trim().split_once('.')?;
        Some((section, key, value.trim()))
    });
    parts.ok_or_else(|| ConfigError::InvalidValue {
        location: Location { origin: Name::from(OVERRIDE), ..Location::default() },
        value: truncate(assignment),
        accepted: "section.key=value".to_owned(),
    })
}

fn unknown(location: &Location, kind: &str) -> ConfigError {
    let suggestion = nearest(kind, SECTIONS).unwrap_or_default();
    ConfigError::UnknownSection {
        location: Location { key: String::new(), ..location.clone() },
        suggestion,
    }
}

/// Reads an address or nothing.
pub(crate) fn optional_socket(raw: &RawValue) -> Result<Option<SocketAddr>, ConfigError> {
    if raw.text.is_empty() { Ok(None) } else { raw.socket().map(Some) }
}

/// Writes a value, or nothing for none.
pub(crate) fn optional(value: Option<impl ToString>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}
