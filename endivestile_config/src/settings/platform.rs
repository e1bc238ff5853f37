//! Section `[platform]` of the settings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::mechanism::{Mechanism, Policy};
use crate::model::Name;
use crate::raw::RawValue;
use crate::settings::{optional, optional_socket};

/// Which platform the host serves on, and the times that it grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Adapter that translates; none serves the product's own interface.
    pub adapter: Option<Name>,
    /// Address on which the balancer asks whether the host is ready.
    pub ready_address: Option<SocketAddr>,
    /// Time after which a caller without an answer sends its job again, in milliseconds.
    pub caller_resend_ms: u64,
    /// Longest lease that a worker grants, in milliseconds.
    pub max_lease_ms: u64,
    /// Time from the signal to stop until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Processor time that the host may use, in thousandths of a core; 0 when
    /// that is not known. Hosts with more of it own workers first.
    pub cpu_milli: u32,
    /// Bandwidth of the host's link, in kilobits a second; 0 when that is not known.
    pub link_kbps: u32,
    /// How many times longer a task takes away from its data, in thousandths.
    pub remote_factor_milli: u32,
    /// Policies in force: all of them, but for trials.
    pub policy: Policy,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            adapter: None,
            ready_address: None,
            caller_resend_ms: 1_300,
            max_lease_ms: 1_000,
            grace_ms: 6_000,
            cpu_milli: 0,
            link_kbps: 0,
            remote_factor_milli: 2_000,
            policy: Policy::default(),
        }
    }
}

impl PlatformSettings {
    /// Returns the lease of a worker's runs, in milliseconds: half the time
    /// after which a caller sends its job again, so that no run of the first
    /// sending is left when the second comes.
    pub fn worker_lease_ms(&self) -> u64 {
        (self.caller_resend_ms / 2).min(self.max_lease_ms)
    }

    /// Returns the lease of another host's tasks, in milliseconds. Both leases
    /// and a tenth of the time for stops and slow clocks fit into that time.
    pub fn host_lease_ms(&self) -> u64 {
        self.caller_resend_ms * 2 / 5
    }
}

impl SectionFields for PlatformSettings {
    const KEYS: &'static [&'static str] = &[
        "adapter",
        "ready",
        "resend-ms",
        "hold-ms",
        "grace-s",
        "cores",
        "link-mbps",
        "remote-factor",
        "without",
    ];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "adapter" => self.adapter = Some(raw.name_or_empty()?).filter(|name| !name.is_empty()),
            "ready" => self.ready_address = optional_socket(raw)?,
            "resend-ms" => set(&mut self.caller_resend_ms, raw, 200.0..=600_000.0, 1.0)?,
            "hold-ms" => set(&mut self.max_lease_ms, raw, 100.0..=600_000.0, 1.0)?,
            "grace-s" => set(&mut self.grace_ms, raw, 0.1..=600.0, 1_000.0)?,
            "cores" => set_small(&mut self.cpu_milli, raw, 0.0..=1_024.0, 1_000.0)?,
            "link-mbps" => set_small(&mut self.link_kbps, raw, 0.0..=1_000_000.0, 1_000.0)?,
            "remote-factor" => {
                set_small(&mut self.remote_factor_milli, raw, 1.0..=1_000.0, 1_000.0)?
            }
            "without" => self.policy = policy(raw)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "adapter" => optional(self.adapter.as_ref()),
            "ready" => optional(self.ready_address),
            "resend-ms" => self.caller_resend_ms.to_string(),
            "hold-ms" => self.max_lease_ms.to_string(),
            "grace-s" => (self.grace_ms as f64 / 1_000.0).to_string(),
            "link-mbps" => (f64::from(self.link_kbps) / 1_000.0).to_string(),
            "remote-factor" => (f64::from(self.remote_factor_milli) / 1_000.0).to_string(),
            "without" => {
                let words: Vec<&str> = self.policy.disabled().map(Mechanism::label).collect();
                words.join(", ")
            }
            _ => (f64::from(self.cpu_milli) / 1_000.0).to_string(),
        }
    }
}

/// Reads a figure of the platform's, times `factor`. Its templates leave a value
/// empty that it does not set, and write fractions: neither keeps a host from
/// starting.
fn set(
    field: &mut u64,
    raw: &RawValue,
    range: RangeInclusive<f64>,
    factor: f64,
) -> Result<(), ConfigError> {
    if raw.text.is_empty() {
        return Ok(());
    }
    match raw.text.parse::<f64>() {
        Ok(number) if range.contains(&number) => *field = (number * factor) as u64,
        _ => {
            let accepted = format!("numbers from {} to {}", range.start(), range.end());
            return Err(raw.invalid(accepted));
        }
    }
    Ok(())
}

/// The same for a field of 32 bits.
fn set_small(
    field: &mut u32,
    raw: &RawValue,
    range: RangeInclusive<f64>,
    factor: f64,
) -> Result<(), ConfigError> {
    let mut wide = u64::from(*field);
    set(&mut wide, raw, range, factor)?;
    *field = u32::try_from(wide).unwrap_or(u32::MAX);
    Ok(())
}

/// Reads the policies that a trial leaves out.
fn policy(raw: &RawValue) -> Result<Policy, ConfigError> {
    let mut policy = Policy::default();
    for item in raw.list()? {
        let words = Mechanism::ALL.map(Mechanism::label);
        let Some(mechanism) = Mechanism::by_label(&item.text) else {
            return Err(item.invalid(words.join(", ")));
        };
        policy = policy.without(mechanism);
    }
    Ok(policy)
}
