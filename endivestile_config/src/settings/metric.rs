//! Section `[metrics]` of the settings.

use std::net::SocketAddr;

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::raw::RawValue;
use crate::settings::{format_optional, optional_socket};

/// Settings of the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricSettings {
    /// Address of the statsd server; `None` sends nothing.
    pub statsd_address: Option<SocketAddr>,
    /// Interval between two reports to the statsd server, in milliseconds.
    pub interval_ms: u64,
    /// Address of the page with counters and latencies; `None` serves no page.
    pub page_address: Option<SocketAddr>,
}

impl Default for MetricSettings {
    fn default() -> Self {
        Self { statsd_address: None, interval_ms: 10_000, page_address: None }
    }
}

impl SectionFields for MetricSettings {
    const KEYS: &'static [&'static str] = &["statsd", "interval-ms", "page"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "statsd" => self.statsd_address = optional_socket(raw)?,
            "interval-ms" => self.interval_ms = raw.number(100..=600_000)?,
            "page" => self.page_address = optional_socket(raw)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "statsd" => format_optional(self.statsd_address),
            "interval-ms" => self.interval_ms.to_string(),
            _ => format_optional(self.page_address),
        }
    }
}
