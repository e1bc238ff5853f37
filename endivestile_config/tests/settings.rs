//! Settings of the daemon.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use endivestile_config::{ConfigError, Mechanism, Policy, Settings};
use test_case::test_case;

const MINIMAL: &str = "[host]\nname = a\nzone = east\npeers = 127.0.0.1:0\n\
                     [store]\naddresses = 127.0.0.1:2379, 127.0.0.2:2379\n";

#[test]
fn parse_minimal_has_defaults() {
    let settings = Settings::parse(MINIMAL, "a.ini").unwrap();
    assert_eq!(settings.host.name.as_ref(), "a");
    assert_eq!(settings.host.advertised_address().to_string(), "127.0.0.1:0");
    assert_eq!(settings.store.addresses.len(), 2);
    assert_eq!(settings.calls.default_deadline_ms, 30_000);
    assert_eq!(settings.log.file, None);
}

#[test]
fn canonical_round_trip() {
    let overrides = ["log.file=/tmp/a b.log".to_owned(), "metrics.statsd=127.0.0.1:8125".into()];
    let settings = Settings::load(MINIMAL, "a.ini", &overrides).unwrap();
    assert_eq!(Settings::parse(&settings.canonical(), "canonical").unwrap(), settings);
}

/// Experiments disable mechanisms by name; the canonical form lists them.
#[test]
fn mechanisms_disabled() {
    let overrides = ["platform.without=stalls, least-work".to_owned()];
    let settings = Settings::load(MINIMAL, "a.ini", &overrides).unwrap();
    let expected = Policy::default().without(Mechanism::Stalls).without(Mechanism::LeastWork);
    assert_eq!(settings.platform.policy, expected);
    assert_eq!(Settings::parse(&settings.canonical(), "canonical").unwrap(), settings);
    for mechanism in Mechanism::ALL {
        assert_eq!(Mechanism::by_label(mechanism.label()), Some(mechanism));
    }
}

#[test_case("platform.link-mbps=2.0", 2_000; "fraction")]
#[test_case("platform.link-mbps=", 0; "empty")]
fn link_bandwidth(setting: &str, expected: u32) {
    let settings = Settings::load(MINIMAL, "a.ini", &[setting.to_owned()]).unwrap();
    assert_eq!(settings.platform.link_kbps, expected);
    assert_eq!(Settings::parse(&settings.canonical(), "canonical").unwrap(), settings);
}

#[test_case("platform.link-mbps=-1"; "negative")]
#[test_case("platform.link-mbps=fast"; "not_a_number")]
fn link_bandwidth_refused(setting: &str) {
    let error = Settings::load(MINIMAL, "a.ini", &[setting.to_owned()]).unwrap_err();
    assert!(error.to_string().contains("link-mbps"), "{error}");
}

/// The platform fills in memory and descriptors as it has them.
#[test_case("host.memory-mb=120.0", (120, 0); "fraction")]
#[test_case("host.memory-mb=", (0, 0); "empty")]
#[test_case("host.files=3075", (0, 3_075); "files")]
fn machine_settings(assignment: &str, expected: (u64, u64)) {
    let settings = Settings::load(MINIMAL, "a.ini", &[assignment.to_owned()]).unwrap();
    assert_eq!((settings.host.memory_mb, settings.host.files), expected);
    assert_eq!(Settings::parse(&settings.canonical(), "canonical").unwrap(), settings);
}

#[test_case("host.memory-mb=-1"; "negative")]
#[test_case("host.files=many"; "not_a_number")]
fn machine_settings_refused(assignment: &str) {
    assert!(Settings::load(MINIMAL, "a.ini", &[assignment.to_owned()]).is_err());
}

/// An unknown mechanism keeps the host from starting: otherwise an experiment that disabled
/// nothing would be taken for one that did.
#[test]
fn unknown_mechanism_refused() {
    let overrides = ["platform.without=stals".to_owned()];
    let error = Settings::load(MINIMAL, "a.ini", &overrides).unwrap_err();
    assert!(error.to_string().contains("stalls"), "{error}");
}

#[test]
fn load_override_wins() {
    let overrides = ["host.zone = west".to_owned(), "backends.idle-ms=7".to_owned()];
    let settings = Settings::load(MINIMAL, "a.ini", &overrides).unwrap();
    assert_eq!(settings.host.zone.as_ref(), "west");
    assert_eq!(settings.backends.idle_timeout_ms, 7);
}

#[test_case("host.nmae=b", "command line: [host] nmae: unknown key, the nearest is name"; "unknown key")]
#[test_case("hosts.name=b", "command line: [hosts]: unknown section, the nearest is [host]"; "unknown section")]
#[test_case("name", "command line: \"name\" is not accepted, only section.key=value"; "no assignment")]
#[test_case("store.lease-s=1", "command line: [store] lease-s: \"1\" is not accepted, only whole numbers from 2 to 600"; "out of range")]
#[test_case("log.level=loud", "command line: [log] level: \"loud\" is not accepted, only error, warn, info, debug, trace"; "unknown word")]
fn set_refused(assignment: &str, message: &str) {
    let error = Settings::default().set(assignment).unwrap_err();
    assert_eq!(error.to_string(), message);
}

#[test_case("[host]\nname = a\n", "a.ini: [host] zone: missing"; "required key")]
#[test_case("[host]\nname = a\nzone = z\n[store]\naddresses = 127.0.0.1:1\n", "a.ini: [host] advertise: missing"; "no address to dial")]
#[test_case("[host]\nname = a\nname = b\n", "a.ini:3: [host] name: defined twice, first in line 2"; "key twice")]
#[test_case("[log]\n\n[log]\n", "a.ini:3: [log]: defined twice, first in line 1"; "section twice")]
#[test_case("[host a]\n", "a.ini:1: [host a]: unknown section, the nearest is [host]"; "section with a name")]
fn parse_refused(text: &str, message: &str) {
    assert_eq!(Settings::parse(text, "a.ini").unwrap_err().to_string(), message);
}

/// With a shutdown limit below the longest call, each planned stop would cut off the calls
/// that take longer, and their callers would see a closed connection instead of a response.
#[test]
fn shutdown_limit_below_longest_call_refused() {
    let text = format!("{MINIMAL}[stop]\nlimit-s = 599\n");
    let error = Settings::parse(&text, "a.ini").unwrap_err();
    assert!(matches!(error, ConfigError::InvalidValue { .. }), "{error}");
    let lower_deadline = ["calls.max-deadline-ms=599000".to_owned()];
    assert!(Settings::load(&text, "a.ini", &lower_deadline).is_ok());
}
