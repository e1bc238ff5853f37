//! Random texts and configurations.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use endivestile_config::model::{Config, Name, Server, Service, Team, WitnessZone, Zone};
use endivestile_config::{Settings, check, diff, parse};
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PIECES: [&str; 16] = [
    "[host a]",
    "[rules]",
    "[configuration]",
    "[service s]",
    "[backend-server s1]",
    "[store]",
    "zone = east",
    "address = 127.0.0.1:80",
    "slots=8",
    "backend-servers = *",
    "path : /=",
    "revision = 18446744073709551616",
    "name = a",
    "# c",
    "\\",
    "=",
];

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default() }
}

fn text() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        4 => proptest::sample::select(&PIECES[..]).prop_map(str::to_owned),
        1 => any::<String>(),
        1 => "[\\[\\]=:#;\\\\\r\n\t a-z0-9]{0,12}",
    ];
    vec(piece, 0..12).prop_map(|pieces| pieces.join("\n"))
}

fn name() -> impl Strategy<Value = Name> {
    "[a-zA-Z0-9][a-zA-Z0-9._-]{0,20}".prop_map(Name::from)
}

prop_compose! {
    fn server()(zone in name(), rack in name(), port in 1u16.., ip in 1u32..,
                slots in 1u32..=10_000, connections in 1u32..=100_000) -> Server {
        let address = format!("{}:{port}", std::net::Ipv4Addr::from(ip)).into();
        Server { zone, rack, address, slots, connections }
    }
}

prop_compose! {
    fn whole()(zones in btree_map(name(), name(), 0..4),
               servers in btree_map(name(), server(), 0..8),
               teams in btree_map(name(), (1u32..1_000, 1u32..1_000), 0..4),
               service in name(), same in any::<bool>(), revision in 0..u64::MAX / 2) -> Config {
        let mut config = Config { revision, servers, ..Config::default() };
        config.zones = zones.into_iter().map(|(k, region)| (k, Zone { region })).collect();
        config.teams = teams
            .into_iter()
            .map(|(name, (limit, weight))| (name, Team { limit, weight }))
            .collect();
        let servers = config.servers.keys().cloned().collect();
        config.services.insert(service, Service { servers, path: "/x?y=[1]#;".into() });
        config.rules.witness = if same { WitnessZone::Same } else { WitnessZone::Other };
        config
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parse_any_text(text in text()) {
        let _ = Settings::parse(&text, "any");
        if let Ok(config) = parse(&text, "any") {
            let _ = check(&config);
            prop_assert_eq!(parse(&config.canonical(), "canonical"), Ok(config));
        }
    }

    #[test]
    fn canonical_any_config(config in whole()) {
        let again = parse(&config.canonical(), "canonical").unwrap();
        prop_assert!(diff(&config, &again).is_empty());
        prop_assert_eq!(again, config);
    }

    /// A file is cut short while an operator's editor or a copy still writes
    /// it. A cut within the last line may still be a text; everywhere else the
    /// operator must see every whole line in force or an error, never a part.
    #[test]
    fn parse_cut_text(config in whole(), at in 0.0..1.0f64) {
        let text = config.canonical();
        let cut = &text[..(text.len() as f64 * at) as usize];
        if let Ok(part) = parse(cut, "cut") {
            let lines = cut.lines().filter(|line| line.starts_with('[')).count();
            let found = part.zones.len() + part.servers.len() + part.teams.len()
                + part.services.len();
            prop_assert!(found <= lines && found + 2 >= lines);
        }
    }
}
