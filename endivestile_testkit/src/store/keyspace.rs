//! In-memory keys with revisions, leases and watches.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use endivestile_wire::store::event::EventType;
use endivestile_wire::store::{Event, KeyValue};

use super::watcher::{Watcher, covers};

/// A lease to which keys can be attached.
#[derive(Debug)]
struct Lease {
    /// Time to live, in seconds.
    ttl_s: i64,
    /// Time at which the lease expires.
    expires_at: Instant,
}

impl Lease {
    fn new(ttl_s: i64) -> Self {
        let mut lease = Self { ttl_s, expires_at: Instant::now() };
        lease.renew();
        lease
    }

    fn renew(&mut self) {
        self.expires_at = Instant::now() + Duration::from_secs(self.ttl_s.max(1) as u64);
    }
}

/// Keys with revisions, leases and watches. Writes and deletes collect in an
/// open revision until [`Self::commit`].
#[derive(Debug, Default)]
pub(crate) struct Keyspace {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: HashMap<i64, Lease>,
    last_lease: i64,
    history: Vec<Event>,
    pending: Vec<Event>,
    watchers: Vec<Watcher>,
}

impl Keyspace {
    /// Returns the revision of the last change, including an open revision.
    pub(crate) fn revision(&self) -> i64 {
        self.revision + i64::from(!self.pending.is_empty())
    }

    /// Returns the entry of a key.
    pub(crate) fn get(&self, key: &[u8]) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    /// Returns the entries of a range in key order.
    pub(crate) fn range(&self, key: &[u8], end: &[u8]) -> Vec<KeyValue> {
        let found = self.keys.range(key.to_vec()..);
        found.take_while(|(probe, _)| covers(key, end, probe)).map(|(_, kv)| kv.clone()).collect()
    }

    /// Commits the open revision and notifies the watches. Returns the number of events sent.
    pub(crate) fn commit(&mut self) -> u64 {
        self.revision = self.revision();
        let events = std::mem::take(&mut self.pending);
        let revision = self.revision;
        let mut sent = 0;
        self.watchers.retain(|watcher| {
            let count = watcher.notify(revision, &events);
            sent += count.unwrap_or(0) as u64;
            count.is_some()
        });
        self.history.extend(events);
        sent
    }

    /// Writes a key in the open revision. Returns false when the lease does not exist.
    pub(crate) fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) -> bool {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return false;
        }
        let revision = self.revision + 1;
        let old = self.keys.get(&key);
        let kv = KeyValue {
            key: key.clone(),
            create_revision: old.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: old.map_or(0, |kv| kv.version) + 1,
            value,
            lease,
        };
        self.pending.push(event(EventType::Put, kv.clone()));
        self.keys.insert(key, kv);
        true
    }

    /// Deletes a range in the open revision and returns the number of deleted keys.
    pub(crate) fn delete(&mut self, key: &[u8], end: &[u8]) -> usize {
        let found = self.range(key, end);
        for kv in &found {
            self.keys.remove(&kv.key);
            let mod_revision = self.revision + 1;
            let deleted = KeyValue { key: kv.key.clone(), mod_revision, ..Default::default() };
            self.pending.push(event(EventType::Delete, deleted));
        }
        found.len()
    }

    /// Grants a lease and returns its id. For id 0 the store chooses the id.
    pub(crate) fn grant(&mut self, ttl_s: i64, id: i64) -> i64 {
        self.last_lease += 1;
        let id = if id == 0 { self.last_lease } else { id };
        self.leases.insert(id, Lease::new(ttl_s));
        id
    }

    /// Renews a lease and returns its time to live in seconds, or 0 when it does not exist.
    pub(crate) fn keep_alive(&mut self, id: i64) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.renew();
        lease.ttl_s
    }

    /// Renews all leases, as etcd does after a change of leader, so that none
    /// expires because the store was down.
    pub(crate) fn renew_all(&mut self) {
        self.leases.values_mut().for_each(Lease::renew);
    }

    /// Removes a lease and deletes its keys. Returns the number of events sent.
    pub(crate) fn revoke(&mut self, id: i64) -> u64 {
        if self.leases.remove(&id).is_none() {
            return 0;
        }
        let attached = self.keys.values().filter(|kv| kv.lease == id);
        let keys: Vec<Vec<u8>> = attached.map(|kv| kv.key.clone()).collect();
        for key in keys {
            self.delete(&key, &[]);
        }
        self.commit()
    }

    /// Removes the expired leases. Returns the number of events sent.
    pub(crate) fn expire_leases(&mut self, now: Instant) -> u64 {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let ids: Vec<i64> = expired.map(|(id, _)| *id).collect();
        ids.into_iter().map(|id| self.revoke(id)).sum()
    }

    /// Adds a watch and sends it past events from revision `start` on. With 0 it
    /// receives only later events.
    pub(crate) fn watch(&mut self, watcher: Watcher, start: i64) {
        let past_events = self.history.iter();
        let missed: Vec<Event> =
            past_events.filter(|event| is_since(event, start)).cloned().collect();
        if start > 0 && !missed.is_empty() {
            watcher.notify(self.revision, &missed);
        }
        self.watchers.push(watcher);
    }

    /// Removes one watch of a stream, or all without an id.
    pub(crate) fn unwatch(&mut self, stream: u64, id: Option<i64>) {
        self.watchers.retain(|w| w.stream != stream || id.is_some_and(|id| w.id != id));
    }

    /// Returns the number of open watches.
    pub(crate) fn open_watches(&self) -> usize {
        self.watchers.iter().filter(|watcher| !watcher.sender.is_closed()).count()
    }

    /// Closes all watch streams with an error.
    pub(crate) fn close_watches(&mut self) {
        for watcher in self.watchers.drain(..) {
            // Sending fails when the caller has already closed the stream.
            let _ = watcher.sender.send(Err(tonic::Status::unavailable("store is down")));
        }
    }
}

fn event(kind: EventType, kv: KeyValue) -> Event {
    Event { r#type: kind.into(), kv: Some(kv), prev_kv: None }
}

fn is_since(event: &Event, start: i64) -> bool {
    event.kv.as_ref().is_some_and(|kv| kv.mod_revision >= start)
}
