//! Checks documentation pages and sample files against the code.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use std::fs;
use std::path::{Path, PathBuf};

use endivestile_config::model::{Config, Host, Server, Service, Team, Worker, Zone};
use endivestile_config::{MAX_BYTES, Settings, check, parse_files};
use test_case::test_case;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned()
}

/// Returns the rows of a section in the configuration page: key and default.
fn rows(chapter: &str, section: &str) -> Vec<(String, String)> {
    let page = fs::read_to_string(root().join("docs/CONFIGURATION.md")).unwrap();
    let chapter = page.split("\n## ").find(|text| text.starts_with(chapter)).unwrap().to_owned();
    let heading = format!("`[{section}");
    let text = chapter.split("\n### ").find(|text| text.starts_with(&heading)).unwrap();
    text.lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.split('|').map(|cell| cell.trim().replace('`', "")).collect::<Vec<_>>())
        .map(|cells| (cells[1].clone(), cells[3].clone()))
        .collect()
}

/// Returns whether a default in the page matches a value of the canonical form.
fn default_matches(default: &str, value: &str) -> bool {
    default == value || default == "-" || default.starts_with("empty") && value.is_empty()
}

fn assert_documented(canonical: &str, chapter: impl Fn(&str) -> &'static str) {
    for section in canonical.split("\n\n").flat_map(|text| text.split("\n[")) {
        let (title, body) = section.trim_start_matches('[').split_once("]\n").unwrap();
        let kind = title.split(' ').next().unwrap();
        let rows = rows(chapter(kind), kind);
        let keys: Vec<(&str, &str)> =
            body.lines().map(|line| line.split_once('=').unwrap()).collect();
        assert_eq!(rows.len(), keys.len(), "{kind}");
        for ((key, value), (row, default)) in keys.iter().zip(&rows) {
            assert_eq!(key.trim(), row, "{kind}");
            assert!(default_matches(default, value.trim()), "{kind} {key}: {default} {value}");
        }
    }
}

#[test]
fn settings_documented() {
    assert_documented(&Settings::default().canonical(), |_| "Settings");
}

#[test]
fn config_documented() {
    let mut config = Config::default();
    config.zones.insert("n".into(), Zone::default());
    config.hosts.insert("n".into(), Host::default());
    config.servers.insert("n".into(), Server::default());
    config.workers.insert("n".into(), Worker::default());
    config.services.insert("n".into(), Service::default());
    config.teams.insert("n".into(), Team::default());
    assert_documented(&config.canonical(), |kind| match kind {
        "availability-zone" | "host" | "backend-server" | "worker" => "Inventory",
        _ => "Rules",
    });
}

/// Returns the events that the sources in a directory log.
fn logged_events(dir: &Path) -> Vec<String> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path()) {
        if entry.is_dir() {
            found.extend(logged_events(&entry));
            continue;
        }
        let text = fs::read_to_string(entry).unwrap();
        for rest in text.split("event=").skip(1) {
            let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '_').unwrap();
            found.extend((end > 0).then(|| rest[..end].to_owned()));
        }
    }
    found
}

#[test]
fn events_documented() {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let mut undocumented = logged_events(&root().join("endivestile/src"));
    assert!(!undocumented.is_empty());
    undocumented.retain(|event| !page.contains(&format!("`{event}`")));
    assert_eq!(undocumented, Vec::<String>::new());
}

#[test_case("consortium", 3, 7)]
#[test_case("pitchfee", 4, 8)]
fn sample_accepted(name: &str, zones: usize, hosts: usize) {
    let read = |file: &str| {
        fs::read_to_string(root().join("examples/config").join(name).join(file)).unwrap()
    };
    let (inventory, rules) = (read("inventory.ini"), read("rules.ini"));
    let config = parse_files(&[("inventory.ini", &inventory), ("rules.ini", &rules)]).unwrap();
    assert_eq!(check(&config), Ok(()));
    assert_eq!((config.zones.len(), config.hosts.len()), (zones, hosts));
    assert_eq!((config.servers.len(), config.workers.len()), (50, 50));
    let settings = Settings::parse(&read("entry-1.ini"), "entry-1.ini").unwrap();
    let host = &config.hosts[&settings.host.name];
    assert_eq!(host.zone, settings.host.zone);
    assert_eq!(host.address.as_ref(), settings.host.advertised_address().to_string());
}

/// If the configuration of the fleet at its size in two years did not fit into one value of
/// the store, no change could be accepted any more.
#[test]
fn canonical_fits_at_target_size() {
    let mut config = Config::default();
    for n in 0..26 {
        config.zones.insert(format!("region-{}-{n}", n % 8).into(), Zone::default());
    }
    for n in 0..208 {
        let address = format!("10.1.{}.{}:8081", n / 200, n % 200 + 1).into();
        let host = Host { zone: "region-1-25".into(), address, weight: 1 };
        config.hosts.insert(format!("entry-{n:03}").into(), host);
    }
    for n in 0..4_400 {
        let address = format!("10.2.{}.{}:9000", n / 200, n % 200 + 1).into();
        let (zone, rack) = ("region-1-25".into(), format!("rack-{:03}", n / 8).into());
        let worker =
            Worker { zone, rack, address, cpu_milli: 32_000, memory_mb: 65_536, accelerators: 2 };
        config.workers.insert(format!("worker-{n:04}").into(), worker);
    }
    for n in 0..170 {
        config.teams.insert(format!("team-{n:03}").into(), Team::default());
    }
    assert_eq!(check(&config), Ok(()));
    assert!(config.canonical().len() < MAX_BYTES);
}
