//! Keeps up with the workers' registrations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use endivestile_kernel::fleet::{FleetEvent, WorkerEntry};
use endivestile_wire::adapter::Adapter;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::feed::Sink;
use super::inbox::Inbox;

/// Pause after a change for a host that owns workers, in milliseconds: while workers
/// register, each changes its entry with every heartbeat.
const OWNER_MS: u64 = 150;
/// The same for another host. It may take workers over at any moment, and must not start
/// tasks then on one that said seconds ago that it is leaving.
const OTHER_MS: u64 = 1_000;
/// Longest wait of a watch of a host that owns workers, in milliseconds; a connection that
/// has gone silent must not hide for long that a worker is leaving.
const OWNER_WAIT_MS: u32 = 900;
/// The same of another host, which only has to know which workers there are.
const OTHER_WAIT_MS: u32 = 10_000;
/// Time after which the list is told again though it has not changed, in milliseconds: a
/// worker that was given up may be reached again.
const REPEAT_MS: u64 = 5_000;
/// Time for which entries may be missing after the store was away, in
/// milliseconds: workers that live register anew within two seconds.
const RETURN_MS: u64 = 2_500;

/// Tells when this host owns workers and needs the list at once.
#[derive(Debug, Clone, Default)]
pub(crate) struct Need {
    owner: Arc<AtomicBool>,
    changed: Arc<Notify>,
}

impl Need {
    /// Sets whether this host owns workers.
    pub(crate) fn set(&self, owner: bool) {
        if self.owner.swap(owner, Ordering::Relaxed) != owner && owner {
            self.changed.notify_one();
        }
    }

    fn owner(&self) -> bool {
        self.owner.load(Ordering::Relaxed)
    }
}

/// The registrations as last told.
pub(crate) struct Listing {
    adapter: &'static Adapter,
    inbox: Inbox,
    need: Need,
    entries: BTreeMap<String, WorkerEntry>,
    /// Entries that were missing when the store returned, and until when they count.
    missing: BTreeMap<String, Instant>,
    /// Until when a missing entry may be one that lapsed while the store was away.
    returning: Instant,
    changed: bool,
    /// When an entry was last told.
    told: Instant,
    repeat: Instant,
}

impl Listing {
    /// Starts with no worker known.
    pub(crate) fn new(adapter: &'static Adapter, inbox: Inbox, need: Need) -> Self {
        let now = Instant::now();
        Self {
            adapter,
            inbox,
            need,
            entries: BTreeMap::new(),
            missing: BTreeMap::new(),
            returning: now,
            changed: false,
            told: now,
            repeat: now,
        }
    }

    fn forget(&mut self, id: &str) {
        self.changed |= self.entries.remove(id).is_some();
    }

    fn drop_missing(&mut self, now: Instant) {
        let due = self.missing.iter().filter(|(_, until)| **until <= now);
        let ids: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.missing.remove(&id);
            self.forget(&id);
        }
    }
}

impl Sink for Listing {
    /// Takes one registration over. Registrations may lapse while the store is away; the
    /// workers serve on, so that a missing entry is kept until they are back.
    fn tell(&mut self, key: &str, _revision: u64, value: Option<Bytes>) {
        let Some(id) = key.strip_prefix(self.adapter.keys.workers) else { return };
        self.missing.remove(id);
        self.told = Instant::now();
        let Some(value) = value else {
            if self.returning > Instant::now() {
                self.missing.insert(id.to_owned(), self.returning);
            } else {
                self.forget(id);
            }
            return;
        };
        match (self.adapter.worker)(id, &value) {
            Some(entry) => {
                let old = self.entries.insert(id.to_owned(), entry.clone());
                self.changed |= old != Some(entry);
            }
            None => {
                log::debug!("event=entry_refused step=read-worker id={id}");
                self.forget(id);
            }
        }
    }

    fn store(&mut self, up: bool) {
        let now = Instant::now();
        if !up {
            self.returning = now + Duration::from_millis(RETURN_MS);
            return;
        }
        self.drop_missing(now);
        if !self.changed && self.repeat > now {
            return;
        }
        self.changed = false;
        self.repeat = now + Duration::from_millis(REPEAT_MS);
        self.inbox.event(FleetEvent::Workers(self.entries.values().cloned().collect()));
    }

    fn wait_ms(&self) -> u32 {
        if self.need.owner() { OWNER_WAIT_MS } else { OTHER_WAIT_MS }
    }

    async fn ready(&self) {
        if !self.need.owner() && !self.entries.is_empty() {
            let end = self.told + Duration::from_millis(OTHER_MS);
            let _ = timeout_at(end, self.need.changed.notified()).await;
        }
        sleep_until(self.told + Duration::from_millis(OWNER_MS)).await;
    }

    async fn hurry(&self) {
        self.need.changed.notified().await;
    }
}
