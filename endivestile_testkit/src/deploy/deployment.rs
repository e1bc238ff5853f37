//! A deployment: store, machines and entry hosts.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;

use endivestile_config::check;
use endivestile_config::model::{Config, Name};
use endivestile_wire::key;

use super::address::reserve;
use super::plan::Plan;
use super::process::{DaemonCommand, HostProcess};
use crate::net::{Topology, ZoneRelay};
use crate::{BackendStandIn, StoreStandIn, WorkerStandIn};

/// Times that a host is started until it listens.
const STARTS: usize = 3;
/// Name of the platform among the zones.
const PLATFORM: &str = "platform";
/// Seconds that a host has to become ready.
const READY_S: u64 = 20;

/// A running deployment; dropping it kills all processes.
#[derive(Debug)]
pub struct Deployment {
    /// Entry hosts in the order of the plan.
    pub hosts: Vec<HostProcess>,
    /// The platform's store.
    pub store: StoreStandIn,
    /// Backend servers.
    pub servers: BackendStandIn,
    /// Workers.
    pub workers: WorkerStandIn,
    /// The configuration as last written.
    config: Config,
    /// Topology, distances and cuts.
    zones: Arc<Topology>,
    /// Relays before the hosts' links, when the plan has distances.
    relays: Vec<ZoneRelay>,
    /// Address at which entry hosts reach the store.
    platform: SocketAddr,
}

impl Deployment {
    /// Starts everything and waits until all entry hosts take work.
    ///
    /// # Errors
    /// Those of sockets and processes, and a host that does not become ready.
    pub fn start(plan: Plan, daemon: &DaemonCommand) -> io::Result<Self> {
        let mut deployment = Self::prepare(&plan)?;
        for (name, _) in &plan.hosts {
            let process = deployment.spawn(name, &plan, daemon)?;
            deployment.hosts.push(process);
        }
        deployment.reconfigure(|_| {});
        for host in &mut deployment.hosts {
            ready(host)?;
        }
        Ok(deployment)
    }

    /// Starts the stand-ins and works out the configuration, without entry hosts.
    fn prepare(plan: &Plan) -> io::Result<Self> {
        let store = StoreStandIn::start()?;
        let servers = plan.servers.iter().map(|(spec, _)| spec.clone()).collect();
        let servers = BackendStandIn::start(servers)?;
        let workers = plan.workers.iter().map(|(spec, _)| spec.clone()).collect();
        let workers = WorkerStandIn::start(workers)?;
        let zones = Arc::new(Topology::new(plan.distance_us.unwrap_or(0)));
        for (spec, server) in &plan.servers {
            servers.set_zone(&spec.name, &server.zone, &zones);
        }
        for (spec, worker) in &plan.workers {
            workers.set_zone(&spec.name, &worker.zone, &zones);
        }
        let config = configure(plan, &servers, &workers)?;
        let platform = store.address();
        let (hosts, relays) = (vec![], vec![]);
        let mut deployment =
            Self { hosts, store, servers, workers, config, zones, relays, platform };
        if plan.distance_us.is_some() {
            deployment.platform = deployment.relay(deployment.store.address(), PLATFORM)?;
        }
        Ok(deployment)
    }

    /// Starts a relay to an address in a zone and returns the address to dial.
    fn relay(&mut self, target: SocketAddr, zone: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        self.relays.push(ZoneRelay::start(listener, target, zone, &self.zones)?);
        Ok(address)
    }

    /// Starts an entry host, behind a relay when the plan has distances.
    fn spawn(
        &mut self,
        name: &Name,
        plan: &Plan,
        daemon: &DaemonCommand,
    ) -> io::Result<HostProcess> {
        let zone = Name::clone(&self.config.hosts[name].zone);
        let (http, peers) = (reserve()?, reserve()?);
        self.zones.set_host_zone(name, &zone);
        let dialled = match plan.distance_us {
            Some(_) => self.relay(peers, &zone)?,
            None => peers,
        };
        let mut settings = vec![
            format!("host.name={name}"),
            format!("host.zone={zone}"),
            format!("host.http={http}"),
            format!("host.peers={peers}"),
            format!("host.advertise={dialled}"),
            format!("store.addresses={}", self.platform),
        ];
        settings.extend(plan.settings.iter().cloned());
        if let Some(host) = self.config.hosts.get_mut(name) {
            host.address = dialled.to_string().into();
        }
        HostProcess::start(name, http, daemon, settings, &self.zones)
    }

    /// Cuts an availability zone off from all others; the platform stays in reach.
    ///
    /// # Panics
    /// As the other cuts, when the plan has no distances and so no network.
    pub fn isolate_zone(&self, zone: &str) {
        assert!(!self.relays.is_empty(), "no network, see Plan::distance_us");
        self.zones.isolate(zone);
    }

    /// Cuts an availability zone off from the platform's store.
    pub fn isolate_from_store(&self, zone: &str) {
        assert!(!self.relays.is_empty(), "no network, see Plan::distance_us");
        self.zones.cut_pair(zone, PLATFORM);
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.zones.heal();
    }

    /// Changes the configuration and writes it with the next revision, as an
    /// operator's accepted edit; returns that revision.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut Config)) -> u64 {
        change(&mut self.config);
        self.config.revision += 1;
        self.store.put(key::CONFIG, self.config.canonical());
        self.config.revision
    }

    /// Returns the configuration as last written.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns an entry host.
    ///
    /// # Panics
    /// When there is none of that name.
    pub fn host(&mut self, name: &str) -> &mut HostProcess {
        match self.hosts.iter_mut().find(|host| host.name() == name) {
            Some(host) => host,
            None => panic!("no entry host {name}"),
        }
    }
}

fn configure(plan: &Plan, servers: &BackendStandIn, workers: &WorkerStandIn) -> io::Result<Config> {
    let mut config = Config { rules: plan.rules.clone(), ..Config::default() };
    config.zones = plan.zones().collect();
    config.teams = plan.teams.iter().cloned().collect();
    for (name, host) in &plan.hosts {
        let mut host = host.clone();
        // Distinct until the host is started and its address known.
        host.address = reserve()?.to_string().into();
        config.hosts.insert(Name::clone(name), host);
    }
    for (spec, server) in &plan.servers {
        let mut server = server.clone();
        server.address = servers.address(&spec.name).to_string().into();
        config.servers.insert(spec.name.as_str().into(), server);
    }
    for (spec, worker) in &plan.workers {
        let mut worker = worker.clone();
        worker.address = workers.address(&spec.name).to_string().into();
        config.workers.insert(spec.name.as_str().into(), worker);
    }
    let all: Vec<Name> = config.servers.keys().cloned().collect();
    for (name, service) in &plan.services {
        let mut service = service.clone();
        if service.servers.is_empty() {
            service.servers = all.clone();
        }
        if !service.servers.is_empty() {
            config.services.insert(Name::clone(name), service);
        }
    }
    check(&config).map_err(|errors| io::Error::other(format!("{errors:?}")))?;
    Ok(config)
}

/// Waits until a host takes work, starting it anew when it ended before.
fn ready(host: &mut HostProcess) -> io::Result<()> {
    for _ in 0..STARTS {
        if host.wait_ready(READY_S) {
            return Ok(());
        }
        if host.is_running() {
            break;
        }
        host.restart()?;
    }
    let log = host.log().join("\n");
    Err(io::Error::other(format!("entry host {} is not ready, its log:\n{log}", host.name())))
}
