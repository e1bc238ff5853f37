//! Checks of a whole configuration, made before it is written and before it is adopted.

use std::collections::{BTreeMap, HashMap};

use crate::document::MAX_BYTES;
use crate::error::{ConfigError, Location};
use crate::model::{Config, Name};
use crate::raw::nearest;

/// Supported placement policies.
pub const PLACEMENT_POLICIES: [&str; 5] =
    ["earliest", "random", "round-robin", "least-outstanding", "two-choices"];

/// Maximum number of errors that [`check`] reports. One wrong line can cause thousands,
/// and each costs a search for the most similar name, which would keep a host busy for
/// seconds.
const MAX_ERRORS: usize = 50;

/// Checks what cannot be checked within a single section.
///
/// # Errors
///
/// The errors found, at most 50: unknown zones and backend servers, duplicate names
/// and addresses, invalid zeros, an unknown policy, no host, no team, or a canonical
/// form over [`MAX_BYTES`].
pub fn check(config: &Config) -> Result<(), Vec<ConfigError>> {
    let mut checker = Checker { config, errors: Vec::new() };
    checker.check_zones();
    checker.check_services();
    checker.check_names();
    checker.check_addresses();
    checker.check_numbers();
    checker.check_whole();
    if checker.errors.is_empty() { Ok(()) } else { Err(checker.errors) }
}

/// Checks that a configuration may replace the one in force.
///
/// # Errors
///
/// A revision that is not higher, or a changed number of shards or resubmission window:
/// hosts that still use the old value would send the same id to another home, or forget
/// it too early.
pub fn check_change(old: &Config, new: &Config) -> Result<(), Vec<ConfigError>> {
    let mut errors = Vec::new();
    if new.revision <= old.revision {
        errors.push(ConfigError::StaleRevision { old: old.revision, new: new.revision });
    }
    if old.revision > 0 {
        let (before, after) = (&old.rules, &new.rules);
        check_unchanged(&mut errors, "shards", u64::from(before.shards), u64::from(after.shards));
        check_unchanged(&mut errors, "window-s", before.window_s, after.window_s);
    }
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

fn check_unchanged(errors: &mut Vec<ConfigError>, key: &str, old: u64, new: u64) {
    if old != new {
        let location = Location::key("rules", key);
        errors.push(ConfigError::Immutable {
            location,
            old: old.to_string(),
            new: new.to_string(),
        });
    }
}

/// Checks one configuration and collects its errors.
struct Checker<'a> {
    /// The configuration.
    config: &'a Config,
    /// Errors found so far.
    errors: Vec<ConfigError>,
}

impl Checker<'_> {
    fn add(&mut self, error: ConfigError) {
        if self.errors.len() < MAX_ERRORS {
            self.errors.push(error);
        }
    }

    fn add_unknown<T>(&mut self, location: Location, value: &str, known: &BTreeMap<Name, T>) {
        if self.errors.len() < MAX_ERRORS {
            let suggestion = nearest(value, known.keys().map(AsRef::as_ref));
            self.add(ConfigError::UnknownReference {
                location,
                value: value.to_owned(),
                suggestion,
            });
        }
    }

    fn check_zones(&mut self) {
        let config = self.config;
        config.hosts.iter().for_each(|(name, host)| self.check_zone("host", name, &host.zone));
        config
            .servers
            .iter()
            .for_each(|(name, item)| self.check_zone("backend-server", name, &item.zone));
        config.workers.iter().for_each(|(name, item)| self.check_zone("worker", name, &item.zone));
    }

    fn check_zone(&mut self, kind: &str, name: &str, zone: &str) {
        if !self.config.zones.contains_key(zone) {
            let location = Location::key(&format!("{kind} {name}"), "zone");
            self.add_unknown(location, zone, &self.config.zones);
        }
    }

    fn check_services(&mut self) {
        let config = self.config;
        for (name, service) in &config.services {
            let location = Location::key(&format!("service {name}"), "backend-servers");
            if service.servers.is_empty() {
                self.add(ConfigError::Missing { location: location.clone() });
            }
            for server in service.servers.iter().filter(|s| !config.servers.contains_key(*s)) {
                self.add_unknown(location.clone(), server, &config.servers);
            }
        }
    }

    /// Refuses a name that two machines have. A planned stop identifies a machine by its
    /// name alone, so it would also stop the other one unnoticed.
    fn check_names(&mut self) {
        let config = self.config;
        let hosts = config.hosts.keys().map(|name| ("host", name));
        let servers = config.servers.keys().map(|name| ("backend-server", name));
        let workers = config.workers.keys().map(|name| ("worker", name));
        let mut used: HashMap<&Name, &str> = HashMap::new();
        for (kind, name) in hosts.chain(servers).chain(workers) {
            if let Some(other) = used.insert(name, kind) {
                let location = Location::key(&format!("{kind} {name}"), "");
                let (value, other) = (format!("the name {name}"), format!("{other} {name}"));
                self.add(ConfigError::Conflict { location, value, other });
            }
        }
    }

    fn check_addresses(&mut self) {
        let config = self.config;
        let hosts = config.hosts.iter().map(|(name, item)| ("host", name, &item.address));
        let servers =
            config.servers.iter().map(|(name, item)| ("backend-server", name, &item.address));
        let workers = config.workers.iter().map(|(name, item)| ("worker", name, &item.address));
        let mut used: HashMap<&Name, String> = HashMap::new();
        for (kind, name, address) in hosts.chain(servers).chain(workers) {
            let section = format!("{kind} {name}");
            let location = Location::key(&section, "address");
            if let Some(other) = used.insert(address, section) {
                let value = address.to_string();
                self.add(ConfigError::Conflict { location, value, other });
            }
        }
    }

    /// Refuses zeros. The parser refuses them too, but not every configuration comes from
    /// the parser.
    fn check_numbers(&mut self) {
        let config = self.config;
        for (name, host) in &config.hosts {
            self.check_positive(&format!("host {name}"), "weight", host.weight);
        }
        for (name, server) in &config.servers {
            let section = format!("backend-server {name}");
            self.check_positive(&section, "slots", server.slots);
            self.check_positive(&section, "connections", server.connections);
        }
        for (name, worker) in &config.workers {
            let section = format!("worker {name}");
            self.check_positive(&section, "cpu-milli", worker.cpu_milli);
            self.check_positive(&section, "memory-mb", worker.memory_mb);
        }
        for (name, team) in &config.teams {
            let section = format!("team {name}");
            self.check_positive(&section, "limit", team.limit);
            self.check_positive(&section, "weight", team.weight);
        }
        self.check_positive("rules", "shards", config.rules.shards);
        self.check_positive("rules", "queue-limit", config.rules.queue_limit);
    }

    fn check_positive(&mut self, section: &str, key: &str, number: u32) {
        if number == 0 {
            let location = Location::key(section, key);
            let accepted = "whole numbers from 1".to_owned();
            self.add(ConfigError::InvalidValue { location, value: "0".to_owned(), accepted });
        }
    }

    fn check_whole(&mut self) {
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
