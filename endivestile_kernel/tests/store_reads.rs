//! How many reads of the store a fleet makes as it grows.

use endivestile_config::{Policy, model::Name};
use endivestile_kernel::fleet::{
    ConfigLag, Fleet, FleetEvent, FleetSetup, HostEntry, PoolRole, ReadShare, operator_watch_ms,
};
use endivestile_kernel::{Peer, Time};
use test_case::test_case;

/// Time after which hosts that started together know each other, in milliseconds.
const SETTLED_MS: u64 = 600;

fn peer(index: usize) -> Peer {
    Peer::new(Name::from(format!("h{index:03}")), 1)
}

fn entry(index: usize) -> HostEntry {
    HostEntry {
        peer: peer(index),
        zone: Name::from("a"),
        address: Name::from(format!("10.0.0.{index}:1")),
        leaving: false,
        cpu_milli: 100 + index as u32 % 3 * 400,
        link_kbps: 0,
    }
}

/// Returns a host of zone `a` that knows all `hosts` registrations and no ownership record.
fn start_host(index: usize, hosts: usize) -> Fleet {
    let own = entry(index);
    let mut fleet = Fleet::new(FleetSetup {
        me: own.peer.clone(),
        zone: own.zone,
        cpu_milli: own.cpu_milli,
        link_kbps: own.link_kbps,
        remote_factor_milli: 2_000,
        address: own.address,
        worker_lease_ms: 650,
        host_lease_ms: 520,
        policy: Policy::default(),
    });
    let start = Time::from_micros(1_000);
    fleet.handle(start, FleetEvent::StoreAvailable(true));
    for other in (0..hosts).filter(|other| *other != index) {
        let (name, entry) = (peer(other).host, Some(entry(other)));
        fleet.handle(start, FleetEvent::Host { name, revision: 1, entry });
    }
    fleet.flush(start.after_ms(SETTLED_MS), &mut Vec::new());
    fleet
}

/// Each host that may claim pools reads all workers. If all hosts of a zone did that although it
/// has an owner, the reads would grow with the hosts times the workers and fill the store's link.
#[test]
fn pool_role_owner_known() {
    let mut fleet = start_host(0, 20);
    assert_eq!(fleet.pool_role(), PoolRole::Candidate);
    let record = |owner: usize| {
        let value = format!(r#"{{"owner":{{"host":"h{owner:03}","birth":1}},"epoch":1}}"#);
        FleetEvent::Record {
            pool: Name::from("a/0"),
            revision: owner as u64,
            value: value.into_bytes().into(),
        }
    };
    let now = Time::from_micros(1_000).after_ms(SETTLED_MS);
    fleet.handle(now, record(5));
    assert_eq!(fleet.pool_role(), PoolRole::Observer);
}

/// A host that becomes an owner before it has read any worker still needs the list at once.
#[test]
fn pool_role_owner_without_list() {
    let mut fleet = start_host(1, 20);
    let value = br#"{"owner":{"host":"h001","birth":1},"epoch":1}"#;
    let event =
        FleetEvent::Record { pool: Name::from("a/0"), revision: 1, value: value.to_vec().into() };
    fleet.handle(Time::from_micros(1_000).after_ms(SETTLED_MS), event);
    assert_eq!(fleet.pool_role(), PoolRole::Owner);
}

/// The watches of all hosts return at the same change. If each host watched again at once, the
/// calls would exceed the store's rate from some number of hosts on.
#[test_case(ReadShare::Records, 40; "records")]
#[test_case(ReadShare::OperatorKeys, 20; "operator_keys")]
#[test_case(ReadShare::Background, 1; "background")]
fn interval_keeps_share(share: ReadShare, percent: u32) {
    for (hosts, reads_per_s) in [(1, 2_000), (8, 2_000), (237, 16_000), (997, 16_000), (4_427, 700)]
    {
        let interval_ms = share.interval_ms(hosts, reads_per_s);
        let calls_per_s = f64::from(hosts) * 1_000.0 / interval_ms as f64;
        assert!(calls_per_s <= f64::from(reads_per_s * percent) / 100.0, "{hosts} hosts");
    }
}

#[test]
fn interval_unlimited() {
    assert_eq!(ReadShare::Unlimited.interval_ms(1_000, 16_000), 0);
    assert_eq!(ReadShare::Records.interval_ms(1_000, 0), 0, "the rate is unknown");
}

/// The connection of a watch becomes unresponsive, and its call times out after 700 ms. A longer
/// watch would hide a configuration beyond its limit.
#[test_case(2_000, 1_000; "small_deployment")]
#[test_case(3_000, 1_500; "medium_deployment")]
#[test_case(5_000, 2_500; "large_deployment")]
#[test_case(500, 900; "very_short_limit")]
fn operator_watch_limit(config_ms: u32, expected_ms: u32) {
    assert_eq!(operator_watch_ms(config_ms), expected_ms);
}

/// The connection of a host's watch becomes unresponsive. Unless the host notices that its peers
/// have a later configuration, it serves by the old one until its watch ends.
#[test]
fn config_lag_behind() {
    let mut lag = ConfigLag::default();
    let at = Time::from_micros(0);
    assert!(!lag.observe(at, 5, 6), "the watch has time to deliver it");
    assert!(!lag.observe(at.after_ms(200), 5, 4), "a peer that is behind itself");
    assert!(lag.observe(at.after_ms(300), 5, 6));
    assert!(!lag.observe(at.after_ms(310), 5, 6), "the read has time to deliver it");
    assert!(lag.observe(at.after_ms(600), 5, 7), "the read has failed");
}

/// Peers apply each of several configurations in quick succession a moment earlier. That is no
/// reason to read the keys again.
#[test]
fn config_lag_delivered() {
    let mut lag = ConfigLag::default();
    for version in 1..10 {
        let at = Time::from_micros(0).after_ms(version * 200);
        assert!(!lag.observe(at, version - 1, version));
        assert!(!lag.observe(at.after_ms(50), version, version));
    }
}
