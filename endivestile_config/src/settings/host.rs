//! Section `[host]` of the settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::error::ConfigError;
use crate::keys::{Keys, unknown_key};
use crate::model::Name;
use crate::raw::{Raw, is_name};
use crate::settings::{optional, socket_or_none};

/// What a seed is, in words.
const SEED_ACCEPTED: &str = "name@IP:port of another entry host, for example e2@10.0.1.8:8081";

/// What the host is and where it listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host in the inventory.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for links from peers.
    pub peers: SocketAddr,
    /// Address that peers dial; none means the address of `peers`.
    pub advertise: Option<SocketAddr>,
    /// Hosts to ask for the configuration while the store is away: name and address of links.
    pub seeds: Vec<(Name, SocketAddr)>,
}

impl HostSettings {
    /// Returns the address that peers dial, with port 0 still as it is set.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peers)
    }
}

impl Default for HostSettings {
    fn default() -> Self {
        Self {
            name: Name::from(""),
            zone: Name::from(""),
            http: any(8080),
            peers: any(8081),
            advertise: None,
            seeds: Vec::new(),
        }
    }
}

const fn any(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), port)
}

impl Keys for HostSettings {
    const KEYS: &'static [&'static str] = &["name", "zone", "http", "peers", "advertise", "seeds"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &Raw) -> Result<(), ConfigError> {
        match raw.place.key.as_str() {
            "name" => self.name = raw.name()?,
            "zone" => self.zone = raw.name()?,
            "http" => self.http = raw.socket()?,
            "peers" => self.peers = raw.socket()?,
            "advertise" => self.advertise = socket_or_none(raw)?,
            "seeds" => self.seeds = seeds(raw)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "name" => self.name.to_string(),
            "zone" => self.zone.to_string(),
            "http" => self.http.to_string(),
            "peers" => self.peers.to_string(),
            "advertise" => optional(self.advertise),
            _ => seeds_text(&self.seeds),
        }
    }
}

fn seeds(raw: &Raw) -> Result<Vec<(Name, SocketAddr)>, ConfigError> {
    let items = raw.list()?;
    items.iter().map(|item| seed(item).ok_or_else(|| item.refuse(SEED_ACCEPTED))).collect()
}

fn seed(raw: &Raw) -> Option<(Name, SocketAddr)> {
    let (name, address) = raw.text.split_once('@')?;
    let address = address.parse().ok()?;
    is_name(name).then(|| (Name::from(name), address))
}

fn seeds_text(seeds: &[(Name, SocketAddr)]) -> String {
    let items: Vec<String> = seeds.iter().map(|(name, at)| format!("{name}@{at}")).collect();
    items.join(", ")
}
