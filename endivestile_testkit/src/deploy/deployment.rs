//! A running deployment: store, backend servers, workers and entry hosts.

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

/// Attempts to start a host until it is ready.
const START_ATTEMPTS: usize = 3;
/// Zone name under which the platform's store is registered in the topology.
const STORE_ZONE: &str = "platform";
/// Time limit for a host to become ready, in seconds.
const READY_TIMEOUT_S: u64 = 20;

/// A running deployment. Dropping it kills all processes.
#[derive(Debug)]
pub struct Deployment {
    /// Entry hosts, in the order of the plan.
    pub hosts: Vec<HostProcess>,
    /// The platform's store.
    pub store: StoreStandIn,
    /// Backend servers.
    pub servers: BackendStandIn,
    /// Workers.
    pub workers: WorkerStandIn,
    /// The configuration last written to the store.
    config: Config,
    /// Zones of the hosts, and latency and partitions between zones.
    topology: Arc<Topology>,
    /// Relays in front of the hosts' peer ports and the store; empty when the
    /// plan has no distance.
    relays: Vec<ZoneRelay>,
    /// Address at which entry hosts reach the store.
    store_address: SocketAddr,
}

impl Deployment {
    /// Starts all parts and waits until all entry hosts are ready.
    ///
    /// # Errors
    /// Returns an error when a socket or process fails, the configuration is
    /// invalid or a host does not become ready.
    pub fn start(plan: Plan, daemon: &DaemonCommand) -> io::Result<Self> {
        let mut deployment = Self::prepare(&plan)?;
        for (name, _) in &plan.hosts {
            let process = deployment.start_host(name, &plan, daemon)?;
            deployment.hosts.push(process);
        }
        deployment.reconfigure(|_| {});
        for host in &mut deployment.hosts {
            wait_until_ready(host)?;
        }
        Ok(deployment)
    }

    /// Starts the stand-ins and builds the configuration, without starting entry hosts.
    fn prepare(plan: &Plan) -> io::Result<Self> {
        let store = StoreStandIn::start()?;
        let servers = plan.servers.iter().map(|(spec, _)| spec.clone()).collect();
        let servers = BackendStandIn::start(servers)?;
        let workers = plan.workers.iter().map(|(spec, _)| spec.clone()).collect();
        let workers = WorkerStandIn::start(workers)?;
        let topology = Arc::new(Topology::new(plan.distance_us.unwrap_or(0)));
        for (spec, server) in &plan.servers {
            servers.set_zone(&spec.name, &server.zone, &topology);
        }
        for (spec, worker) in &plan.workers {
            workers.set_zone(&spec.name, &worker.zone, &topology);
        }
        let config = build_config(plan, &servers, &workers)?;
        let store_address = store.address();
        let (hosts, relays) = (vec![], vec![]);
        let mut deployment =
            Self { hosts, store, servers, workers, config, topology, relays, store_address };
        if plan.distance_us.is_some() {
            deployment.store_address =
                deployment.start_relay(deployment.store.address(), STORE_ZONE)?;
        }
        Ok(deployment)
    }

    /// Starts a relay to a target in `zone` and returns the relay's address.
    fn start_relay(&mut self, target: SocketAddr, zone: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        self.relays.push(ZoneRelay::start(listener, target, zone, &self.topology)?);
        Ok(address)
    }

    /// Starts an entry host, with a relay in front of its peer port when the plan
    /// has a distance.
    fn start_host(
        &mut self,
        name: &Name,
        plan: &Plan,
        daemon: &DaemonCommand,
    ) -> io::Result<HostProcess> {
        let zone = Name::clone(&self.config.hosts[name].zone);
        let (http, peers) = (reserve()?, reserve()?);
        self.topology.set_host_zone(name, &zone);
        let dialled = match plan.distance_us {
            Some(_) => self.start_relay(peers, &zone)?,
            None => peers,
        };
        let mut settings = vec![
            format!("host.name={name}"),
            format!("host.zone={zone}"),
            format!("host.http={http}"),
            format!("host.peers={peers}"),
            format!("host.advertise={dialled}"),
            format!("store.addresses={}", self.store_address),
        ];
        settings.extend(plan.settings.iter().cloned());
        if let Some(host) = self.config.hosts.get_mut(name) {
            host.address = dialled.to_string().into();
        }
        HostProcess::start(name, http, daemon, settings, &self.topology)
    }

    /// Disconnects an availability zone from all others. The store stays reachable.
    ///
    /// # Panics
    /// Panics when the plan has no distance, since there are no relays then.
    pub fn isolate_zone(&self, zone: &str) {
        assert!(!self.relays.is_empty(), "no relays without Plan::distance_us");
        self.topology.isolate(zone);
    }

    /// Disconnects an availability zone from the platform's store.
    ///
    /// # Panics
    /// As [`Self::isolate_zone`].
    pub fn isolate_from_store(&self, zone: &str) {
        assert!(!self.relays.is_empty(), "no relays without Plan::distance_us");
        self.topology.disconnect(zone, STORE_ZONE);
    }

    /// Reconnects all zones.
    pub fn heal(&self) {
        self.topology.heal();
    }

    /// Changes the configuration, writes it to the store with the next revision
    /// like an operator's edit, and returns that revision.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut Config)) -> u64 {
        change(&mut self.config);
        self.config.revision += 1;
        self.store.put(key::CONFIG, self.config.canonical());
        self.config.revision
    }

    /// Returns the configuration last written to the store.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the entry host of the given name.
    ///
    /// # Panics
    /// Panics when no entry host has that name.
    pub fn host(&mut self, name: &str) -> &mut HostProcess {
        match self.hosts.iter_mut().find(|host| host.name() == name) {
            Some(host) => host,
            None => panic!("unknown entry host {name}"),
        }
    }
}

/// Builds the configuration of a plan from the addresses of its machines.
fn build_config(
    plan: &Plan,
    servers: &BackendStandIn,
    workers: &WorkerStandIn,
) -> io::Result<Config> {
    let mut config = Config { rules: plan.rules.clone(), ..Config::default() };
    config.zones = plan.zones().collect();
    config.teams = plan.teams.iter().cloned().collect();
    for (name, host) in &plan.hosts {
        let mut host = host.clone();
        // A unique placeholder until the host is started.
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
    let all_servers: Vec<Name> = config.servers.keys().cloned().collect();
    for (name, service) in &plan.services {
        let mut service = service.clone();
        if service.servers.is_empty() {
            service.servers = all_servers.clone();
        }
        if !service.servers.is_empty() {
            config.services.insert(Name::clone(name), service);
        }
    }
    check(&config).map_err(|errors| io::Error::other(format!("{errors:?}")))?;
    Ok(config)
}

/// Waits until a host is ready and restarts it when its process exits first.
fn wait_until_ready(host: &mut HostProcess) -> io::Result<()> {
    for _ in 0..START_ATTEMPTS {
        if host.wait_ready(READY_TIMEOUT_S) {
            return Ok(());
        }
        if host.is_running() {
            break;
        }
        host.restart()?;
    }
    let log = host.log().join("\n");
    Err(io::Error::other(format!("entry host {} did not become ready, log:\n{log}", host.name())))
}
