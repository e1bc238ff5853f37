//! Keys of the sections of inventory and rules.

use crate::check::PLACEMENT_POLICIES;
use crate::error::ConfigError;
use crate::keys::{SectionFields, unknown_key};
use crate::model::{Host, Name, Rules, Server, Service, Team, WitnessZone, Worker, Zone};
use crate::raw::{RawValue, is_valid_name};

/// Names of the variants of [`WitnessZone`], in their order.
const WITNESS_NAMES: [&str; 2] = ["other", "same"];

impl SectionFields for Zone {
    const KEYS: &'static [&'static str] = &["region"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        self.region = raw.name_or_empty()?;
        Ok(())
    }

    fn get(&self, _key: &str) -> String {
        self.region.to_string()
    }
}

impl SectionFields for Host {
    const KEYS: &'static [&'static str] = &["zone", "address", "weight"];
    const REQUIRED: &'static [&'static str] = &["zone", "address"];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "zone" => self.zone = raw.name()?,
            "address" => self.address = raw.address()?,
            "weight" => self.weight = raw.number(1..=1_000)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "zone" => self.zone.to_string(),
            "address" => self.address.to_string(),
            _ => self.weight.to_string(),
        }
    }
}

impl SectionFields for Server {
    const KEYS: &'static [&'static str] = &["zone", "rack", "address", "slots", "connections"];
    const REQUIRED: &'static [&'static str] = &["zone", "address", "slots"];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "zone" => self.zone = raw.name()?,
            "rack" => self.rack = raw.name_or_empty()?,
            "address" => self.address = raw.address()?,
            "slots" => self.slots = raw.number(1..=10_000)?,
            "connections" => self.connections = raw.number(1..=100_000)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "zone" => self.zone.to_string(),
            "rack" => self.rack.to_string(),
            "address" => self.address.to_string(),
            "slots" => self.slots.to_string(),
            _ => self.connections.to_string(),
        }
    }
}

impl SectionFields for Worker {
    const KEYS: &'static [&'static str] =
        &["zone", "rack", "address", "cpu-milli", "memory-mb", "accelerators"];
    const REQUIRED: &'static [&'static str] = &["zone", "address", "cpu-milli", "memory-mb"];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "zone" => self.zone = raw.name()?,
            "rack" => self.rack = raw.name_or_empty()?,
            "address" => self.address = raw.address()?,
            "cpu-milli" => self.cpu_milli = raw.number(1..=10_000_000)?,
            "memory-mb" => self.memory_mb = raw.number(1..=1_000_000_000)?,
            "accelerators" => self.accelerators = raw.number(0..=1_000)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "zone" => self.zone.to_string(),
            "rack" => self.rack.to_string(),
            "address" => self.address.to_string(),
            "cpu-milli" => self.cpu_milli.to_string(),
            "memory-mb" => self.memory_mb.to_string(),
            _ => self.accelerators.to_string(),
        }
    }
}

impl SectionFields for Service {
    const KEYS: &'static [&'static str] = &["backend-servers", "path"];
    const REQUIRED: &'static [&'static str] = &["backend-servers", "path"];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "backend-servers" => self.servers = patterns(raw)?,
            "path" => self.path = raw.path()?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "path" => self.path.to_string(),
            _ => self.servers.join(", "),
        }
    }
}

fn patterns(raw: &RawValue) -> Result<Vec<Name>, ConfigError> {
    let items = raw.list()?;
    let valid = |item: &RawValue| is_valid_name(&item.text.replace('*', "x"));
    match items.iter().find(|item| !valid(item)) {
        Some(item) => Err(item.invalid("names of backend servers, * for any run of characters")),
        None => Ok(items.iter().map(|item| Name::from(item.text.as_str())).collect()),
    }
}

impl SectionFields for Team {
    const KEYS: &'static [&'static str] = &["limit", "weight"];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "limit" => self.limit = raw.number(1..=100_000_000)?,
            "weight" => self.weight = raw.number(1..=1_000)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "limit" => self.limit.to_string(),
            _ => self.weight.to_string(),
        }
    }
}

impl SectionFields for Rules {
    const KEYS: &'static [&'static str] = &[
        "shards",
        "window-s",
        "price-us",
        "distance-us",
        "policy",
        "witness",
        "retry-percent",
        "queue-limit",
    ];
    const REQUIRED: &'static [&'static str] = &[];

    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError> {
        match raw.location.key.as_str() {
            "shards" => self.shards = raw.number(1..=4_096)?,
            "window-s" => self.window_s = raw.number(10..=86_400)?,
            "price-us" => self.price_us = raw.number(0..=10_000_000)?,
            "distance-us" => self.distance_us = raw.number(0..=10_000_000)?,
            "policy" => self.policy = raw.one_of(&PLACEMENT_POLICIES)?,
            "witness" => self.witness = witness(raw)?,
            "retry-percent" => self.retry_percent = raw.number(0..=100)?,
            "queue-limit" => self.queue_limit = raw.number(1..=1_000_000)?,
            _ => return Err(unknown_key::<Self>(raw)),
        }
        Ok(())
    }

    fn get(&self, key: &str) -> String {
        match key {
            "shards" => self.shards.to_string(),
            "window-s" => self.window_s.to_string(),
            "price-us" => self.price_us.to_string(),
            "distance-us" => self.distance_us.to_string(),
            "policy" => self.policy.to_string(),
            "witness" => WITNESS_NAMES[self.witness as usize].to_owned(),
            "retry-percent" => self.retry_percent.to_string(),
            _ => self.queue_limit.to_string(),
        }
    }
}

fn witness(raw: &RawValue) -> Result<WitnessZone, ConfigError> {
    match raw.one_of(&WITNESS_NAMES)?.as_ref() {
        "other" => Ok(WitnessZone::Other),
        _ => Ok(WitnessZone::Same),
    }
}
