//! Property tests with random texts and configurations.

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

fn proptest_settings() -> ProptestConfig {
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
    fn any_config()(zones in btree_map(name(), name(), 0..4),
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
    #![proptest_config(proptest_settings())]

    #[test]
    fn canonical_of_any_text_round_trip(text in text()) {
        let _ = Settings::parse(&text, "any");
        if let Ok(config) = parse(&text, "any") {
            let _ = check(&config);
            prop_assert_eq!(parse(&config.canonical(), "canonical"), Ok(config));
        }
    }

    #[test]
    fn canonical_of_any_config_round_trip(config in any_config()) {
        let parsed = parse(&config.canonical(), "canonical").unwrap();
        prop_assert!(diff(&config, &parsed).is_empty());
        prop_assert_eq!(parsed, config);
    }

    /// A file may be truncated while an editor or a copy still writes it. Either all complete
    /// lines take effect or the text is refused. Only a truncated last line may still be valid.
    #[test]
    fn parse_truncated_text(config in any_config(), fraction in 0.0..1.0f64) {
        let text = config.canonical();
        let truncated = &text[..(text.len() as f64 * fraction) as usize];
        if let Ok(partial) = parse(truncated, "cut") {
            let headers = truncated.lines().filter(|line| line.starts_with('[')).count();
            let sections = partial.zones.len() + partial.servers.len() + partial.teams.len()
                + partial.services.len();
            prop_assert!(sections <= headers && sections + 2 >= headers);
        }
    }
}
