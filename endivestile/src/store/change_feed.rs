//! Converts changes of keys in the store into events.

use std::collections::HashMap;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{Event, PlatformState, Registration};
use endivestile_wire::key;
use endivestile_wire::store::KeyValue;

use crate::config_checker::ConfigChecker;
use crate::inbox::Inbox;

/// Reports changes of keys to the kernel, each once.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    /// Revision of the last reported change of each key.
    revisions: HashMap<Vec<u8>, i64>,
    /// Input channel of the engine.
    inbox: Inbox,
    /// Validates configurations.
    checker: ConfigChecker,
}

impl ChangeFeed {
    /// Starts without any reported key.
    pub(crate) fn new(inbox: Inbox, checker: ConfigChecker) -> Self {
        Self { revisions: HashMap::new(), inbox, checker }
    }

    /// Reports how the whole state of the store differs from what was reported.
    ///
    /// Keys may have been deleted while the watch was interrupted, and no later
    /// event would report that: a host whose lease expired meanwhile would stay
    /// in the kernel's membership forever. Keys that are missing from `values`
    /// are therefore reported as deleted.
    pub(crate) fn reconcile(&mut self, values: Vec<KeyValue>) {
        let mut missing = std::mem::take(&mut self.revisions);
        for value in values {
            let reported = missing.remove(&value.key);
            if reported == Some(value.mod_revision) {
                self.revisions.insert(value.key, value.mod_revision);
            } else {
                self.put(value);
            }
        }
        for key in missing.into_keys() {
            self.report(&key, 0, None);
        }
    }

    /// Reports a changed key.
    pub(crate) fn put(&mut self, value: KeyValue) {
        self.report(&value.key, value.mod_revision, Some(value.value));
        self.revisions.insert(value.key, value.mod_revision);
    }

    /// Reports a deleted key.
    pub(crate) fn delete(&mut self, key: &[u8]) {
        if self.revisions.remove(key).is_some() {
            self.report(key, 0, None);
        }
    }

    fn report(&self, key: &[u8], revision: i64, value: Option<Vec<u8>>) {
        let Ok(key) = std::str::from_utf8(key) else { return };
        let value = value.map(Bytes::from);
        if key == key::CONFIG {
            return self.handle_config(value);
        }
        let event = if let Some(host) = key.strip_prefix(key::HOSTS) {
            host_event(host, value)
        } else if let Some(shard) = key.strip_prefix(key::SHARDS) {
            record_event(shard, revision, value)
        } else if let Some(name) = key.strip_prefix(key::STOPS) {
            Ok(Event::PlannedStop { name: Name::from(name), stop: value.is_some() })
        } else if let Some(name) = key.strip_prefix(key::PLATFORM_HOSTS) {
            platform_event(name, value)
        } else {
            return;
        };
        match event {
            Ok(event) => self.inbox.post_event(event),
            // The value was not written by the operators' tools. What was
            // reported before stays in force.
            Err(reason) => log::error!("event=value_refused key={key} reason={reason:?}"),
        }
    }

    /// Passes on a configuration; a deleted one stays in force.
    fn handle_config(&self, value: Option<Bytes>) {
        match value {
            Some(text) => self.checker.enqueue("store", text),
            None => log::error!("event=config_deleted key={}", key::CONFIG),
        }
    }
}

fn host_event(host: &str, value: Option<Bytes>) -> Result<Event, String> {
    let registration: Option<Registration> = match value {
        Some(value) => Some(serde_json::from_slice(&value).map_err(|e| e.to_string())?),
        None => None,
    };
    Ok(Event::HostRegistration { host: Name::from(host), registration })
}

fn record_event(shard: &str, revision: i64, value: Option<Bytes>) -> Result<Event, String> {
    let shard = shard.parse().map_err(|_| "the key contains no shard number".to_owned())?;
    Ok(Event::ShardRecordChange {
        shard,
        revision: revision as u64,
        value: value.unwrap_or_default(),
    })
}

fn platform_event(name: &str, value: Option<Bytes>) -> Result<Event, String> {
    let state = match value.as_deref().map(<[u8]>::trim_ascii) {
        None => None,
        Some(b"live") => Some(PlatformState::Live),
        Some(b"leaving") => Some(PlatformState::Leaving),
        Some(b"gone") => Some(PlatformState::Gone),
        Some(_) => return Err("accepted: live, leaving, gone".to_owned()),
    };
    Ok(Event::PlatformChange { name: Name::from(name), state })
}
