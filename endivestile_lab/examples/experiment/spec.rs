//! Specification of an experiment, read from its INI file.

use std::error::Error;
use std::path::Path;
use std::str::FromStr;

use endivestile_lab::{Mix, SlotGroup};
use endivestile_testkit::{MachineSpec as Machine, Plan};
use ini::Ini;
use serde::Serialize;

use crate::fault::FaultKind;

/// Teams of every experiment, by index.
pub(crate) const TEAMS: [&str; 3] = ["m-large", "m-small", "m-other"];
/// Service that all submissions call.
pub(crate) const SERVICE: &str = "orders";

/// Kind of the ids that submissions carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum IdKind {
    /// Dated ids that the caller makes.
    Dated,
    /// Ids issued by the host that gets the submission.
    Minted,
}

/// One experiment.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Spec {
    /// Name, also that of the output files.
    pub(crate) name: String,
    /// Seed of the first round's trace; each later round adds 1.
    pub(crate) seed: u64,
    /// Rounds of each load; each round runs every policy.
    pub(crate) rounds: usize,
    /// Length of a slice's trace, in milliseconds.
    pub(crate) slice_ms: u64,
    /// Loads in percent of capacity.
    pub(crate) loads: Vec<u32>,
    /// Placement policies to compare.
    pub(crate) policies: Vec<String>,
    /// Availability zones.
    pub(crate) zones: Vec<String>,
    /// Number of entry hosts.
    pub(crate) hosts: usize,
    /// Weights of the entry hosts, assigned in turn.
    pub(crate) weights: Vec<u32>,
    /// One-way latency between zones, in microseconds.
    pub(crate) distance_us: u64,
    /// Placement cost of a message, in microseconds.
    pub(crate) price_us: u64,
    /// Number of backend servers.
    pub(crate) servers: usize,
    /// Slots of each backend server.
    pub(crate) slots: usize,
    /// Connections that each backend server accepts.
    pub(crate) connections: usize,
    /// Number of backend servers in a rack.
    pub(crate) rack: usize,
    /// Speeds of the backend servers, assigned in turn within a zone.
    pub(crate) speeds: Vec<f64>,
    /// Maximum number of each team's waiting and running tasks.
    pub(crate) limit: u32,
    /// Deadline of submissions, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Kind of the submissions' ids.
    pub(crate) ids: IdKind,
    /// Idempotent requests per hundred submissions.
    pub(crate) idempotent: u32,
    /// Non-idempotent requests per hundred submissions.
    pub(crate) once: u32,
    /// Long tasks per thousand tasks.
    pub(crate) long: u32,
    /// Relative shares of the teams, by index.
    pub(crate) teams: Vec<u32>,
    /// Fault injected in every slice.
    pub(crate) fault: FaultKind,
    /// Start of the fault, in milliseconds since the start of the slice.
    pub(crate) from_ms: u64,
    /// End of the fault, in the same unit.
    pub(crate) to_ms: u64,
}

impl Spec {
    /// Reads the specification from an INI file.
    pub(crate) fn read(path: &Path) -> Result<Self, Box<dyn Error>> {
        let ini = load(path)?;
        let keys = Keys { ini: &ini };
        Ok(Self {
            name: keys.required("experiment", "name")?,
            seed: keys.required("experiment", "seed")?,
            rounds: keys.required("experiment", "rounds")?,
            slice_ms: keys.required("experiment", "slice-ms")?,
            loads: keys.list("experiment", "loads")?,
            policies: keys.list("experiment", "policies")?,
            zones: keys.list("deployment", "zones")?,
            hosts: keys.required("deployment", "hosts")?,
            weights: keys.list("deployment", "weights")?,
            distance_us: keys.required("deployment", "distance-us")?,
            price_us: keys.required("deployment", "price-us")?,
            servers: keys.required("deployment", "backend-servers")?,
            slots: keys.required("deployment", "slots")?,
            connections: keys.required("deployment", "connections")?,
            rack: keys.required("deployment", "rack")?,
            speeds: keys.list("deployment", "speeds")?,
            limit: keys.required("deployment", "limit")?,
            deadline_ms: keys.required("work", "deadline-ms")?,
            ids: match keys.required::<String>("work", "ids")?.as_str() {
                "dated" => IdKind::Dated,
                "minted" => IdKind::Minted,
                other => return Err(format!("ids={other}: expected dated or minted").into()),
            },
            idempotent: keys.required("work", "idempotent")?,
            once: keys.required("work", "once")?,
            long: keys.required("work", "long-permille")?,
            teams: keys.list("work", "teams")?,
            fault: FaultKind::parse(&keys.required::<String>("fault", "kind")?)?,
            from_ms: keys.required("fault", "from-ms")?,
            to_ms: keys.required("fault", "to-ms")?,
        })
    }

