//! Description of a deployment to start.

use endivestile_config::model::{Host, Name, Rules, Server, Service, Team, Worker, Zone};

use crate::MachineSpec;

/// Name of the service that [`Plan::new`] sets up on all backend servers.
const SERVICE: &str = "orders";
/// Name of the team that [`Plan::new`] sets up.
const TEAM: &str = "m1";
/// Limit of that team, in tasks admitted at the same time.
const TEAM_LIMIT: u32 = 100_000;

/// Zones, hosts, machines, services, teams, rules and settings of a deployment.
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
    /// Creates a plan with service `orders` on all backend servers and team `m1`.
    pub fn new() -> Self {
        let service = Service { servers: vec![], path: Name::from("/order") };
        let team = Team { limit: TEAM_LIMIT, weight: 1 };
        Self {
            services: vec![(Name::from(SERVICE), service)],
            teams: vec![(Name::from(TEAM), team)],
            ..Self::default()
        }
    }

    /// Adds an entry host and, if it is new, its availability zone.
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

    /// Adds a worker with the given cores, memory in MiB and accelerators.
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

    /// Adds a service on the given backend servers, or on all when `servers` is empty.
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

    /// Changes the rules of the configuration.
    pub fn rules(mut self, change: impl FnOnce(&mut Rules)) -> Self {
        change(&mut self.rules);
        self
    }

    /// Adds a setting for every entry host, as `section.key=value`.
    pub fn setting(mut self, assignment: &str) -> Self {
        self.settings.push(assignment.to_owned());
        self
    }

    /// Puts relays between the zones that delay traffic by `us` microseconds one
    /// way and that can disconnect zones from each other.
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

    /// Returns the zones as entries of the configuration.
    pub(crate) fn zones(&self) -> impl Iterator<Item = (Name, Zone)> {
        self.zones.iter().map(|name| (Name::clone(name), Zone { region: Name::from("r") }))
    }
}
