//! The platform's store: keys with revisions, watches and conditional writes.
//!
//! Every host has a port of its own, so that the store can turn single hosts away.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Request, Server};

#[derive(Default)]
struct Keys {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// All changes: revision, key, and the value unless it was deleted.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

impl Keys {
    fn put(&mut self, key: &str, value: Vec<u8>) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.2);
        self.items.insert(key.to_owned(), (value.clone(), self.revision, created));
        self.history.push((self.revision, key.to_owned(), Some(value)));
        self.revision
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn item(&self, key: &str) -> Option<Value> {
        let (value, revision, created) = self.items.get(key)?;
        Some(json!({"Key": key, "Value": STANDARD.encode(value), "Revision": revision,
            "Created": created, "Lease": 0}))
    }
}

#[derive(Default)]
pub struct Store {
    keys: Mutex<Keys>,
    changed: Condvar,
}

/// The port of one host.
pub struct Door {
    server: Server,
    /// Whether every call of the host gets 429.
    refusing: Arc<AtomicBool>,
}

impl Door {
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    pub fn refuse(&self, refuse: bool) {
        self.refusing.store(refuse, Ordering::SeqCst);
    }
}

impl Store {
    pub fn put(&self, key: &str, value: &Value) {
        self.keys.lock().unwrap().put(key, value.to_string().into_bytes());
        self.changed.notify_all();
    }

    /// Returns the values of the keys with a prefix, as JSON.
    pub fn list(&self, prefix: &str) -> Vec<(String, Value)> {
        let keys = self.keys.lock().unwrap();
        let found = keys.items.iter().filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, (value, ..))| {
                (key.clone(), serde_json::from_slice(value).unwrap_or(Value::Null))
            })
            .collect()
    }

    pub fn open_door(self: &Arc<Self>, ip: [u8; 4]) -> std::io::Result<Door> {
        let refusing = Arc::new(AtomicBool::new(false));
        let (store, flag) = (Arc::clone(self), Arc::clone(&refusing));
        let server = Server::start(SocketAddr::from((ip, 0)), move |request| {
            if flag.load(Ordering::SeqCst) {
                return (429, "{}".to_owned());
            }
            let (status, body) = store.answer(request, &flag);
            (status, body.to_string())
        })?;
        Ok(Door { server, refusing })
    }

    fn answer(&self, request: &Request, refusing: &AtomicBool) -> (u16, Value) {
        match request.path.as_str() {
            "/kv-key" => match self.keys.lock().unwrap().item(&decode(request.get("Key"))) {
                Some(item) => (200, item),
                None => (404, json!({})),
            },
            "/kv-range" => {
                self.range(&decode(request.get("Prefix")), &decode(request.get("After")))
            }
            "/kv-watch" => self.watch(request, refusing),
            "/kv-txn" => self.txn(&request.body),
            _ => (404, json!({})),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Value) {
        let keys = self.keys.lock().unwrap();
        let wanted = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
        let all: Vec<&String> = keys.items.keys().filter(wanted).collect();
        let items: Vec<Value> = all.iter().take(500).filter_map(|key| keys.item(key)).collect();
        (200, json!({"items": items, "HasMore": all.len() > 500, "At": keys.revision}))
    }

    fn watch(&self, request: &Request, refusing: &AtomicBool) -> (u16, Value) {
        let (prefix, after) = (decode(request.get("Prefix")), request.number("After"));
        let end = Instant::now() + Duration::from_millis(request.number("WaitMs"));
        let mut keys = self.keys.lock().unwrap();
        loop {
            if refusing.load(Ordering::SeqCst) {
                return (429, json!({}));
            }
            let new =
                keys.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<Value> = new
                .map(|(at, key, value)| match value {
                    Some(value) => json!({"Key": key, "Value": STANDARD.encode(value),
                        "Revision": at, "Created": at, "Lease": 0}),
                    None => json!({"Key": key, "Revision": at, "Tombstone": true}),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "At": keys.revision}));
            }
            keys = self.changed.wait_timeout(keys, left.min(Duration::from_millis(100))).unwrap().0;
        }
    }

    fn txn(&self, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let mut keys = self.keys.lock().unwrap();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let conditions = rows("Precondition");
        let holds = |row: &Value| {
            let key = row["Key"].as_str().unwrap_or_default();
            let current = keys.items.get(key).map_or(0, |item| item.1);
            current == row["Revision"].as_u64().unwrap_or(0)
        };
        if !conditions.iter().all(holds) {
            let items: Vec<Value> = conditions
                .iter()
                .filter_map(|row| keys.item(row["Key"].as_str().unwrap_or_default()))
                .collect();
            return (412, json!({"items": items}));
        }
        for row in rows("Writes") {
            let key = row["Key"].as_str().unwrap_or_default();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, json!({}));
            }
            let value = STANDARD.decode(row["Value"].as_str().unwrap_or_default());
            keys.put(key, value.unwrap_or_default());
        }
        for key in rows("Deletes") {
            keys.delete(key.as_str().unwrap_or_default());
        }
        let revision = keys.revision;
        drop(keys);
        self.changed.notify_all();
        (200, json!({"Revision": revision}))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
