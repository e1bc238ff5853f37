//! Keeps up with the workers' registrations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use endivestile_kernel::fleet::{FleetEvent, PoolRole, WorkerEntry};
use endivestile_wire::adapter::Adapter;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::inbox::Inbox;
use super::prefix_watch::{KeyHandler, NextStep};

/// Pause after a change for a host that owns workers, in milliseconds: while workers
/// register, each changes its entry with every heartbeat.
const OWNER_MS: u64 = 150;
/// Changes of one answer from which on more of them wait: the next watch of an owner
/// begins without a pause, or it falls behind where changes come faster than it pauses.
const BEHIND_ITEMS: usize = 400;
/// Pause after a change for another host, in milliseconds.
const OTHER_MS: u64 = 1_000;
/// Changes of one answer from which on a host that owns no workers stops watching: with
/// every heartbeat a change, its cost would grow with the fleet.
const BUSY_ITEMS: usize = 50;
/// Time until such a host reads the list anew, in milliseconds. One that comes to own
/// workers, or whose zone has lost its owners, reads it at once.
const REST_MS: u64 = 60_000;
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

/// Tells how urgently this host needs the list, and when it needs it more than before.
#[derive(Debug, Clone)]
pub(crate) struct SharedListRole {
    role: Arc<watch::Sender<PoolRole>>,
    changed: Arc<Notify>,
}

impl Default for SharedListRole {
    fn default() -> Self {
        let role = Arc::new(watch::Sender::new(PoolRole::Candidate));
        Self { role, changed: Arc::default() }
    }
}

impl SharedListRole {
    /// Sets what this host needs the list for.
    pub(crate) fn set(&self, role: PoolRole) {
        let before = self.role.send_replace(role);
        if role > before {
            self.changed.notify_one();
        }
    }

    fn role(&self) -> PoolRole {
        *self.role.borrow()
    }

    fn owner(&self) -> bool {
        self.role() == PoolRole::Owner
    }
}

/// The registrations as last told.
pub(crate) struct WorkerList {
    adapter: &'static Adapter,
    inbox: Inbox,
    need: SharedListRole,
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

impl WorkerList {
    /// Starts with no worker known.
    pub(crate) fn new(adapter: &'static Adapter, inbox: Inbox, need: SharedListRole) -> Self {
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

    /// Waits until an instant, or until the list is needed more and is read anew.
    async fn rest(&self, next: NextStep, end: Instant) -> NextStep {
        match timeout_at(end, self.need.changed.notified()).await {
            Ok(()) => NextStep::Reload,
            Err(_) => next,
        }
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

impl KeyHandler for WorkerList {
    /// Takes one registration over. Registrations may lapse while the store is away; the
    /// workers serve on, so that a missing entry is kept until they are back.
    fn on_key(&mut self, key: &str, _revision: u64, value: Option<Bytes>) {
        let Some(id) = key.strip_prefix(self.adapter.keys.worker_prefix) else { return };
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
        match (self.adapter.decode_worker)(id, &value) {
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

    fn on_store_state(&mut self, up: bool) {
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
        self.inbox.post_event(FleetEvent::Workers(self.entries.values().cloned().collect()));
    }

    fn watch_wait_ms(&self) -> u32 {
        if self.need.owner() { OWNER_WAIT_MS } else { OTHER_WAIT_MS }
    }

    /// What has been read is told at once: an owner waits for it before it starts tasks.
    fn on_loaded(&mut self, _revision: u64) {
        self.changed = true;
    }

    async fn pause_after(&mut self, changes: usize) -> NextStep {
        if self.need.owner() {
            if changes < BEHIND_ITEMS {
                sleep_until(self.told + Duration::from_millis(OWNER_MS)).await;
            }
            return NextStep::Watch;
        }
        if changes >= BUSY_ITEMS && self.need.role() == PoolRole::Observer {
            let end = Instant::now() + Duration::from_millis(REST_MS);
            return self.rest(NextStep::Reload, end).await;
        }
        let pause = if self.entries.is_empty() { OWNER_MS } else { OTHER_MS };
        self.rest(NextStep::Watch, self.told + Duration::from_millis(pause)).await
    }

    async fn reload_requested(&self) {
        self.need.changed.notified().await;
    }
}
