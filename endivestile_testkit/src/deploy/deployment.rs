//! A deployment: store, machines and entry hosts.

use std::io;

use endivestile_config::check;
use endivestile_config::model::{Config, Name};
use endivestile_wire::key;

use super::address::reserve;
use super::plan::Plan;
use super::process::{Daemon, HostProcess};
use crate::{BackendStandIn, StoreStandIn, WorkerStandIn};

/// Times that a host is started until it listens.
const STARTS: usize = 3;
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
}

impl Deployment {
    /// Starts everything and waits until all entry hosts take work.
    ///
    /// # Errors
    /// Those of sockets and processes, and a host that does not become ready.
    pub fn start(plan: Plan, daemon: &Daemon) -> io::Result<Self> {
        let mut deployment = Self::prepare(&plan)?;
        for (name, host) in &plan.hosts {
            let peers = Name::clone(&deployment.config.hosts[name].address);
            let process = deployment.spawn(name, &host.zone, &peers, daemon, &plan.settings)?;
            deployment.hosts.push(process);
        }
        for host in &mut deployment.hosts {
            ready(host)?;
        }
        Ok(deployment)
    }

    /// Starts the stand-ins and writes the configuration, without entry hosts.
    fn prepare(plan: &Plan) -> io::Result<Self> {
        let store = StoreStandIn::start()?;
        let servers = plan.servers.iter().map(|(spec, _)| spec.clone()).collect();
        let servers = BackendStandIn::start(servers)?;
        let workers = plan.workers.iter().map(|(spec, _)| spec.clone()).collect();
        let workers = WorkerStandIn::start(workers)?;
        let config = configure(plan, &servers, &workers)?;
        let mut deployment = Self { hosts: vec![], store, servers, workers, config };
        deployment.reconfigure(|_| {});
        Ok(deployment)
    }

    fn spawn(
        &self,
        name: &str,
        zone: &str,
        peers: &str,
        daemon: &Daemon,
        extra: &[String],
    ) -> io::Result<HostProcess> {
        let http = reserve()?;
        let mut settings = vec![
            format!("host.name={name}"),
            format!("host.zone={zone}"),
            format!("host.http={http}"),
            format!("host.peers={peers}"),
            format!("store.addresses={}", self.store.address()),
        ];
        settings.extend_from_slice(extra);
        HostProcess::start(name, http, daemon, settings)
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
    config.members = plan.members.iter().cloned().collect();
    for (name, host) in &plan.hosts {
        let mut host = host.clone();
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
        if host.runs() {
            break;
        }
        host.restart()?;
    }
    let log = host.log().join("\n");
    Err(io::Error::other(format!("entry host {} is not ready, its log:\n{log}", host.name())))
}
