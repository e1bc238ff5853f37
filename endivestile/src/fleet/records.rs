//! This host's own keys in the store: its registration, and the pools' records.

use std::time::Duration;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::fleet::{FleetEvent, HOST_KEY_PREFIX, HostEntry, POOL_KEY_PREFIX};
use endivestile_kernel::{StoreOp, StoreResult};
use endivestile_wire::adapter::{StoreFault, Swap};
use tokio::sync::watch;
use tokio::time::sleep;

use super::inbox::Inbox;
use super::prefix_watch::KeyHandler;
use super::store_client::StoreClient;

/// Pause after a registration that failed, in milliseconds.
const RETRY_MS: u64 = 300;

/// Longest wait of one watch of the records, in milliseconds. Owners also show by their
/// frames and tokens, so that a connection that has gone silent does less harm than for
/// the configuration.
const RECORDS_WAIT_MS: u32 = 2_500;

/// What the registration task has to know: the entry that is to stand, and the
/// key's revision as the store last told.
#[derive(Debug, Clone)]
pub(crate) struct Registration {
    /// The entry.
    pub(crate) entry: HostEntry,
    /// Revision of the key as it was last read, and whether it is our entry.
    pub(crate) stored: Option<(u64, bool)>,
}

/// Hands the keys below our prefix to the engine.
#[derive(Debug)]
pub(crate) struct Records {
    /// The engine.
    pub(crate) inbox: Inbox,
    /// The registration.
    pub(crate) registration: watch::Sender<Registration>,
}

impl KeyHandler for Records {
    fn on_key(&mut self, key: &str, revision: u64, value: Option<Bytes>) {
        if let Some(pool) = key.strip_prefix(POOL_KEY_PREFIX) {
            let value = value.unwrap_or_default();
            let pool = Name::from(pool);
            self.inbox.post_event(FleetEvent::Record { pool, revision, value });
        } else if let Some(name) = key.strip_prefix(HOST_KEY_PREFIX) {
            self.host(name, revision, value);
        }
    }

    fn watch_wait_ms(&self) -> u32 {
        RECORDS_WAIT_MS
    }

    fn on_store_state(&mut self, up: bool) {
        self.inbox.post_event(FleetEvent::StoreAvailable(up));
    }

    /// The registration waits until it is known what stands under its key.
    fn on_loaded(&mut self, _revision: u64) {
        if self.registration.borrow().stored.is_none() {
            self.registration.send_modify(|wish| wish.stored = Some((0, false)));
        }
    }
}

impl Records {
    fn host(&mut self, name: &str, revision: u64, value: Option<Bytes>) {
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
        let own = *self.registration.borrow().entry.peer.host == *name;
        if own {
            self.registration.send_modify(|wish| {
                let stands = entry.as_ref() == Some(&wish.entry);
                wish.stored = Some((if entry.is_some() { revision } else { 0 }, stands));
            });
        }
        self.inbox.post_event(FleetEvent::Host { name: Name::from(name), entry });
    }
}

/// Keeps this host registered. The key has no lease: the store may drop leases
/// unseen, and an entry of a host that is gone harms nobody.
pub(crate) async fn register(reader: StoreClient, mut wishes: watch::Receiver<Registration>) {
    loop {
        let wish = wishes.borrow_and_update().clone();
        let revision = match wish.stored {
            Some((_, true)) => {
                if wishes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            None => {
                if wishes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            Some((revision, false)) => revision,
        };
        if let Err(fault) = put(&reader, &wish.entry, revision).await {
            log::info!("event=registration_failed step=register fault={fault:?}");
        }
        // The feed tells what stands; until then the next try waits.
        let pause = sleep(Duration::from_millis(RETRY_MS));
        tokio::select! {
            () = pause => {}
            changed = wishes.changed() => if changed.is_err() { return },
        }
    }
}

async fn put(reader: &StoreClient, entry: &HostEntry, revision: u64) -> Result<u64, StoreFault> {
    let key = Name::from(format!("{HOST_KEY_PREFIX}{}", entry.peer.host));
    // A registration is plain data: it cannot fail to be written as JSON.
    let value = Bytes::from(serde_json::to_vec(entry).unwrap_or_default());
    reader.swap(&Swap { key, revision, value }).await
}

/// Carries out a call of the fleet.
pub(crate) fn spawn_store_call(reader: &StoreClient, inbox: &Inbox, token: u64, op: StoreOp) {
    let StoreOp::Swap { key, revision, value } = op else { return };
    let (reader, inbox) = (reader.clone(), inbox.clone());
    tokio::spawn(async move {
        let stored = match reader.swap(&Swap { key, revision, value }).await {
            Ok(revision) => StoreResult::Swapped(revision),
            Err(StoreFault::Raced(_)) => StoreResult::Raced,
            // A store that turns calls away is not asked again at once.
            Err(_) => StoreResult::Lost,
        };
        inbox.post_event(FleetEvent::StoreResult { op_id: token, result: stored });
    });
}
