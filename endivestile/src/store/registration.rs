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

/// Renewals during the lifetime of a lease; two may fail before it expires.
const RENEWALS_PER_LEASE: u64 = 3;

/// Desired registration of the host.
#[derive(Debug, Clone, Default)]
pub(crate) struct DesiredRegistration {
    /// Whether the host is leaving.
    pub(crate) leaving: bool,
    /// When set, the registration is to end, and this is notified once it has.
    pub(crate) done: Option<SyncSender<()>>,
}

/// Registers the host, and again each time its lease has expired, until it
/// leaves or a later incarnation has registered under its name.
pub(crate) async fn run(
    connections: Connections,
    context: Context,
    desired: Receiver<DesiredRegistration>,
) {
    let mut backoff = Backoff::new(context.settings.backoff_ms);
    let mut registrar =
        Registrar { connections, context, desired, lease: None, predecessor: None, failing: false };
    loop {
        match registrar.maintain(&mut backoff).await {
            Ok(()) => return,
            Err(e @ StoreError::Superseded { .. }) => {
                log::error!("event=registration_ended {e}");
                return;
            }
            Err(e) => {
                let level = if registrar.failing { log::Level::Debug } else { log::Level::Warn };
                log::log!(level, "event=registration_failed {e}");
                registrar.failing = true;
                registrar.connections.unresponsive.notify_waiters();
                backoff.wait().await;
            }
        }
    }
}

/// The registration with its lease.
struct Registrar {
    /// The store.
    connections: Connections,
    /// State shared by the tasks of the client.
    context: Context,
    /// Desired registration of the host.
    desired: Receiver<DesiredRegistration>,
    /// The lease, kept after an error, since it may still be valid.
    lease: Option<Lease>,
    /// Incarnation whose registration was found first, zero for none; `None` before that.
    predecessor: Option<u64>,
    /// Whether the last attempt failed and was logged.
    failing: bool,
}

impl Registrar {
    /// Maintains the registration until the host leaves.
    async fn maintain(&mut self, backoff: &mut Backoff) -> Result<(), StoreError> {
        let mut lease = self.ensure_lease().await?;
        self.write(lease).await?;
        backoff.reset();
        self.failing = false;
        let interval =
            Duration::from_millis(self.context.settings.lease_s * 1_000 / RENEWALS_PER_LEASE);
        loop {
            let next_renewal = Instant::now() + interval;
            tokio::select! {
                () = sleep_until(next_renewal) => {
                    if !lease.renew(&self.connections).await? {
                        log::warn!("event=lease_lapsed");
                        self.lease = None;
                        lease = self.ensure_lease().await?;
                        self.write(lease).await?;
                    }
                }
                changed = self.desired.changed() => {
                    let done = self.desired.borrow_and_update().done.clone();
                    if changed.is_err() || done.is_some() {
                        return self.deregister(lease, done).await;
                    }
                    self.write(lease).await?;
                }
            }
        }
    }

    /// Returns the lease if it is still valid, or a new one.
    async fn ensure_lease(&mut self) -> Result<Lease, StoreError> {
        if let Some(lease) = self.lease
            && lease.renew(&self.connections).await?
        {
            return Ok(lease);
        }
        let lease = Lease::grant(&self.connections, self.context.settings.lease_s).await?;
        self.lease = Some(lease);
        Ok(lease)
    }

    /// Writes the registration under the lease.
    ///
    /// A process that was paused for long may resume after a later process has
    /// registered under the same name. An unconditional write would replace that
    /// registration, and peers would send work to a process that owns nothing.
    /// The key is therefore read first, and only the value read is replaced. What the first read
    /// finds is the registration of a predecessor; another incarnation's that appears after that
    /// is a successor's, whatever their births say.
    async fn write(&mut self, lease: Lease) -> Result<(), StoreError> {
        let key = format!("{}{}", key::HOSTS, self.context.me.host);
        loop {
            let (revision, value) = match calls::get(&self.connections, &key).await? {
                StoreResult::Value { revision, value } => (revision, value),
                _ => (0, bytes::Bytes::new()),
            };
            let registered = serde_json::from_slice::<Registration>(&value).ok();
            let birth = registered.map_or(0, |registered| registered.peer.birth);
            let predecessor = *self.predecessor.get_or_insert(birth);
            if ![0, predecessor, self.context.me.birth].contains(&birth) {
                return Err(StoreError::Superseded { incarnation: birth });
            }
            let put = self.put_request(&key, lease);
            let stored =
                calls::compare_and_swap(&self.connections, "register", revision as i64, put)
                    .await?;
            if stored != StoreResult::Raced {
                return Ok(());
            }
        }
    }

    fn put_request(&self, key: &str, lease: Lease) -> PutRequest {
        let registration = Registration {
            peer: self.context.me.clone(),
            zone: self.context.zone.clone(),
            address: self.context.address.clone(),
            leaving: self.desired.borrow().leaving,
        };
        // Serializing a struct of strings and numbers cannot fail.
        let value = serde_json::to_vec(&registration).unwrap_or_default();
        PutRequest { key: key.as_bytes().to_vec(), value, lease: lease.0 }
    }

    /// Ends the registration. If the store is down, the lease expires instead.
    async fn deregister(
        &self,
        lease: Lease,
        done: Option<SyncSender<()>>,
    ) -> Result<(), StoreError> {
        if let Err(e) = lease.revoke(&self.connections).await {
            log::warn!("event=revoke_failed {e}");
        }
        if let Some(done) = done {
            let _ = done.send(());
        }
        Ok(())
    }
}
