//! What a deployment consists of.

use endivestile_config::model::{Host, Name, Rules, Server, Service, Team, Worker, Zone};

use crate::MachineSpec;

/// Service that [`Plan::new`] sets up on all backend servers.
const SERVICE: &str = "orders";
/// Team that [`Plan::new`] sets up.
const TEAM: &str = "m1";
/// Tasks that this team may hold.
const LIMIT: u32 = 100_000;

/// Topology, hosts, machines and rules of a deployment to start.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub(crate) zones: Vec<Name>,
    pub(crate) hosts: Vec<(Name, Host)>,
    pub(crate) servers: Vec<(MachineSpec, Server)>,
    pub(crate) workers: Vec<(MachineSpec, Worker)>,
    pub(crate) services: Vec<(Name, Service)>,
    pub(crate) teams: Vec<(Name, Team)>,
    pub(crate) rules: Rules,
    pub(crate) settings: Vec<String>,
    pub(crate) distance_us: Option<u64>,
}

impl Plan {
    /// Makes a plan with service `orders` on all backend servers and team `m1`.
    pub fn new() -> Self {
        let service = Service { servers: vec![], path: Name::from("/order") };
        let team = Team { limit: LIMIT, weight: 1 };
        Self {
            services: vec![(Name::from(SERVICE), service)],
            teams: vec![(Name::from(TEAM), team)],
            ..Self::default()
        }
    }

    /// Adds an entry host, and its availability zone if that is new.
    pub fn host(mut self, name: &str, zone: &str, weight: u32) -> Self {
        self.add_zone(zone);
        let host = Host { zone: Name::from(zone), address: Name::from(""), weight };
        self.hosts.push((Name::from(name), host));
        self
    }

    /// Adds a backend server.
    pub fn server(mut self, spec: MachineSpec, zone: &str, rack: &str) -> Self {
        self.add_zone(zone);
        let server = Server {
            zone: Name::from(zone),
            rack: Name::from(rack),
            address: Name::from(""),
            slots: spec.slots as u32,
            connections: spec.connections as u32,
        };
        self.servers.push((spec, server));
        self
    }

    /// Adds a worker of `cores` cores, `memory_mb` MiB and accelerators.
    pub fn worker(
        mut self,
        spec: MachineSpec,
        zone: &str,
        rack: &str,
        (cores, memory_mb, accelerators): (u32, u32, u16),
    ) -> Self {
        self.add_zone(zone);
        let worker = Worker {
            zone: Name::from(zone),
            rack: Name::from(rack),
            address: Name::from(""),
            cpu_milli: cores * 1_000,
            memory_mb,
            accelerators,
        };
        self.workers.push((spec, worker));
        self
    }

    /// Adds a service on these backend servers, all when none are named.
    pub fn service(mut self, name: &str, path: &str, servers: &[&str]) -> Self {
        let servers = servers.iter().map(|server| Name::from(*server)).collect();
        self.services.push((Name::from(name), Service { servers, path: Name::from(path) }));
        self
    }

    /// Adds a team.
    pub fn team(mut self, name: &str, limit: u32, weight: u32) -> Self {
        self.teams.push((Name::from(name), Team { limit, weight }));
        self
    }

    /// Changes the rules.
    pub fn rules(mut self, change: impl FnOnce(&mut Rules)) -> Self {
        change(&mut self.rules);
        self
    }

    /// Sets a setting of every entry host, as `section.key=value`.
    pub fn setting(mut self, assignment: &str) -> Self {
        self.settings.push(assignment.to_owned());
        self
    }

    /// Puts a network between the zones that delays by `us` microseconds one way
    /// and can be cut.
    pub fn distance_us(mut self, us: u64) -> Self {
        self.distance_us = Some(us);
        self.rules.distance_us = us;
        self
    }

    fn add_zone(&mut self, zone: &str) {
        if !self.zones.iter().any(|name| name.as_ref() == zone) {
            self.zones.push(Name::from(zone));
        }
    }

    /// Returns the zones in the model's form.
    pub(crate) fn zones(&self) -> impl Iterator<Item = (Name, Zone)> {
        self.zones.iter().map(|name| (Name::clone(name), Zone { region: Name::from("r") }))
    }
}
