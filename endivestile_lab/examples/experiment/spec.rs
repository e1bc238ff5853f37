//! The experiment as its INI file tells it.

use std::error::Error;
use std::path::Path;
use std::str::FromStr;

use endivestile_lab::{Mix, SlotGroup};
use endivestile_testkit::{MachineSpec as Machine, Plan};
use ini::Ini;
use serde::Serialize;

use crate::fault::FaultKind;

/// Teams of every experiment, by number.
pub(crate) const TEAMS: [&str; 3] = ["m-large", "m-small", "m-other"];
/// Service that every experiment calls.
pub(crate) const SERVICE: &str = "orders";

/// Which ids submissions carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum IdKind {
    /// The caller's own, dated.
    Dated,
    /// Minted by the host that gets the submission.
    Minted,
}

/// One experiment.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Spec {
    /// Name, also of the files written.
    pub(crate) name: String,
    /// Seed of the first round's trace.
    pub(crate) seed: u64,
    /// Rounds, each with every policy at every load.
    pub(crate) rounds: usize,
    /// Length of a slice's arrivals, in milliseconds.
    pub(crate) slice_ms: u64,
    /// Loads in percent of capacity.
    pub(crate) loads: Vec<u32>,
    /// Policies that alternate.
    pub(crate) policies: Vec<String>,
    /// Availability zones.
    pub(crate) zones: Vec<String>,
    /// Entry hosts.
    pub(crate) hosts: usize,
    /// Weights of entry hosts, in turn.
    pub(crate) weights: Vec<u32>,
    /// One-way distance between zones, in microseconds.
    pub(crate) distance_us: u64,
    /// Price of a message, in microseconds.
    pub(crate) price_us: u64,
    /// Backend servers.
    pub(crate) servers: usize,
    /// Slots of each.
    pub(crate) slots: usize,
    /// Connections of each.
    pub(crate) connections: usize,
    /// Backend servers in a rack.
    pub(crate) rack: usize,
    /// Speeds of backend servers, in turn.
    pub(crate) speeds: Vec<f64>,
    /// Tasks that each team may hold.
    pub(crate) limit: u32,
    /// Deadline of submissions, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Ids of submissions.
    pub(crate) ids: IdKind,
    /// Idempotent requests in a hundred submissions.
    pub(crate) idempotent: u32,
    /// Non-idempotent requests in a hundred submissions.
    pub(crate) once: u32,
    /// Long tasks in a thousand.
    pub(crate) long: u32,
    /// Shares of the teams.
    pub(crate) teams: Vec<u32>,
    /// What goes wrong in every slice.
    pub(crate) fault: FaultKind,
    /// When it begins, in milliseconds since the slice began.
    pub(crate) from_ms: u64,
    /// When it ends.
    pub(crate) to_ms: u64,
}

impl Spec {
    /// Reads an experiment.
    pub(crate) fn read(path: &Path) -> Result<Self, Box<dyn Error>> {
        let ini = load(path)?;
        let keys = Keys { ini: &ini };
        Ok(Self {
            name: keys.one("experiment", "name")?,
            seed: keys.one("experiment", "seed")?,
            rounds: keys.one("experiment", "rounds")?,
            slice_ms: keys.one("experiment", "slice-ms")?,
            loads: keys.many("experiment", "loads")?,
            policies: keys.many("experiment", "policies")?,
            zones: keys.many("deployment", "zones")?,
            hosts: keys.one("deployment", "hosts")?,
            weights: keys.many("deployment", "weights")?,
            distance_us: keys.one("deployment", "distance-us")?,
            price_us: keys.one("deployment", "price-us")?,
            servers: keys.one("deployment", "backend-servers")?,
            slots: keys.one("deployment", "slots")?,
            connections: keys.one("deployment", "connections")?,
            rack: keys.one("deployment", "rack")?,
            speeds: keys.many("deployment", "speeds")?,
            limit: keys.one("deployment", "limit")?,
            deadline_ms: keys.one("work", "deadline-ms")?,
            ids: match keys.one::<String>("work", "ids")?.as_str() {
                "dated" => IdKind::Dated,
                "minted" => IdKind::Minted,
                other => return Err(format!("ids={other}, accepted: dated, minted").into()),
            },
            idempotent: keys.one("work", "idempotent")?,
            once: keys.one("work", "once")?,
            long: keys.one("work", "long-permille")?,
            teams: keys.many("work", "teams")?,
            fault: FaultKind::parse(&keys.one::<String>("fault", "kind")?)?,
            from_ms: keys.one("fault", "from-ms")?,
            to_ms: keys.one("fault", "to-ms")?,
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

    /// Returns the rack of a backend server; machines of a rack share its zone.
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

    /// Returns the speed of a backend server; each zone gets all speeds.
    pub(crate) fn speed(&self, n: usize) -> f64 {
        self.speeds[n / self.zones.len() % self.speeds.len()]
    }

    /// Returns the slots by speed, for the ideal.
    pub(crate) fn slot_groups(&self) -> Vec<SlotGroup> {
        (0..self.servers).map(|n| SlotGroup { slots: self.slots, speed: self.speed(n) }).collect()
    }

    /// Returns the capacity, in milliseconds of work on speed 1 per millisecond.
    pub(crate) fn capacity(&self) -> f64 {
        self.slot_groups().iter().map(|group| group.slots as f64 * group.speed).sum()
    }

    /// Returns what submissions look like.
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

/// Loads a file over the one that it names as its base, if it does.
fn load(path: &Path) -> Result<Ini, Box<dyn Error>> {
    let own = Ini::load_from_file(path)?;
    let Some(base) = own.get_from(Some("experiment"), "base") else { return Ok(own) };
    let mut whole = load(&path.with_file_name(base))?;
    for (section, keys) in &own {
        for (key, value) in keys {
            whole.set_to(section, key.to_owned(), value.to_owned());
        }
    }
    Ok(whole)
}

/// Typed access to an INI file.
struct Keys<'a> {
    ini: &'a Ini,
}

impl Keys<'_> {
    fn one<T: FromStr>(&self, section: &str, key: &str) -> Result<T, String> {
        let text = self.ini.get_from(Some(section), key);
        let text = text.ok_or_else(|| format!("[{section}] {key} is missing"))?;
        text.trim().parse().map_err(|_| format!("[{section}] {key}={text} is not accepted"))
    }

    fn many<T: FromStr>(&self, section: &str, key: &str) -> Result<Vec<T>, String> {
        let text: String = self.one(section, key)?;
        let parse = |word: &str| word.trim().parse().ok();
        let values: Option<Vec<T>> = text.split(',').map(parse).collect();
        values.ok_or_else(|| format!("[{section}] {key}={text} is not accepted"))
    }
}
