//! Section `[metrics]` of the settings.

use std::net::SocketAddr;

use crate::error::ConfigError;
use crate::keys::{Keys, unknown_key};
use crate::raw::Raw;
use crate::settings::{optional, socket_or_none};

/// Where metrics go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricSettings {
    /// Address of the statsd sink; none sends nothing.
    pub statsd: Option<SocketAddr>,
    /// Time between two sends, in milliseconds.
    pub interval_ms: u64,
    /// Address of the page with counters and latencies; none serves no page.
    pub page: Option<SocketAddr>,
}

impl Default for MetricSettings {
    fn default() -> Self {
        Self { statsd: None, interval_ms: 10_000, page: None }
    }
}

impl Keys for MetricSettings {
    const KEYS: &'static [&'static str] = &["statsd", "interval-ms", "page"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &Raw) -> Result<(), ConfigError> {
        match raw.place.key.as_str() {
            "statsd" => self.statsd = socket_or_none(raw)?,
            "interval-ms" => self.interval_ms = raw.number(100..=600_000)?,
            "page" => self.page = socket_or_none(raw)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "statsd" => optional(self.statsd),
            "interval-ms" => self.interval_ms.to_string(),
            _ => optional(self.page),
        }
    }
}
