//! Checks of a whole configuration, before it is written and before it is adopted.

use std::collections::{BTreeMap, HashMap};

use crate::document::MAX_BYTES;
use crate::error::{ConfigError, Location};
use crate::model::{Config, Name};
use crate::raw::nearest;

/// Placement policies that a host knows.
pub const PLACEMENT_POLICIES: [&str; 5] =
    ["earliest", "random", "round-robin", "least-outstanding", "two-choices"];

/// Most faults that [`check`] names. One wrong line can make thousands, and
/// each costs a search for the nearest name; a host that is offered such a
/// text would be busy with it for seconds.
const MAX_ERRORS: usize = 50;

/// Checks what no single section shows.
///
/// # Errors
///
/// The faults found, at most 50: unknown zones and backend servers, names and
/// addresses that stand twice, zeros where none may be, an unknown policy, no
/// host, no team, or a canonical form over [`MAX_BYTES`].
pub fn check(config: &Config) -> Result<(), Vec<ConfigError>> {
    let mut found = Found { config, errors: Vec::new() };
    found.places();
    found.services();
    found.names();
    found.addresses();
    found.numbers();
    found.whole();
    if found.errors.is_empty() { Ok(()) } else { Err(found.errors) }
}

/// Checks that a configuration may follow the one in force.
///
/// # Errors
///
/// A revision that doesn't grow, or another number of shards or another
/// resubmission window than before: hosts that still run with the old value
/// would send the same id to another home, or forget it too early.
pub fn check_change(old: &Config, new: &Config) -> Result<(), Vec<ConfigError>> {
    let mut errors = Vec::new();
    if new.revision <= old.revision {
        errors.push(ConfigError::StaleRevision { old: old.revision, new: new.revision });
    }
    if old.revision > 0 {
        let (was, is) = (&old.rules, &new.rules);
        fixed(&mut errors, "shards", u64::from(was.shards), u64::from(is.shards));
        fixed(&mut errors, "window-s", was.window_s, is.window_s);
    }
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

fn fixed(errors: &mut Vec<ConfigError>, key: &str, old: u64, new: u64) {
    if old != new {
        let location = Location::key("rules", key);
        errors.push(ConfigError::Immutable {
            location,
            old: old.to_string(),
            new: new.to_string(),
        });
    }
}

/// The faults found so far.
struct Found<'a> {
    /// The configuration.
    config: &'a Config,
    /// Its faults.
    errors: Vec<ConfigError>,
}

impl Found<'_> {
    fn add(&mut self, error: ConfigError) {
        if self.errors.len() < MAX_ERRORS {
            self.errors.push(error);
        }
    }

    fn unknown<T>(&mut self, location: Location, value: &str, known: &BTreeMap<Name, T>) {
        if self.errors.len() < MAX_ERRORS {
            let suggestion = nearest(value, known.keys().map(AsRef::as_ref));
            self.add(ConfigError::UnknownReference {
                location,
                value: value.to_owned(),
                suggestion,
            });
        }
    }

    fn places(&mut self) {
        let config = self.config;
        config.hosts.iter().for_each(|(name, host)| self.zone("host", name, &host.zone));
        config
            .servers
            .iter()
            .for_each(|(name, item)| self.zone("backend-server", name, &item.zone));
        config.workers.iter().for_each(|(name, item)| self.zone("worker", name, &item.zone));
    }

    fn zone(&mut self, kind: &str, name: &str, zone: &str) {
        if !self.config.zones.contains_key(zone) {
            let location = Location::key(&format!("{kind} {name}"), "zone");
            self.unknown(location, zone, &self.config.zones);
        }
    }

    fn services(&mut self) {
        let config = self.config;
        for (name, service) in &config.services {
            let location = Location::key(&format!("service {name}"), "backend-servers");
            if service.servers.is_empty() {
                self.add(ConfigError::Missing { location: location.clone() });
            }
            for server in service.servers.iter().filter(|s| !config.servers.contains_key(*s)) {
                self.unknown(location.clone(), server, &config.servers);
            }
        }
    }

    /// Refuses a name that two machines have. A planned stop goes by the name
    /// alone; it would stop both, one of them unnoticed.
    fn names(&mut self) {
        let config = self.config;
        let hosts = config.hosts.keys().map(|name| ("host", name));
        let servers = config.servers.keys().map(|name| ("backend-server", name));
        let workers = config.workers.keys().map(|name| ("worker", name));
        let mut owners: HashMap<&Name, &str> = HashMap::new();
        for (kind, name) in hosts.chain(servers).chain(workers) {
            if let Some(other) = owners.insert(name, kind) {
                let location = Location::key(&format!("{kind} {name}"), "");
                let (value, other) = (format!("the name {name}"), format!("{other} {name}"));
                self.add(ConfigError::Conflict { location, value, other });
            }
        }
    }

    fn addresses(&mut self) {
        let config = self.config;
        let hosts = config.hosts.iter().map(|(name, item)| ("host", name, &item.address));
        let servers =
            config.servers.iter().map(|(name, item)| ("backend-server", name, &item.address));
        let workers = config.workers.iter().map(|(name, item)| ("worker", name, &item.address));
        let mut owners: HashMap<&Name, String> = HashMap::new();
        for (kind, name, address) in hosts.chain(servers).chain(workers) {
            let section = format!("{kind} {name}");
            let location = Location::key(&section, "address");
            if let Some(other) = owners.insert(address, section) {
                let value = address.to_string();
                self.add(ConfigError::Conflict { location, value, other });
            }
        }
    }

    /// Refuses zeros. The parser refuses them too, but a configuration may
    /// have come another way than through it.
    fn numbers(&mut self) {
        let config = self.config;
        for (name, host) in &config.hosts {
            self.positive(&format!("host {name}"), "weight", host.weight);
        }
        for (name, server) in &config.servers {
            let section = format!("backend-server {name}");
            self.positive(&section, "slots", server.slots);
            self.positive(&section, "connections", server.connections);
        }
        for (name, worker) in &config.workers {
            let section = format!("worker {name}");
            self.positive(&section, "cpu-milli", worker.cpu_milli);
            self.positive(&section, "memory-mb", worker.memory_mb);
        }
        for (name, team) in &config.teams {
            let section = format!("team {name}");
            self.positive(&section, "limit", team.limit);
            self.positive(&section, "weight", team.weight);
        }
        self.positive("rules", "shards", config.rules.shards);
        self.positive("rules", "queue-limit", config.rules.queue_limit);
    }

    fn positive(&mut self, section: &str, key: &str, number: u32) {
        if number == 0 {
            let location = Location::key(section, key);
            let accepted = "whole numbers from 1".to_owned();
            self.add(ConfigError::InvalidValue { location, value: "0".to_owned(), accepted });
        }
    }

    fn whole(&mut self) {
        let config = self.config;
        if config.hosts.is_empty() {
            self.add(ConfigError::Missing { location: Location::key("host NAME", "") });
        }
        if config.teams.is_empty() {
            self.add(ConfigError::Missing { location: Location::key("team NAME", "") });
        }
        if !PLACEMENT_POLICIES.contains(&config.rules.policy.as_ref()) {
            let location = Location::key("rules", "policy");
            let (value, accepted) =
                (config.rules.policy.to_string(), PLACEMENT_POLICIES.join(", "));
            self.add(ConfigError::InvalidValue { location, value, accepted });
        }
        let bytes = config.canonical().len();
        if bytes > MAX_BYTES {
            let location = Location { origin: Name::from("canonical form"), ..Location::default() };
            self.add(ConfigError::TooLarge { location, bytes, limit: MAX_BYTES });
        }
    }
}
