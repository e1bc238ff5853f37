//! The platform's store: keys with revisions, paged reads, watches and conditional writes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::Shared;
use super::server::{Answer, Call};
use crate::lock::lock;

/// Interval at which a watch checks for changes, in milliseconds.
const POLL_INTERVAL_MS: u64 = 3;
/// Default number of keys per page.
const PAGE_LEN: usize = 500;

/// Keys with their revisions and values.
#[derive(Debug)]
pub(crate) struct Keys {
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Deleted keys with the revision of their deletion.
    deleted: BTreeMap<String, u64>,
    revision: u64,
    /// Whether every call is refused.
    pub(crate) refusing: bool,
    /// Number of keys per page.
    pub(crate) page_len: usize,
    /// Refuses one of this many page reads, as a store does whose rate is exceeded; 0 for none.
    pub(crate) refused_part: u64,
    /// Number of page reads by prefix, refused ones included.
    pub(crate) page_reads: BTreeMap<String, u64>,
    /// Number of watches by prefix, refused ones included.
    pub(crate) watches: BTreeMap<String, u64>,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            deleted: BTreeMap::new(),
            revision: 0,
            refusing: false,
            page_len: PAGE_LEN,
            refused_part: 0,
            page_reads: BTreeMap::new(),
            watches: BTreeMap::new(),
        }
    }
}

impl Keys {
    /// Reads one page of the keys with a prefix that follow `after`.
    fn read_page(&mut self, prefix: &str, after: &str) -> (u16, Value) {
        let reads = self.page_reads.entry(prefix.to_owned()).or_default();
        *reads += 1;
        if self.refused_part > 0 && reads.is_multiple_of(self.refused_part) {
            return (429, Value::Null);
        }
        let mut items: Vec<Value> = self.list(prefix, after).take(self.page_len + 1).collect();
        let more = items.len() > self.page_len;
        items.truncate(self.page_len);
        (200, json!({"items": items, "HasMore": more, "At": self.revision}))
    }

    /// Writes a key.
    pub(crate) fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (self.revision, value));
        self.deleted.remove(key);
    }

    /// Deletes a key.
    pub(crate) fn delete(&mut self, key: &str) {
        self.revision += 1;
        if self.items.remove(key).is_some() {
            self.deleted.insert(key.to_owned(), self.revision);
        }
    }

    /// Reads a key.
    pub(crate) fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.items.get(key).map(|(_, value)| value.clone())
    }

    /// Returns the keys with a prefix that follow `after`.
    fn list<'a>(&'a self, prefix: &'a str, after: &'a str) -> impl Iterator<Item = Value> + 'a {
        let items = self
            .items
            .iter()
            .filter(move |(key, _)| key.starts_with(prefix) && key.as_str() > after);
        items.map(|(key, (revision, value))| item(key, *revision, value))
    }

    /// Returns the writes and deletions under a prefix since a revision, in order.
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

    /// Runs a compare-and-swap: applies all writes if every key has the revision
    /// named in the precondition.
    fn swap(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let current = |key: &str| self.items.get(key).map_or(0, |(revision, _)| *revision);
        let failed: Vec<Value> = rows("Precondition")
            .iter()
            .filter_map(|row| {
                let key = row["Key"].as_str()?;
                let revision = current(key);
                (Some(revision) != row["Revision"].as_u64())
                    .then(|| json!({"Key": key, "Revision": revision}))
            })
            .collect();
        if !failed.is_empty() {
            return (412, json!({"items": failed}));
        }
        for row in rows("Writes") {
            let (key, value) = (row["Key"].as_str(), row["Value"].as_str());
            let value = value.and_then(|value| STANDARD.decode(value).ok());
            match (key, value) {
                (Some(key), Some(value)) => self.put(key, value),
                _ => return (400, Value::Null),
            }
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

/// Answers a call to the store.
pub(crate) async fn answer(shared: &Arc<Shared>, call: &Call) -> Answer {
    if lock(&shared.keys).refusing {
        return Some((503, Value::Null));
    }
    let prefix = call.get("Prefix").unwrap_or_default();
    match call.path.as_str() {
        "/kv-range" => {
            let after = call.get("After").unwrap_or_default();
            Some(lock(&shared.keys).read_page(prefix, after))
        }
        "/kv-watch" => Some(watch(shared, prefix, call).await),
        "/kv-txn" => Some(lock(&shared.keys).swap(&call.body)),
        _ => Some((404, Value::Null)),
    }
}

/// Waits until there are changes under a prefix or the caller's wait time is over.
async fn watch(shared: &Arc<Shared>, prefix: &str, call: &Call) -> (u16, Value) {
    *lock(&shared.keys).watches.entry(prefix.to_owned()).or_default() += 1;
    let after = call.number("After");
    let end = Instant::now() + Duration::from_millis(call.number("WaitMs"));
    loop {
        {
            let keys = lock(&shared.keys);
            if keys.refusing {
                return (503, Value::Null);
            }
            let events = keys.changes(prefix, after);
            if !events.is_empty() || Instant::now() >= end {
                return (200, json!({"events": events, "At": keys.revision}));
            }
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
