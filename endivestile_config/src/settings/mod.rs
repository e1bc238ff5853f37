//! Settings of an entry host's daemon.

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
/// Origin of overrides in errors.
const OVERRIDE_ORIGIN: &str = "command line";

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
    /// The first error in the text, or a required setting that is missing.
    pub fn parse(text: &str, origin: &str) -> Result<Self, ConfigError> {
        Self::load(text, origin, &[])
    }

    /// Parses settings, then applies overrides of the form `section.key=value`.
    ///
    /// # Errors
    ///
    /// As [`Self::parse`], or an invalid override. An override may supply a required setting
    /// that the text lacks.
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
                return Err(unknown_section(&section.location, &section.kind));
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
                kind => return Err(unknown_section(&section.location, kind)),
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
    /// An unknown section or key, or an invalid value.
    pub fn set(&mut self, assignment: &str) -> Result<(), ConfigError> {
        let (section, key, text) = split_assignment(assignment)?;
        let location =
            Location { origin: Name::from(OVERRIDE_ORIGIN), ..Location::key(section, key) };
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
            kind => Err(unknown_section(&raw.location, kind)),
        }
    }

    /// Checks that required settings are present and that settings are consistent.
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
                accepted: format!("numbers up to max-deadline-ms, {}", self.calls.max_deadline_ms),
            });
        }
        self.check_stop(location("stop", "limit-s"))
    }

    /// Refuses a shutdown limit below the longest call: a shutdown would cut off requests,
    /// and their callers would see a closed connection.
    fn check_stop(&self, location: Location) -> Result<(), ConfigError> {
        let min_limit_s = self.calls.max_deadline_ms.div_ceil(1_000);
        // A platform sets its own limit, regardless of its callers' deadlines.
        if self.stop.shutdown_limit_s >= min_limit_s || self.platform.adapter.is_some() {
            return Ok(());
        }
        let value = self.stop.shutdown_limit_s.to_string();
        let accepted =
            format!("numbers from {min_limit_s}, which is [calls] max-deadline-ms in seconds");
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

fn split_assignment(assignment: &str) -> Result<(&str, &str, &str), ConfigError> {
    let parts = assignment.split_once('=').and_then(|(path, value)| {
        let (section, key) = path.trim().split_once('.')?;
        Some((section, key, value.trim()))
    });
    parts.ok_or_else(|| ConfigError::InvalidValue {
        location: Location { origin: Name::from(OVERRIDE_ORIGIN), ..Location::default() },
        value: truncate(assignment),
        accepted: "section.key=value".to_owned(),
    })
}

fn unknown_section(location: &Location, kind: &str) -> ConfigError {
    let suggestion = nearest(kind, SECTIONS).unwrap_or_default();
    ConfigError::UnknownSection {
        location: Location { key: String::new(), ..location.clone() },
        suggestion,
    }
}

/// Parses a socket address or an empty value.
pub(crate) fn optional_socket(raw: &RawValue) -> Result<Option<SocketAddr>, ConfigError> {
    if raw.text.is_empty() { Ok(None) } else { raw.socket().map(Some) }
}

/// Formats a value; `None` becomes empty.
pub(crate) fn format_optional(value: Option<impl ToString>) -> String {
    value.map(|value| value.to_string()).unwrap_or_default()
}
