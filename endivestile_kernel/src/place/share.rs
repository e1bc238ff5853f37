//! Selection of the backends in this host's share.

use std::collections::HashSet;

use endivestile_config::model::{Config, Name};

use super::resources::Resources;
use crate::{Peer, Target, View};

/// One backend of the inventory.
#[derive(Debug)]
pub(crate) struct BackendSpec {
    /// Name.
    pub(crate) name: Name,
    /// Address, `IP:port`.
    pub(crate) address: Name,
    /// Rack, empty when unknown.
    pub(crate) rack: Name,
    /// Capacity.
    pub(crate) capacity: Resources,
    /// Whether it is a worker.
    pub(crate) worker: bool,
}

/// Returns the backends for which `view` names this host as the placer.
pub(crate) fn own_backends(config: &Config, view: &View, me: &Peer) -> Vec<BackendSpec> {
    // Hosts of another zone are considered only for zones without a live host.
    // Otherwise each change would hash all backends against all hosts.
    let own_zone = view.hosts.get(&me.host).map(|host| &host.zone);
    let zones: HashSet<&Name> = view.live().map(|host| &host.zone).collect();
    let mine = |zone: &Name, name: &str| {
        (own_zone == Some(zone) || !zones.contains(zone))
            && view.placer_of(zone, name).is_some_and(|host| host.peer.host == me.host)
    };
    let servers = config.servers.iter().filter(|(name, server)| mine(&server.zone, name));
    let workers = config.workers.iter().filter(|(name, worker)| mine(&worker.zone, name));
    let servers = servers.map(|(name, server)| BackendSpec {
        name: name.clone(),
        address: server.address.clone(),
        rack: server.rack.clone(),
        capacity: Resources::slots(server.slots.min(server.connections)),
        worker: false,
    });
    let workers = workers.map(|(name, worker)| BackendSpec {
        name: name.clone(),
        address: worker.address.clone(),
        rack: worker.rack.clone(),
        capacity: worker_resources(worker),
        worker: true,
    });
    servers.chain(workers).collect()
}

/// Returns whether any backend of the whole inventory could ever run a task.
pub(crate) fn can_ever_run(config: &Config, target: &Target) -> bool {
    match target {
        Target::Service(name) => {
            let servers = config.services.get(name).map(|service| &service.servers);
            let mut servers = servers.into_iter().flatten();
            servers.any(|server| {
                let server = config.servers.get(server);
                server.is_some_and(|server| server.slots.min(server.connections) > 0)
            })
        }
        Target::Need(need) => {
            let demand = Resources::from(*need);
            config.workers.values().any(|worker| worker_resources(worker).covers(&demand))
        }
    }
}

fn worker_resources(worker: &endivestile_config::model::Worker) -> Resources {
    Resources {
        cpu: worker.cpu_milli,
        memory: worker.memory_mb,
        accelerators: u32::from(worker.accelerators),
    }
}