    /// Returns the deployment to start.
    pub(crate) fn plan(&self) -> Plan {
        let mut plan = Plan::new()
            .distance_us(self.distance_us)
            .setting("log.level=warn")
            .rules(|rules| rules.price_us = self.price_us);
        for team in TEAMS {
            plan = plan.team(team, self.limit, 1);
        }
        for n in 0..self.hosts {
            let weight = self.weights[n % self.weights.len()];
            plan = plan.host(&format!("e{n}"), self.zone(n), weight);
        }
        for n in 0..self.servers {
            let machine = Machine { connections: self.connections, ..Machine::new(server(n)) };
            let machine = machine.slots(self.slots).speed(self.speed(n));
            plan = plan.server(machine, self.zone(n), &self.rack_of(n));
        }
        plan
    }

    /// Returns the rack of a backend server; all servers of a rack are in the same zone.
    fn rack_of(&self, n: usize) -> String {
        let zones = self.zones.len();
        format!("{}-{}", self.zone(n), n / zones / self.rack)
    }

    /// Returns the backend servers of the first rack.
    pub(crate) fn first_rack(&self) -> Vec<String> {
        let rack = self.rack_of(0);
        (0..self.servers).filter(|n| self.rack_of(*n) == rack).map(server).collect()
    }

    /// Returns the zone of a host or backend server.
    pub(crate) fn zone(&self, n: usize) -> &str {
        &self.zones[n % self.zones.len()]
    }

    /// Returns the speed of a backend server; every zone has servers of all speeds.
    pub(crate) fn speed(&self, n: usize) -> f64 {
        self.speeds[n / self.zones.len() % self.speeds.len()]
    }

    /// Returns the slots of each backend server, for the ideal schedule.
    pub(crate) fn slot_groups(&self) -> Vec<SlotGroup> {
        (0..self.servers).map(|n| SlotGroup { slots: self.slots, speed: self.speed(n) }).collect()
    }

    /// Returns the capacity, in milliseconds on a machine of speed 1 per millisecond.
    pub(crate) fn capacity(&self) -> f64 {
        self.slot_groups().iter().map(|group| group.slots as f64 * group.speed).sum()
    }

    /// Returns the composition of the submissions.
    pub(crate) fn mix(&self) -> Mix {
        let share = |n| self.teams.get(n).copied().unwrap_or(0);
        let team_weights = [share(0), share(1), share(2)];
        Mix {
            idempotent: self.idempotent,
            non_idempotent: self.once,
            long_permille: self.long,
            team_weights,
        }
    }
}

/// Returns the name of a backend server.
pub(crate) fn server(n: usize) -> String {
    format!("s{n}")
}

/// Loads a file; its values override those of the file that it names as its `base`, if any.
fn load(path: &Path) -> Result<Ini, Box<dyn Error>> {
    let overrides = Ini::load_from_file(path)?;
    let Some(base) = overrides.get_from(Some("experiment"), "base") else { return Ok(overrides) };
    let mut merged = load(&path.with_file_name(base))?;
    for (section, keys) in &overrides {
        for (key, value) in keys {
            merged.set_to(section, key.to_owned(), value.to_owned());
        }
    }
    Ok(merged)
}

/// Typed access to the values of an INI file.
struct Keys<'a> {
    ini: &'a Ini,
}

impl Keys<'_> {
    /// Parses a value that must be present.
    fn required<T: FromStr>(&self, section: &str, key: &str) -> Result<T, String> {
        let text = self.ini.get_from(Some(section), key);
        let text = text.ok_or_else(|| format!("[{section}] {key} is missing"))?;
        text.trim().parse().map_err(|_| format!("[{section}] invalid value {key}={text}"))
    }

    /// Parses a list of values separated by commas.
    fn list<T: FromStr>(&self, section: &str, key: &str) -> Result<Vec<T>, String> {
        let text: String = self.required(section, key)?;
        let parse = |item: &str| item.trim().parse().ok();
        let values: Option<Vec<T>> = text.split(',').map(parse).collect();
        values.ok_or_else(|| format!("[{section}] invalid value {key}={text}"))
    }
}
