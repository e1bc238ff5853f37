//! Follows the workers' registrations in the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use endivestile_kernel::fleet::{FleetEvent, PoolRole, ReadShare, WorkerEntry};
use endivestile_wire::adapter::Adapter;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::inbox::Inbox;
use super::prefix_watch::{KeyHandler, NextStep};

/// Pause of an owner after a change, in milliseconds: while workers register, each of them
/// changes its entry with every heartbeat.
const OWNER_PAUSE_MS: u64 = 150;
/// Changes in one response from which on an owner watches again without a pause: more are
/// pending, and with a pause it would fall behind when they arrive faster than it reads.
const PENDING_CHANGES: usize = 400;
/// Pause of another host after a change, in milliseconds.
const OTHER_PAUSE_MS: u64 = 1_000;
/// Changes in one response from which on a host that owns no workers stops watching: with
/// a change at every heartbeat, the cost of watching would grow with the fleet.
const BUSY_CHANGES: usize = 50;
/// Time until such a host reads the list again, in milliseconds. A host that becomes an
/// owner, or whose zone has lost its owners, reads it at once.
const RELOAD_INTERVAL_MS: u64 = 60_000;
/// Time after the start until such a host reads the list for the first time, in milliseconds:
/// hosts that start together have registered by then, so that each knows its share of the reads.
const FIRST_LOAD_DELAY_MS: u64 = 2_000;
/// Longest wait of one watch of an owner, in milliseconds: an unresponsive connection must
/// not hide for long that a worker is leaving.
const OWNER_WATCH_WAIT_MS: u32 = 900;
/// The same for another host, which only needs to know which workers exist.
const OTHER_WATCH_WAIT_MS: u32 = 10_000;
/// Interval at which the list is posted although it has not changed, in milliseconds: a
/// worker that was given up may be reachable again.
const REPEAT_INTERVAL_MS: u64 = 5_000;
/// Time for which missing entries are kept after the store was unavailable, in
/// milliseconds: live workers register again within two seconds.
const KEEP_MISSING_MS: u64 = 2_500;

/// The role of this host, which decides how often it reads the list. Signals when the list is
/// needed more urgently.
#[derive(Debug, Clone)]
pub(crate) struct SharedPoolRole {
    role: Arc<watch::Sender<PoolRole>>,
    raised: Arc<Notify>,
}

impl Default for SharedPoolRole {
    fn default() -> Self {
        let role = Arc::new(watch::Sender::new(PoolRole::Claimant));
        Self { role, raised: Arc::default() }
    }
}

impl SharedPoolRole {
    /// Sets the role of this host. Called after every batch of inputs, most of which leave the
    /// role as it is.
    pub(crate) fn set(&self, role: PoolRole) {
        let mut raised = false;
        self.role.send_if_modified(|before| {
            raised = role > *before && role >= PoolRole::Candidate;
            std::mem::replace(before, role) != role
        });
        if raised {
            self.raised.notify_one();
        }
    }

    fn get(&self) -> PoolRole {
        *self.role.borrow()
    }

    /// Waits until an instant, or until the role is greater than `role`.
    pub(crate) async fn wait_above(&self, role: PoolRole, end: Instant) {
        let mut changes = self.role.subscribe();
        // Fails at the instant only: the sender lives as long as `self`.
        let _ = timeout_at(end, changes.wait_for(|now| *now > role)).await;
    }

    fn is_owner(&self) -> bool {
        self.get() == PoolRole::Owner
    }
}

/// The registered workers as of the last change.
pub(crate) struct WorkerList {
    adapter: &'static Adapter,
    inbox: Inbox,
    role: SharedPoolRole,
    entries: BTreeMap<String, WorkerEntry>,
    /// Entries that are missing since the store was unavailable, and until when they are kept.
    missing: BTreeMap<String, Instant>,
    /// Until when a missing entry is kept, since it may have expired while the store was
    /// unavailable.
    keep_missing_until: Instant,
    changed: bool,
    /// When an entry last changed.
    last_change: Instant,
    next_repeat: Instant,
    /// When a host that owns no workers may read the whole list again.
    next_load: Instant,
}

