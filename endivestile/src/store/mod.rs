//! Client of the platform's store.

mod backoff;
mod calls;
mod change_feed;
mod connections;
mod error;
mod lease;
mod registration;
mod watch;

use std::sync::mpsc;
use std::time::Duration;

use endivestile_config::StoreSettings;
use endivestile_config::model::Name;
use endivestile_kernel::{Peer, StoreOp};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::watch as watch_channel;

use crate::config_checker::ConfigChecker;
use crate::counters::Counters;
use crate::error::RunError;
use crate::inbox::Inbox;
pub(crate) use backoff::Backoff;
use calls::StoreCall;
use connections::Connections;
use registration::DesiredRegistration;

/// Longest wait at shutdown until the registration has ended, in milliseconds.
const DEREGISTER_TIMEOUT_MS: u64 = 1_000;

/// State shared by the tasks of the client.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    /// This incarnation of the host.
    pub(crate) me: Peer,
    /// Availability zone of this host.
    pub(crate) zone: Name,
    /// Address at which peers connect.
    pub(crate) address: Name,
    /// Addresses and timeouts.
    pub(crate) settings: StoreSettings,
    /// Input channel of the engine.
    pub(crate) inbox: Inbox,
    /// Validates configurations.
    pub(crate) checker: ConfigChecker,
    /// Counters of the process.
    pub(crate) counters: Counters,
}

/// Calls the store, and keeps this host registered in it.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    /// Queue of the kernel's calls.
    call_queue: UnboundedSender<StoreCall>,
    /// Desired registration of this host.
    desired: watch_channel::Sender<DesiredRegistration>,
}

impl Store {
    /// Starts the client's tasks on the runtime.
    pub(crate) fn start(handle: &Handle, context: Context) -> Result<Self, RunError> {
        let _guard = handle.enter();
        let connections = Connections::new(&context.settings, context.counters.clone())?;
        let (call_queue, pending) = unbounded_channel();
        let (desired, changes) = watch_channel::channel(DesiredRegistration::default());
        handle.spawn(calls::serve(connections.clone(), context.inbox.clone(), pending));
        handle.spawn(watch::run(connections.clone(), context.clone()));
        handle.spawn(registration::run(connections, context, changes));
        Ok(Self { call_queue, desired })
    }

    /// Queues a call of the kernel.
    pub(crate) fn call(&self, op_id: u64, op: StoreOp) {
        let _ = self.call_queue.send(StoreCall { op_id, op });
    }

    /// Registers the host again, as leaving or not.
    pub(crate) fn register(&self, leaving: bool) {
        self.desired.send_modify(|desired| desired.leaving = leaving);
    }

    /// Ends the registration, so that peers need not wait for the lease to expire.
    pub(crate) fn deregister(&self) {
        let (done, ended) = mpsc::sync_channel(1);
        self.desired.send_modify(|desired| desired.done = Some(done));
        let _ = ended.recv_timeout(Duration::from_millis(DEREGISTER_TIMEOUT_MS));
    }
}
