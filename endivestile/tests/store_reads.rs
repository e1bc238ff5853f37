//! Reads of the platform's store by entry hosts as processes, while the store refuses calls and
//! while the list of workers is long.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

mod platform;

use std::thread;
use std::time::Duration;

use endivestile_testkit::PlatformStandIn;

use platform::{Host, start_platform, wait_until, wait_until_serving};

/// Prefix of the hosts' own keys.
const OWN_KEYS: &str = "endivestile/";
/// Keys per page of the store.
const PAGE_LEN: usize = 10;

/// Adds registrations that name no usable worker, and are listed before those of the workers.
fn add_entries(platform: &PlatformStandIn, count: usize) {
    for index in 0..count {
        platform.write(&format!("servers/0{index:05}"), b"{}");
    }
}

/// The store refuses every second read while a host starts. A listing of many pages that starts
/// again with each refused page never ends, and a listing of a limited number of pages misses
/// the workers behind them: the host never serves.
#[test]
fn listing_refused_in_part() {
    let platform = start_platform();
    platform.set_page_len(PAGE_LEN);
    add_entries(&platform, 70 * PAGE_LEN);
    platform.refuse_page_reads(2);
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
}

/// The store refuses all calls for a moment. A host that then read everything again, although
/// its watch could continue, would multiply the calls of a fleet at the moment of the recovery.
#[test]
fn watch_refused_resumes() {
    let platform = start_platform();
    platform.set_page_len(PAGE_LEN);
    add_entries(&platform, 5 * PAGE_LEN);
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    wait_until("the store is up", || host.logged("event=store_up") == 1);
    let reads = platform.worker_page_reads();
    platform.set_refusing(true);
    wait_until("the outage is noticed", || host.logged("event=store_down") == 1);
    platform.set_refusing(false);
    wait_until("the recovery is noticed", || host.logged("event=store_up") == 2);
    platform.configure(2);
    wait_until_serving(&host);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(platform.worker_page_reads(), reads);
}

/// A host that owns no workers reads the whole list. If all hosts did that as fast as they can,
/// the reads of a large fleet would exceed the store's rate, and owners could not read theirs.
#[test]
fn listing_of_observer_paced() {
    // Two hosts share 1% of 200 reads per second: each reads one page per second.
    const READS_PER_S: u32 = 200;
    let platform = start_platform();
    platform.set_page_len(PAGE_LEN);
    add_entries(&platform, 30 * PAGE_LEN);
    let owner = Host::start(&platform, "a1", "a");
    wait_until_serving(&owner);
    let before = platform.worker_page_reads();
    let settings = [format!("store.reads-per-s={READS_PER_S}")];
    let observer = Host::start_configured(&platform, "a2", "a", &[], &settings);
    wait_until_serving(&observer);
    thread::sleep(Duration::from_secs(6));
    let reads = platform.worker_page_reads() - before;
    assert!((1..=7).contains(&reads), "{reads} page reads in 6 s");
}

/// Hosts register one after the other, as in a restart of the whole fleet. If a host that owns no
/// workers watched again after each of them, the calls would grow with the square of the hosts.
#[test]
fn records_of_observer_paced() {
    const CHANGES: u64 = 30;
    let platform = start_platform();
    let owner = Host::start(&platform, "a1", "a");
    wait_until_serving(&owner);
    let observers = ["a2", "a3", "a4"].map(|name| Host::start(&platform, name, "a"));
    observers.iter().for_each(wait_until_serving);
    thread::sleep(Duration::from_millis(300));
    let before = platform.watches(OWN_KEYS);
    for index in 0..CHANGES {
        platform.write(&format!("endivestile/other/{index}"), b"{}");
        thread::sleep(Duration::from_millis(50));
    }
    let watches = platform.watches(OWN_KEYS) - before;
    // The owner watches after each change, and the three others together less often.
    assert!((CHANGES / 2..2 * CHANGES).contains(&watches), "{watches} watches, {CHANGES} changes");
}
