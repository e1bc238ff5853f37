//! Stand-in for the platform's store. Each host has a port of its own, so that the store can turn
//! single hosts away.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Answer, Call, Server};

/// Interval at which a watch looks for changes, in milliseconds.
const POLL_MS: u64 = 3;

#[derive(Default)]
struct Keys {
    items: BTreeMap<String, (u64, Vec<u8>)>,
    deleted: BTreeMap<String, u64>,
    revision: u64,
    /// Hosts that are turned away.
    refused: BTreeSet<usize>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    keys: Arc<Mutex<Keys>>,
    ports: Arc<Mutex<BTreeMap<usize, SocketAddr>>>,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Keys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of the port of a host.
    pub fn port(&self, host: usize) -> SocketAddr {
        let mut ports = self.ports.lock().unwrap_or_else(PoisonError::into_inner);
        let store = self.clone();
        let open = || Server::start([127, 0, 0, 1], move |call| store.answer(host, &call)).address;
        *ports.entry(host).or_insert_with(open)
    }

    /// Sets whether a host is turned away with 429.
    pub fn set_refused(&self, host: usize, refused: bool) {
        let mut keys = self.lock();
        if refused {
            keys.refused.insert(host);
        } else {
            keys.refused.remove(&host);
        }
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut keys = self.lock();
        keys.put(key, value.to_vec());
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|(_, value)| value.clone())
    }

    /// Returns the values of the keys with a prefix.
    pub fn list(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let keys = self.lock();
        let items = keys.items.iter().filter(|(key, _)| key.starts_with(prefix));
        items.map(|(key, (_, value))| (key.clone(), value.clone())).collect()
    }

    fn answer(&self, host: usize, call: &Call) -> Answer {
        if self.lock().refused.contains(&host) {
            return Some((429, Value::Null));
        }
        let prefix = call.get("Prefix");
        match call.path.as_str() {
            "/kv-range" => {
                let keys = self.lock();
                let after = call.get("After");
                let items = keys.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(prefix) && &***key > after);
                let items: Vec<Value> =
                    items.map(|(key, (revision, value))| item(key, *revision, value)).collect();
                Some((200, json!({"items": items, "HasMore": false, "At": keys.revision})))
            }
            "/kv-watch" => self.watch(host, call),
            "/kv-txn" => Some(self.lock().swap(&call.body)),
            _ => Some((404, Value::Null)),
        }
    }

    fn watch(&self, host: usize, call: &Call) -> Answer {
        let end = Instant::now() + Duration::from_millis(call.number("WaitMs"));
        loop {
            {
                let keys = self.lock();
                if keys.refused.contains(&host) {
                    return Some((429, Value::Null));
                }
                let events = keys.changes(call.get("Prefix"), call.number("After"));
                if !events.is_empty() || Instant::now() >= end {
                    return Some((200, json!({"events": events, "At": keys.revision})));
                }
            }
            thread::sleep(Duration::from_millis(POLL_MS));
        }
    }
}

impl Keys {
    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (self.revision, value));
        self.deleted.remove(key);
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<Value> {
        let is_new = |key: &str, revision: u64| key.starts_with(prefix) && revision > after;
        let written = self.items.iter().filter(|(key, (at, _))| is_new(key, *at));
        let written = written.map(|(key, (at, value))| (*at, item(key, *at, value)));
        let deleted = self.deleted.iter().filter(|(key, at)| is_new(key, **at));
        let deleted =
            deleted.map(|(key, at)| (*at, json!({"Key": key, "Revision": at, "Tombstone": true})));
        let mut changes: Vec<(u64, Value)> = written.chain(deleted).collect();
        changes.sort_by_key(|(revision, _)| *revision);
        changes.into_iter().map(|(_, change)| change).collect()
    }

    fn swap(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let current = |key: &str| self.items.get(key).map_or(0, |(revision, _)| *revision);
        let held = |row: &Value| row["Revision"].as_u64() == row["Key"].as_str().map(current);
        if rows("Precondition").iter().any(|row| !held(row)) {
            let keys = rows("Precondition");
            let items = keys.iter().filter_map(|row| {
                let key = row["Key"].as_str()?;
                let (revision, value) = self.items.get(key)?;
                Some(item(key, *revision, value))
            });
            return (412, json!({"items": items.collect::<Vec<_>>()}));
        }
        for row in rows("Writes") {
            let value = row["Value"].as_str().and_then(|text| STANDARD.decode(text).ok());
            let (Some(key), Some(value)) = (row["Key"].as_str(), value) else {
                return (400, Value::Null);
            };
            self.put(key, value);
        }
        (200, json!({"Revision": self.revision}))
    }
}

fn item(key: &str, revision: u64, value: &[u8]) -> Value {
    json!({
        "Key": key, "Value": STANDARD.encode(value), "Revision": revision,
        "Created": revision, "Lease": 0,
    })
}
