//! Generated inventories of a given size.

use endivestile_config::model::{Config, Host, Name, Team, Worker, Zone};

/// Teams of the target deployment.
const TEAMS: usize = 170;
/// Workers per rack.
const RACK_WORKERS: usize = 20;
/// Regions of the target deployment.
const REGIONS: usize = 8;

/// Size of an inventory.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    /// Number of availability zones.
    pub(crate) zones: usize,
    /// Number of entry hosts.
    pub(crate) hosts: usize,
    /// Number of workers.
    pub(crate) workers: usize,
}

/// Returns the name of a zone.
pub(crate) fn zone_name(at: usize) -> Name {
    Name::from(format!("zone-{at:02}"))
}

/// Returns the name of a host.
pub(crate) fn host_name(at: usize) -> Name {
    Name::from(format!("entry-{at:03}"))
}

/// Returns the name of a team.
pub(crate) fn team_name(at: usize) -> Name {
    Name::from(format!("team-{:03}", at % TEAMS))
}

/// Makes a configuration with hosts and workers spread evenly over the zones.
pub(crate) fn config(size: Size) -> Config {
    let mut config = Config { revision: 1, ..Config::default() };
    for at in 0..size.zones {
        let region = Name::from(format!("region-{}", at % REGIONS));
        config.zones.insert(zone_name(at), Zone { region });
    }
    for at in 0..size.hosts {
        let address = Name::from(format!("127.1.{}.{}:7070", at / 200, at % 200 + 1));
        let entry = Host { zone: zone_name(at % size.zones), address, weight: 1 };
        config.hosts.insert(host_name(at), entry);
    }
    for at in 0..TEAMS {
        config.teams.insert(team_name(at), Team { limit: 1_000_000, weight: 1 });
    }
    add_workers(&mut config, size);
    config.rules.queue_limit = 1_000_000;
    config
}

/// Adds workers at addresses where nothing listens; hosts send them nothing without a task.
pub(crate) fn add_workers(config: &mut Config, size: Size) {
    let zones: Vec<Name> = config.zones.keys().cloned().collect();
    for at in 0..size.workers {
        // About 6,300 accelerators on the 4,400 workers of the target deployment.
        let accelerators = if at % 14 < 5 { 4 } else { 0 };
        let worker = Worker {
            zone: zones[at % zones.len()].clone(),
            rack: Name::from(format!("rack-{:03}", at / RACK_WORKERS)),
            address: Name::from(format!("127.2.{}.{}:9000", at / 200, at % 200 + 1)),
            cpu_milli: 32_000,
            memory_mb: 65_536,
            accelerators,
        };
        config.workers.insert(Name::from(format!("worker-{at:05}")), worker);
    }
}
