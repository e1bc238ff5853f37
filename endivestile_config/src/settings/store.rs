//! Section `[store]` of the settings.

use std::net::SocketAddr;

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::raw::RawValue;

/// Settings of calls to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// Addresses, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one call, in milliseconds.
    pub timeout_ms: u64,
    /// Time to live of the host's lease, in seconds.
    pub lease_s: u64,
    /// Maximum backoff between two attempts while the store is unavailable, in milliseconds.
    pub backoff_ms: u64,
    /// Reads per second that the store serves to all hosts together; 0 if unknown. The hosts of
    /// an adapter divide it among themselves.
    pub reads_per_s: u32,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            timeout_ms: 2_000,
            lease_s: 10,
            backoff_ms: 5_000,
            reads_per_s: 0,
        }
    }
}

impl SectionFields for StoreSettings {
    const KEYS: &'static [&'static str] =
        &["addresses", "timeout-ms", "lease-s", "backoff-ms", "reads-per-s"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "addresses" => {
                self.addresses =
                    raw.list()?.iter().map(RawValue::socket).collect::<Result<_, _>>()?;
            }
            "timeout-ms" => self.timeout_ms = raw.number(10..=60_000)?,
            "lease-s" => self.lease_s = raw.number(2..=600)?,
            "backoff-ms" => self.backoff_ms = raw.number(10..=600_000)?,
            "reads-per-s" => self.reads_per_s = raw.number(0..=u32::MAX)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "addresses" => {
                self.addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ")
            }
            "timeout-ms" => self.timeout_ms.to_string(),
            "lease-s" => self.lease_s.to_string(),
            "reads-per-s" => self.reads_per_s.to_string(),
            _ => self.backoff_ms.to_string(),
        }
    }
}
