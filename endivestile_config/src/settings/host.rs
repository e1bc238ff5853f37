//! Section `[host]` of the settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::error::ConfigError;
use crate::keys::{Keys, unknown_key};
use crate::model::Name;
use crate::raw::Raw;
use crate::settings::{optional, socket_or_none};

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
        }
    }
}

const fn any(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), port)
}

impl Keys for HostSettings {
    const KEYS: &'static [&'static str] = &["name", "zone", "http", "peers", "advertise"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &Raw) -> Result<(), ConfigError> {
        match raw.place.key.as_str() {
            "name" => self.name = raw.name()?,
            "zone" => self.zone = raw.name()?,
            "http" => self.http = raw.socket()?,
            "peers" => self.peers = raw.socket()?,
            "advertise" => self.advertise = socket_or_none(raw)?,
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
            _ => optional(self.advertise),
        }
    }
}
