//! Section `[host]` of the settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::model::Name;
use crate::raw::{RawValue, is_valid_name};
use crate::settings::{format_optional, optional_socket};

/// Description of a valid seed.
const SEED_ACCEPTED: &str = "name@IP:port of another entry host, for example e2@10.0.1.8:8081";

/// Largest memory in the settings, in MiB: one tebibyte.
const MAX_MEMORY_MB: u32 = 1 << 20;
/// Most descriptors in the settings.
const MAX_FILES: u32 = 1 << 20;

/// Identity, addresses and machine of the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host in the inventory.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Listen address for callers.
    pub http_address: SocketAddr,
    /// Listen address for links from peers.
    pub peer_address: SocketAddr,
    /// Address that peers dial; `None` for `peer_address`.
    pub advertise_address: Option<SocketAddr>,
    /// Hosts to get the configuration from while the store is unavailable: name and address for
    /// links.
    pub seeds: Vec<(Name, SocketAddr)>,
    /// Memory that the process may use, in MiB; 0 for that of the machine.
    pub memory_mb: u64,
    /// File descriptors that the process may open; 0 for the system's limit.
    pub files: u64,
}

impl HostSettings {
    /// Returns the address that peers dial; port 0 is not resolved.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise_address.unwrap_or(self.peer_address)
    }
}

impl Default for HostSettings {
    fn default() -> Self {
        Self {
            name: Name::from(""),
            zone: Name::from(""),
            http_address: unspecified(8080),
            peer_address: unspecified(8081),
            advertise_address: None,
            seeds: Vec::new(),
            memory_mb: 0,
            files: 0,
        }
    }
}

const fn unspecified(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), port)
}

impl SectionFields for HostSettings {
    const KEYS: &'static [&'static str] =
        &["name", "zone", "http", "peers", "advertise", "seeds", "memory-mb", "files"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "name" => self.name = raw.name()?,
            "zone" => self.zone = raw.name()?,
            "http" => self.http_address = raw.socket()?,
            "peers" => self.peer_address = raw.socket()?,
            "advertise" => self.advertise_address = optional_socket(raw)?,
            "seeds" => self.seeds = parse_seeds(raw)?,
            "memory-mb" => self.memory_mb = number_or_zero(raw, MAX_MEMORY_MB)?,
            "files" => self.files = number_or_zero(raw, MAX_FILES)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "name" => self.name.to_string(),
            "zone" => self.zone.to_string(),
            "http" => self.http_address.to_string(),
            "peers" => self.peer_address.to_string(),
            "advertise" => format_optional(self.advertise_address),
            "seeds" => format_seeds(&self.seeds),
            "memory-mb" => self.memory_mb.to_string(),
            _ => self.files.to_string(),
        }
    }
}

/// Parses a whole number; the platform's templates leave unset values empty and write fractions.
fn number_or_zero(raw: &RawValue, most: u32) -> Result<u64, ConfigError> {
    if raw.text.is_empty() {
        return Ok(0);
    }
    match raw.text.parse::<f64>() {
        Ok(number) if (0.0..=f64::from(most)).contains(&number) => Ok(number as u64),
        _ => Err(raw.invalid(format!("numbers from 0 to {most}"))),
    }
}

fn parse_seeds(raw: &RawValue) -> Result<Vec<(Name, SocketAddr)>, ConfigError> {
    let items = raw.list()?;
    items.iter().map(|item| parse_seed(item).ok_or_else(|| item.invalid(SEED_ACCEPTED))).collect()
}

fn parse_seed(raw: &RawValue) -> Option<(Name, SocketAddr)> {
    let (name, address) = raw.text.split_once('@')?;
    let address = address.parse().ok()?;
    is_valid_name(name).then(|| (Name::from(name), address))
}

fn format_seeds(seeds: &[(Name, SocketAddr)]) -> String {
    let items: Vec<String> = seeds.iter().map(|(name, at)| format!("{name}@{at}")).collect();
    items.join(", ")
}
