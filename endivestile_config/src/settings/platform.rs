//! Section `[platform]` of the settings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::mechanism::{Mechanism, Policy};
use crate::model::Name;
use crate::raw::RawValue;
use crate::settings::{format_optional, optional_socket};

/// Settings of the platform that the host runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Name of the platform adapter; `None` serves the project's own interface.
    pub adapter: Option<Name>,
    /// Additional address, for the load balancer's readiness checks.
    pub ready_address: Option<SocketAddr>,
    /// Time after which a caller without a response resubmits its job, in milliseconds.
    pub caller_resend_ms: u64,
    /// Maximum lease that a worker grants, in milliseconds.
    pub max_lease_ms: u64,
    /// Grace period from the stop signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Time within which a configuration has to apply, in milliseconds.
    pub config_ms: u32,
    /// Processor time that the host may use, in thousandths of a core; 0 if unknown. Hosts
    /// with more of it are preferred as owners of workers.
    pub cpu_milli: u32,
    /// Bandwidth of the host's network link, in kilobits per second; 0 if unknown.
    pub link_kbps: u32,
    /// Factor by which a task's run time grows on a worker without its data, in thousandths.
    pub remote_factor_milli: u32,
    /// Enabled scheduling mechanisms.
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
            config_ms: 2_000,
            cpu_milli: 0,
            link_kbps: 0,
            remote_factor_milli: 2_000,
            policy: Policy::default(),
        }
    }
}

impl PlatformSettings {
    /// Returns the lease of a worker's runs, in milliseconds.
    ///
    /// It is at most half the time after which a caller resubmits its job, so that no run
    /// of the first submission is left when the second one arrives.
    pub fn worker_lease_ms(&self) -> u64 {
        (self.caller_resend_ms / 2).min(self.max_lease_ms)
    }

    /// Returns the lease of another host's tasks, in milliseconds.
    ///
    /// Both leases together leave a tenth of the resubmission time for stops and slow
    /// clocks.
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
        "config-ms",
        "cores",
        "link-mbps",
        "remote-factor",
        "with",
        "without",
    ];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "adapter" => self.adapter = Some(raw.name_or_empty()?).filter(|name| !name.is_empty()),
            "ready" => self.ready_address = optional_socket(raw)?,
            "resend-ms" => set_scaled(&mut self.caller_resend_ms, raw, 200.0..=600_000.0, 1.0)?,
            "hold-ms" => set_scaled(&mut self.max_lease_ms, raw, 100.0..=600_000.0, 1.0)?,
            "grace-s" => set_scaled(&mut self.grace_ms, raw, 0.1..=600.0, 1_000.0)?,
            "config-ms" => set_scaled_u32(&mut self.config_ms, raw, 500.0..=600_000.0, 1.0)?,
            "cores" => set_scaled_u32(&mut self.cpu_milli, raw, 0.0..=1_024.0, 1_000.0)?,
            "link-mbps" => set_scaled_u32(&mut self.link_kbps, raw, 0.0..=1_000_000.0, 1_000.0)?,
            "remote-factor" => {
                set_scaled_u32(&mut self.remote_factor_milli, raw, 1.0..=1_000.0, 1_000.0)?
            }
            "with" => self.policy = apply_mechanisms(self.policy, raw, Policy::with)?,
            "without" => self.policy = apply_mechanisms(self.policy, raw, Policy::without)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "adapter" => format_optional(self.adapter.as_ref()),
            "ready" => format_optional(self.ready_address),
            "resend-ms" => self.caller_resend_ms.to_string(),
            "hold-ms" => self.max_lease_ms.to_string(),
            "grace-s" => (self.grace_ms as f64 / 1_000.0).to_string(),
            "config-ms" => self.config_ms.to_string(),
            "link-mbps" => (f64::from(self.link_kbps) / 1_000.0).to_string(),
            "remote-factor" => (f64::from(self.remote_factor_milli) / 1_000.0).to_string(),
            "with" => join_labels(self.policy.enabled()),
            "without" => join_labels(self.policy.disabled()),
            _ => (f64::from(self.cpu_milli) / 1_000.0).to_string(),
        }
    }
}

/// Sets a field to a number times `factor`.
///
/// The platform's templates leave unset values empty and write fractions; both are
/// accepted so that they do not keep a host from starting.
fn set_scaled(
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

/// Same as [`set_scaled`] for a field of 32 bits.
fn set_scaled_u32(
    field: &mut u32,
    raw: &RawValue,
    range: RangeInclusive<f64>,
    factor: f64,
) -> Result<(), ConfigError> {
    let mut wide = u64::from(*field);
    set_scaled(&mut wide, raw, range, factor)?;
    *field = u32::try_from(wide).unwrap_or(u32::MAX);
    Ok(())
}

/// Applies a list of mechanisms to a policy.
fn apply_mechanisms(
    policy: Policy,
    raw: &RawValue,
    apply: impl Fn(Policy, Mechanism) -> Policy,
) -> Result<Policy, ConfigError> {
    let mut policy = policy;
    for item in raw.list()? {
        let labels = Mechanism::ALL.map(Mechanism::label);
        let Some(mechanism) = Mechanism::by_label(&item.text) else {
            return Err(item.invalid(labels.join(", ")));
        };
        policy = apply(policy, mechanism);
    }
    Ok(policy)
}

fn join_labels(mechanisms: impl Iterator<Item = Mechanism>) -> String {
    let labels: Vec<&str> = mechanisms.map(Mechanism::label).collect();
    labels.join(", ")
}
