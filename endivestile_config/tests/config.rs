//! Parsing, canonical form, checks and diff of inventory and rules.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use endivestile_config::model::{Config, Server};
use endivestile_config::{ConfigError, MAX_BYTES, check, check_change, diff, locate};
use endivestile_config::{parse, parse_files};
use test_case::test_case;

const INVENTORY: &str = "\
# Entry hosts
[availability-zone east]
region = home

[host a]
zone = east
address = 10.0.0.1:8081

[backend-server east-1]
zone = east
rack = r1
address = 10.0.1.1:9000
slots = 8

[backend-server east-2]
zone = east
address = 10.0.1.2:9000
slots = 4

[worker w1]
zone = east
address = 10.0.2.1:9000
cpu-milli = 32000
memory-mb = 65536
";

const RULES: &str = "\
[service orders]
backend-servers = east-*, east-1
path = /orders

[team walvis]
limit = 100

[rules]
price-us = 900
";

fn sample() -> Config {
    parse_files(&[("inventory.ini", INVENTORY), ("rules.ini", RULES)]).unwrap()
}

#[test]
fn parse_files_merged() {
    let config = sample();
    assert_eq!(check(&config), Ok(()));
    assert_eq!(config.servers["east-1"].connections, 64);
    assert_eq!(config.rules.price_us, 900);
    assert_eq!(config.rules.shards, 64);
    let names: Vec<&str> = config.services["orders"].servers.iter().map(AsRef::as_ref).collect();
    assert_eq!(names, ["east-1", "east-2"]);
}

#[test]
fn canonical_round_trip() {
    let mut config = sample();
    config.revision = 7;
    let text = config.canonical();
    let parsed = parse(&text, "canonical").unwrap();
    assert_eq!(parsed, config);
    assert_eq!(parsed.canonical(), text);
}

#[test_case("[hosst a]\n", "f:1: [hosst a]: unknown section, the nearest is [host]"; "unknown section")]
#[test_case("\n[team a]\nlimt = 3\n", "f:3: [team a] limt: unknown key, the nearest is limit"; "unknown key")]
#[test_case("[team a]\nlimit = 0\n", "f:2: [team a] limit: \"0\" is not accepted, only whole numbers from 1 to 100000000"; "zero")]
#[test_case("[team a]\nlimit = +3\n", "f:2: [team a] limit: \"+3\" is not accepted, only whole numbers from 1 to 100000000"; "sign")]
#[test_case("[team a]\nlimit\n", "f:2: neither [section] nor key = value"; "no value")]
#[test_case("limit = 3\n", "f:1: the first line must be a [section]"; "no section")]
#[test_case("[team a\nlimit = 3\n", "f:1: a section must be written [kind] or [kind name]"; "open bracket")]
#[test_case("[team a]\n[host b]\n[team a]\n", "f:2: [host b] zone: missing"; "missing key")]
#[test_case("[team a]\n[team  a]\n", "f:2: [team  a]: defined twice, first in line 1"; "section twice")]
#[test_case("[rules x]\n", "f:1: [rules x]: \"x\" is not accepted, only a section without a name"; "name on rules")]
#[test_case("[rules]\npolicy = erliest\n", "f:2: [rules] policy: \"erliest\" is not accepted, only earliest, random, round-robin, least-outstanding, two-choices"; "unknown policy")]
#[test_case("[host a]\nzone = z\naddress = 0.0.0.0:1\n", "f:3: [host a] address: \"0.0.0.0:1\" is not accepted, only the IP:port that others dial, not 0.0.0.0 and not port 0"; "unspecified address")]
#[test_case("[host a]\nzone = z\naddress = a.example:1\n", "f:3: [host a] address: \"a.example:1\" is not accepted, only IP:port, for example 10.0.1.7:8080"; "domain name")]
#[test_case("[service s]\npath = /\nbackend-servers = x*\n", "f:3: [service s] backend-servers: there is no \"x*\""; "pattern without match")]
fn parse_refused(text: &str, message: &str) {
    assert_eq!(parse(text, "f").unwrap_err().to_string(), message);
}

#[test]
fn parse_too_large() {
    let text = "# comment\n".repeat(MAX_BYTES / 10 + 1);
    assert!(matches!(parse(&text, "f"), Err(ConfigError::TooLarge { .. })));
    let half = "# comment\n".repeat(MAX_BYTES / 20 + 1);
    let error = parse_files(&[("a", &half), ("b", &half)]).unwrap_err();
    assert!(error.to_string().starts_with("a + b: "), "{error}");
}

#[test_case("zone = east", "zone = eats", "inventory.ini:6: [host a] zone: there is no \"eats\", the nearest is \"east\""; "zone")]
#[test_case("10.0.1.1:9000", "10.0.0.1:8081", "inventory.ini:12: [backend-server east-1] address: 10.0.0.1:8081 is already used by [host a]"; "address")]
#[test_case("[worker w1]", "[worker a]", "inventory.ini:20: [worker a]: the name a is already used by [host a]"; "name of two machines")]
fn check_error_located(old: &str, new: &str, message: &str) {
    let text = INVENTORY.replacen(old, new, 1);
    let files = [("inventory.ini", text.as_str()), ("rules.ini", RULES)];
    let mut errors = check(&parse_files(&files).unwrap()).unwrap_err();
    locate(&files, &mut errors);
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(messages, [message]);
}

#[test]
fn check_empty() {
    let errors = check(&Config::default()).unwrap_err();
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(messages, ["[host NAME]: missing", "[team NAME]: missing"]);
}

/// An inventory with a wrong zone in thousands of sections: each error costs a search for the
/// most similar name, which would keep a host busy for seconds.
#[test]
fn check_error_count_bounded() {
    let mut config = sample();
    for n in 0..5_000 {
        let server = Server { address: format!("10.1.0.1:{}", n + 1).into(), ..Server::default() };
        config.servers.insert(format!("s{n}").into(), server);
    }
    assert_eq!(check(&config).unwrap_err().len(), 50);
}

#[test]
fn check_zero_refused() {
    let mut config = sample();
    config.rules.shards = 0;
    config.teams.values_mut().for_each(|team| team.weight = 0);
    assert_eq!(check(&config).unwrap_err().len(), 2);
}

/// Two hosts that disagree on the number of shards would send the same id to two homes, and
/// each would start the caller's job.
#[test]
fn check_change_fixed_keys() {
    let mut old = sample();
    let mut new = old.clone();
    old.revision = 4;
    new.revision = 5;
    assert_eq!(check_change(&old, &new), Ok(()));
    new.rules.shards = 65;
    new.rules.window_s = 599;
    assert_eq!(check_change(&old, &new).unwrap_err().len(), 2);
}

#[test_case(4 => false; "equal")]
#[test_case(3 => false; "lower")]
#[test_case(9 => true; "higher")]
fn check_change_revision(revision: u64) -> bool {
    let old = Config { revision: 4, ..sample() };
    check_change(&old, &Config { revision, ..sample() }).is_ok()
}

#[test]
fn diff_per_key() {
    let old = sample();
    let mut new = old.clone();
    new.revision = 9;
    new.rules.price_us = 1;
    new.teams.remove("walvis");
    new.teams.insert("swakop".into(), Default::default());
    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "~ [rules] price-us = 900 -> 1",
            "+ [team swakop] limit = 10000",
            "+ [team swakop] weight = 1",
            "- [team walvis] limit = 100",
            "- [team walvis] weight = 1",
        ]
    );
}