impl WorkerList {
    /// Starts with an empty list.
    pub(crate) fn new(adapter: &'static Adapter, inbox: Inbox, role: SharedPoolRole) -> Self {
        let now = Instant::now();
        Self {
            adapter,
            inbox,
            role,
            entries: BTreeMap::new(),
            missing: BTreeMap::new(),
            keep_missing_until: now,
            changed: false,
            last_change: now,
            next_repeat: now,
            next_load: now + Duration::from_millis(FIRST_LOAD_DELAY_MS),
        }
    }

    fn remove(&mut self, id: &str) {
        self.changed |= self.entries.remove(id).is_some();
    }

    /// Waits until an instant. Returns earlier, with `Reload`, if the role becomes more urgent.
    async fn pause_until(&self, end: Instant) -> NextStep {
        match timeout_at(end, self.role.raised.notified()).await {
            Ok(()) => NextStep::Reload,
            Err(_) => NextStep::Watch,
        }
    }

    /// Returns whether this host has no use for a fresh list.
    fn is_observer(&self) -> bool {
        self.role.get() < PoolRole::Candidate
    }

    fn remove_expired(&mut self, now: Instant) {
        let expired = self.missing.iter().filter(|(_, until)| **until <= now);
        let ids: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.missing.remove(&id);
            self.remove(&id);
        }
    }
}

impl KeyHandler for WorkerList {
    /// Handles one registration. Registrations may expire while the store is unavailable,
    /// but their workers continue to serve, so missing entries are kept until the workers
    /// have registered again.
    fn handle_key(&mut self, key: &str, _revision: u64, value: Option<Bytes>) {
        let Some(id) = key.strip_prefix(self.adapter.keys.worker_prefix) else { return };
        self.missing.remove(id);
        self.last_change = Instant::now();
        let Some(value) = value else {
            if self.keep_missing_until > Instant::now() {
                self.missing.insert(id.to_owned(), self.keep_missing_until);
            } else {
                self.remove(id);
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
                self.remove(id);
            }
        }
    }

    fn handle_store_state(&mut self, up: bool) {
        let now = Instant::now();
        if !up {
            self.keep_missing_until = now + Duration::from_millis(KEEP_MISSING_MS);
            return;
        }
        self.remove_expired(now);
        if !self.changed && self.next_repeat > now {
            return;
        }
        self.changed = false;
        self.next_repeat = now + Duration::from_millis(REPEAT_INTERVAL_MS);
        self.inbox.post_event(FleetEvent::Workers(self.entries.values().cloned().collect()));
    }

    /// Owners are as many as the workers need. All other hosts together must not take the
    /// store's rate from them, however long the list is.
    fn read_share(&self) -> ReadShare {
        if self.is_observer() { ReadShare::Background } else { ReadShare::Unlimited }
    }

    fn paces_pages(&self) -> bool {
        self.is_observer()
    }

    fn watch_wait_ms(&self) -> u32 {
        if self.role.is_owner() { OWNER_WATCH_WAIT_MS } else { OTHER_WATCH_WAIT_MS }
    }

    /// Posts the list after every full read: an owner waits for it before it starts tasks.
    fn handle_loaded(&mut self, _revision: u64) {
        self.changed = true;
        self.next_load = Instant::now() + Duration::from_millis(RELOAD_INTERVAL_MS);
    }

    async fn pause_before_load(&mut self) {
        if self.is_observer() {
            self.pause_until(self.next_load).await;
        }
    }

    async fn pause_after(&mut self, changes: usize) -> NextStep {
        if self.role.is_owner() {
            if changes < PENDING_CHANGES {
                sleep_until(self.last_change + Duration::from_millis(OWNER_PAUSE_MS)).await;
            }
            return NextStep::Watch;
        }
        if changes >= BUSY_CHANGES && self.is_observer() {
            return NextStep::Reload;
        }
        let pause = if self.entries.is_empty() { OWNER_PAUSE_MS } else { OTHER_PAUSE_MS };
        self.pause_until(self.last_change + Duration::from_millis(pause)).await
    }

    async fn reload_requested(&self) {
        self.role.raised.notified().await;
    }
}
