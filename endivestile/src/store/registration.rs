//! Keeps this host registered in the store.

use std::sync::mpsc::SyncSender;

use endivestile_kernel::{Registration, StoreResult};
use endivestile_wire::key;
use endivestile_wire::store::PutRequest;
use tokio::sync::watch::Receiver;
use tokio::time::{Duration, Instant, sleep_until};

use super::backoff::Backoff;
use super::connections::Connections;
use super::error::StoreError;
use super::lease::Lease;
use super::{Context, calls};

/// Refreshes within the life of a lease; two may be lost before it lapses.
const REFRESHES: u64 = 3;

/// How the host is to be registered.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredRegistration {
    /// Whether it is leaving.
    pub(crate) leaving: bool,
    /// Told once the registration has ended, which is wished with it.
    pub(crate) done: Option<SyncSender<()>>,
}

/// Registers the host, and again after each lapse, until it leaves or a later
/// incarnation has taken its name.
pub(crate) async fn run(
    connections: Connections,
    desk: Context,
    wishes: Receiver<DesiredRegistration>,
) {
    let mut backoff = Backoff::new(desk.settings.backoff_ms);
    let mut keeper = Keeper { connections, desk, wishes, lease: None, failing: false };
    loop {
        match keeper.keep(&mut backoff).await {
            Ok(()) => return,
            Err(e @ StoreError::Superseded { .. }) => {
                log::error!("event=registration_ended {e}");
                return;
            }
            Err(e) => {
                let level = if keeper.failing { log::Level::Debug } else { log::Level::Warn };
                log::log!(level, "event=registration_failed {e}");
                keeper.failing = true;
                keeper.connections.unresponsive.notify_waiters();
                backoff.wait().await;
            }
        }
    }
}

/// The registration with its lease.
struct Keeper {
    /// The store.
    connections: Connections,
    /// What all tasks share.
    desk: Context,
    /// How the host is to be registered.
    wishes: Receiver<DesiredRegistration>,
    /// The lease, kept over errors: it may still live.
    lease: Option<Lease>,
    /// Whether the last attempt failed, and the log says so already.
    failing: bool,
}

impl Keeper {
    /// Keeps the registration until the host leaves.
    async fn keep(&mut self, backoff: &mut Backoff) -> Result<(), StoreError> {
        let mut lease = self.ensure_lease().await?;
        self.put(lease).await?;
        backoff.reset();
        self.failing = false;
        let pause = Duration::from_millis(self.desk.settings.lease_s * 1_000 / REFRESHES);
        loop {
            let until = Instant::now() + pause;
            tokio::select! {
                () = sleep_until(until) => {
                    if !lease.renew(&self.connections).await? {
                        log::warn!("event=lease_lapsed");
                        self.lease = None;
                        lease = self.ensure_lease().await?;
                        self.put(lease).await?;
                    }
                }
                changed = self.wishes.changed() => {
                    let done = self.wishes.borrow_and_update().done.clone();
                    if changed.is_err() || done.is_some() {
                        return self.leave(lease, done).await;
                    }
                    self.put(lease).await?;
                }
            }
        }
    }

    /// Returns the lease if it lives, or a new one.
    async fn ensure_lease(&mut self) -> Result<Lease, StoreError> {
        if let Some(lease) = self.lease
            && lease.renew(&self.connections).await?
        {
            return Ok(lease);
        }
        let lease = Lease::grant(&self.connections, self.desk.settings.lease_s).await?;
        self.lease = Some(lease);
        Ok(lease)
    }

    /// Writes the registration under the lease.
    ///
    /// A process that was paused for long may wake beside its successor of the
    /// same name. Writing blindly it would take the name back, and peers would
    /// send work to a process that owns nothing; so it looks first, and writes
    /// only over the state that it saw.
    async fn put(&mut self, lease: Lease) -> Result<(), StoreError> {
        let key = format!("{}{}", key::HOSTS, self.desk.me.host);
        loop {
            let (revision, value) = match calls::get(&self.connections, &key).await? {
                StoreResult::Value { revision, value } => (revision, value),
                _ => (0, bytes::Bytes::new()),
            };
            if let Ok(held) = serde_json::from_slice::<Registration>(&value)
                && held.peer.birth > self.desk.me.birth
            {
                return Err(StoreError::Superseded { incarnation: held.peer.birth });
            }
            let put = self.request(&key, lease);
            let stored =
                calls::compare_and_swap(&self.connections, "register", revision as i64, put)
                    .await?;
            if stored != StoreResult::Raced {
                return Ok(());
            }
        }
    }

    fn request(&self, key: &str, lease: Lease) -> PutRequest {
        let registration = Registration {
            peer: self.desk.me.clone(),
            zone: self.desk.zone.clone(),
            address: self.desk.address.clone(),
            leaving: self.wishes.borrow().leaving,
        };
        // A struct of strings and numbers always has a JSON form.
        let value = serde_json::to_vec(&registration).unwrap_or_default();
        PutRequest { key: key.as_bytes().to_vec(), value, lease: lease.0 }
    }

    /// Ends the registration; a store that is down lets the lease lapse.
    async fn leave(&self, lease: Lease, done: Option<SyncSender<()>>) -> Result<(), StoreError> {
        if let Err(e) = lease.revoke(&self.connections).await {
            log::warn!("event=revoke_failed {e}");
        }
        if let Some(done) = done {
            let _ = done.send(());
        }
        Ok(())
    }
}
