//! Keys of the entry hosts in the store: host registrations and the pools' ownership records.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::fleet::{
    FleetEvent, HOST_KEY_PREFIX, HostEntry, POOL_KEY_PREFIX, PoolRole, ReadShare,
};
use endivestile_kernel::{StoreOp, StoreResult};
use endivestile_wire::adapter::{StoreCallError, Swap};
use tokio::sync::watch;
use tokio::time::Instant;

use super::inbox::Inbox;
use super::prefix_watch::{KeyHandler, NextStep};
use super::read_pace::ReadPace;
use super::store_client::StoreClient;
use super::worker_list::SharedPoolRole;
use crate::store::Backoff;

/// Longest pause after a failed registration, in milliseconds.
const MAX_RETRY_MS: u64 = 300;

/// Longest wait of one watch of the records, in milliseconds. Owners are also visible in
/// their frames and fencing tokens, so an unresponsive connection does less harm here than
/// for the configuration.
const MAX_WATCH_WAIT_MS: u32 = 2_500;

/// Pause of a host without workers after a change, in milliseconds. It learns from the frames of
/// its zone's owners which of them have workers; if it watched again at once, each restart of a
/// host would cost several calls of every other host.
const OBSERVER_PAUSE_MS: u64 = 1_000;

/// This host's registration: the entry that has to be in the store, and what the
/// store last returned for its key.
#[derive(Debug, Clone)]
pub(crate) struct Registration {
    /// The entry to be stored.
    pub(crate) entry: HostEntry,
    /// Revision of the key as last read (0 if it is absent), and whether its value equals
    /// `entry`; `None` until the first read.
    pub(crate) stored: Option<(u64, bool)>,
}

impl Registration {
    /// Records a write of `entry` that succeeded. The watch reports it too, but later the more
    /// hosts there are, and until then the write would be repeated.
    fn note_written(&mut self, entry: &HostEntry, revision: u64) {
        let newer = self.stored.is_none_or(|(stored, _)| stored < revision);
        if newer {
            self.stored = Some((revision, self.entry == *entry));
        }
    }
}

/// Posts the keys of the entry hosts to the engine.
#[derive(Debug)]
pub(crate) struct Records {
    /// The engine's inbox.
    pub(crate) inbox: Inbox,
    /// This host's registration.
    pub(crate) registration: watch::Sender<Registration>,
    /// Names of all registered hosts.
    pub(crate) hosts: BTreeSet<Name>,
    /// Pace of the reads, which depends on the number of hosts.
    pub(crate) pace: ReadPace,
    /// The role of this host, which decides how soon it needs the next change.
    pub(crate) role: SharedPoolRole,
}

impl KeyHandler for Records {
    fn handle_key(&mut self, key: &str, revision: u64, value: Option<Bytes>) {
        if let Some(pool) = key.strip_prefix(POOL_KEY_PREFIX) {
            let value = value.unwrap_or_default();
            let pool = Name::from(pool);
            self.inbox.post_event(FleetEvent::Record { pool, revision, value });
        } else if let Some(name) = key.strip_prefix(HOST_KEY_PREFIX) {
            self.handle_host(name, revision, value);
        }
    }

    fn read_share(&self) -> ReadShare {
        ReadShare::Records
    }

    fn watch_wait_ms(&self) -> u32 {
        MAX_WATCH_WAIT_MS
    }

    fn handle_store_state(&mut self, up: bool) {
        self.inbox.post_event(FleetEvent::StoreAvailable(up));
    }

    async fn pause_after(&mut self, changes: usize) -> NextStep {
        if changes > 0 {
            let end = Instant::now() + Duration::from_millis(OBSERVER_PAUSE_MS);
            self.role.wait_above(PoolRole::Observer, end).await;
        }
        NextStep::Watch
    }

    /// Lets the registration start if its key is absent; until the first full read the
    /// state of the key is unknown.
    fn handle_loaded(&mut self, _revision: u64) {
        if self.registration.borrow().stored.is_none() {
            self.registration.send_modify(|registration| registration.stored = Some((0, false)));
        }
    }
}

impl Records {
    fn handle_host(&mut self, name: &str, revision: u64, value: Option<Bytes>) {
        let entry = match value.as_deref().map(serde_json::from_slice::<HostEntry>) {
            Some(Err(e)) => {
                log::error!(
                    "event=value_refused step=read-host host={name} error={:?}",
                    e.to_string()
                );
                return;
            }
            Some(Ok(entry)) => Some(entry),
            None => None,
        };
        let is_own = *self.registration.borrow().entry.peer.host == *name;
        if is_own {
            self.registration.send_modify(|registration| {
                let matches = entry.as_ref() == Some(&registration.entry);
                registration.stored = Some((if entry.is_some() { revision } else { 0 }, matches));
            });
        }
        let name = Name::from(name);
        if entry.is_some() {
            self.hosts.insert(name.clone());
        } else {
            self.hosts.remove(&name);
        }
        self.pace.set_hosts(self.hosts.len());
        self.inbox.post_event(FleetEvent::Host { name, revision, entry });
    }
}

/// Keeps this host registered. The key has no lease: the store may drop leases
/// without notice, and the entry of a host that has ended does no harm.
pub(crate) async fn register(store: StoreClient, registration: watch::Sender<Registration>) {
    let mut changes = registration.subscribe();
    let mut backoff = Backoff::new(MAX_RETRY_MS);
    loop {
        let Registration { entry, stored } = changes.borrow_and_update().clone();
        let Some((revision, false)) = stored else {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        };
        match write_entry(&store, &entry, revision).await {
            Ok(revision) => {
                backoff.reset();
                registration.send_modify(|registration| {
                    registration.note_written(&entry, revision);
                });
            }
            // The watch reports the stored entry; the next attempt waits for it or for the pause.
            Err(fault) => {
                log::info!("event=registration_failed step=register fault={fault:?}");
                tokio::select! {
                    () = backoff.wait() => {}
                    changed = changes.changed() => if changed.is_err() { return },
                }
            }
        }
    }
}

async fn write_entry(
    store: &StoreClient,
    entry: &HostEntry,
    revision: u64,
) -> Result<u64, StoreCallError> {
    let key = Name::from(format!("{HOST_KEY_PREFIX}{}", entry.peer.host));
    // Serializing plain data to JSON cannot fail.
    let value = Bytes::from(serde_json::to_vec(entry).unwrap_or_default());
    store.swap(&Swap { key, revision, value }).await
}

/// Makes a store call of the fleet in a new task and posts its result.
pub(crate) fn spawn_store_call(store: &StoreClient, inbox: &Inbox, op_id: u64, op: StoreOp) {
    let StoreOp::Swap { key, revision, value } = op else { return };
    let (store, inbox) = (store.clone(), inbox.clone());
    tokio::spawn(async move {
        let result = match store.swap(&Swap { key, revision, value }).await {
            Ok(revision) => StoreResult::Swapped(revision),
            Err(StoreCallError::Raced(_)) => StoreResult::Raced,
            // A call that the store refused counts as lost, so that it is not retried at once.
            Err(_) => StoreResult::Lost,
        };
        inbox.post_event(FleetEvent::StoreCallEnded { op_id, result });
    });
}
