//! Stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Request};

#[derive(Default)]
struct Keys {
    revision: u64,
    /// Key to revision, creation and value in base64.
    items: BTreeMap<String, (u64, u64, String)>,
    /// All changes, in order.
    history: Vec<Value>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Keys>, Condvar)>);

impl Store {
    /// Serves the store on a free port.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let address = listener.local_addr().expect("address of a bound socket");
        let store = self.clone();
        http::serve(listener, move |request| Some(store.answer(&request)), |_| true);
        address
    }

    /// Writes a key as the operator or a worker does; returns the revision.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        let mut keys = self.0.0.lock().unwrap();
        keys.put(key, base64(value.to_string().as_bytes()));
        self.0.1.notify_all();
        keys.revision
    }

    /// Returns the values of all keys with a prefix, decoded.
    pub fn read(&self, prefix: &str) -> Vec<(String, Value)> {
        let keys = self.0.0.lock().unwrap();
        let found = keys.items.iter().filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, (_, _, value))| {
                let bytes = unbase64(value);
                (key.clone(), serde_json::from_slice(&bytes).unwrap_or(Value::Null))
            })
            .collect()
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let prefix = request.get("Prefix").unwrap_or_default();
        let (status, reply) = match request.path.as_str() {
            "/kv-range" => self.0.0.lock().unwrap().page(prefix, request.get("After")),
            "/kv-watch" => self.watch(prefix, request),
            "/kv-txn" => {
                let reply = self.0.0.lock().unwrap().transact(&body);
                self.0.1.notify_all();
                reply
            }
            "/kv-key" => self.0.0.lock().unwrap().read(request.get("Key").unwrap_or_default()),
            _ => (404, json!({})),
        };
        (status, reply.to_string())
    }

    fn watch(&self, prefix: &str, request: &Request) -> (u16, Value) {
        let number = |key: &str| request.get(key).and_then(|n| n.parse().ok()).unwrap_or(0u64);
        let (after, end) =
            (number("After"), Instant::now() + Duration::from_millis(number("WaitMs")));
        let mut keys = self.0.0.lock().unwrap();
        loop {
            let new = |event: &&Value| {
                event["Revision"].as_u64() > Some(after)
                    && event["Key"].as_str().is_some_and(|key| key.starts_with(prefix))
            };
            let events: Vec<Value> = keys.history.iter().filter(new).cloned().collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "At": keys.revision}));
            }
            keys = self.0.1.wait_timeout(keys, left).unwrap().0;
        }
    }
}

impl Keys {
    fn item(key: &str, (revision, created, value): &(u64, u64, String)) -> Value {
        json!({"Key": key, "Value": value, "Revision": revision, "Created": created, "Lease": 0})
    }

    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |(_, created, _)| *created);
        let item = (self.revision, created, value);
        self.history.push(Self::item(key, &item));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(json!({"Key": key, "Revision": self.revision, "Tombstone": true}));
        }
    }

    fn read(&self, key: &str) -> (u16, Value) {
        match self.items.get(key) {
            Some(item) => {
                let mut item = Self::item(key, item);
                item["At"] = json!(self.revision);
                (200, item)
            }
            None => (404, json!({"At": self.revision})),
        }
    }

    fn page(&self, prefix: &str, after: Option<&str>) -> (u16, Value) {
        let wanted = |key: &str| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let found = self.items.iter().filter(|(key, _)| wanted(key));
        let items: Vec<Value> = found.map(|(key, item)| Self::item(key, item)).collect();
        (200, json!({"items": items, "HasMore": false, "At": self.revision}))
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let current = |key: &str| self.items.get(key).map_or(0, |item| item.0);
        let conditions = rows("Precondition");
        let holds = |row: &Value| {
            row["Revision"].as_u64() == Some(current(row["Key"].as_str().unwrap_or_default()))
        };
        if !conditions.iter().all(holds) {
            let state = |row: &Value| {
                let key = row["Key"].as_str().unwrap_or_default();
                self.items.get(key).map(|item| Self::item(key, item))
            };
            let items: Vec<Value> = conditions.iter().filter_map(state).collect();
            return (412, json!({"items": items}));
        }
        let mut keys =
            rows("Writes").into_iter().map(|row| row["Key"].clone()).chain(rows("Deletes"));
        let reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if keys.any(|key| key.as_str().is_none_or(reserved)) {
            return (403, json!({}));
        }
        for row in rows("Writes") {
            let value = row["Value"].as_str().unwrap_or_default().to_owned();
            self.put(row["Key"].as_str().unwrap_or_default(), value);
        }
        for key in rows("Deletes") {
            self.delete(key.as_str().unwrap_or_default());
        }
        (200, json!({"Revision": self.revision}))
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { break };
        word = (word << 6 | digit as u32) & 0xFF_FFFF;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits & 255) as u8);
        }
    }
    out
}
