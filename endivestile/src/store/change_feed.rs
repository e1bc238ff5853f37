//! Turns keys of the store into events.

use std::collections::HashMap;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{Event, PlatformState, Registration};
use endivestile_wire::key;
use endivestile_wire::store::KeyValue;

use crate::config_checker::ConfigChecker;
use crate::inbox::Inbox;

/// Keys as they were last told to the kernel.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    /// Revisions of the keys' last changes.
    known: HashMap<Vec<u8>, i64>,
    /// The engine.
    inbox: Inbox,
    /// Checks of configurations.
    checker: ConfigChecker,
}

impl ChangeFeed {
    /// Starts with no key known.
    pub(crate) fn new(inbox: Inbox, checker: ConfigChecker) -> Self {
        Self { known: HashMap::new(), inbox, checker }
    }

    /// Tells what changed against the whole state of the store.
    ///
    /// Keys may have been deleted while the watch was broken. Nobody tells of
    /// that afterwards, and a host whose lease lapsed meanwhile would stay in
    /// the kernel's view for ever; so what is missing here counts as deleted.
    pub(crate) fn reconcile(&mut self, values: Vec<KeyValue>) {
        let mut gone = std::mem::take(&mut self.known);
        for value in values {
            let told = gone.remove(&value.key);
            if told == Some(value.mod_revision) {
                self.known.insert(value.key, value.mod_revision);
            } else {
                self.put(value);
            }
        }
        for key in gone.into_keys() {
            self.tell(&key, 0, None);
        }
    }

    /// Tells of a changed key.
    pub(crate) fn put(&mut self, value: KeyValue) {
        self.tell(&value.key, value.mod_revision, Some(value.value));
        self.known.insert(value.key, value.mod_revision);
    }

    /// Tells of a deleted key.
    pub(crate) fn delete(&mut self, key: &[u8]) {
        if self.known.remove(key).is_some() {
            self.tell(key, 0, None);
        }
    }

    fn tell(&self, key: &[u8], revision: i64, value: Option<Vec<u8>>) {
        let Ok(key) = std::str::from_utf8(key) else { return };
        let value = value.map(Bytes::from);
        if key == key::CONFIG {
            return self.config(value);
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
            // A value written past the tools; what was told before stays.
            Err(reason) => log::error!("event=value_refused key={key} reason={reason:?}"),
        }
    }

    /// Hands in a configuration; one that was deleted stays in force.
    fn config(&self, value: Option<Bytes>) {
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
    let shard = shard.parse().map_err(|_| "the key names no shard".to_owned())?;
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
