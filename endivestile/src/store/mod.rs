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
use tokio::sync::watch as latest;

use crate::config_checker::ConfigChecker;
use crate::counters::Counters;
use crate::error::RunError;
use crate::inbox::Inbox;
use calls::StoreCall;
use connections::Connections;
use registration::DesiredRegistration;

/// Longest wait for the end of the registration when the process ends, in milliseconds.
const LEAVE_MS: u64 = 1_000;

/// What the tasks of the client share.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    /// This incarnation.
    pub(crate) me: Peer,
    /// Availability zone of this host.
    pub(crate) zone: Name,
    /// Address that peers dial.
    pub(crate) address: Name,
    /// Addresses and times.
    pub(crate) settings: StoreSettings,
    /// The engine.
    pub(crate) inbox: Inbox,
    /// Checks of configurations.
    pub(crate) checker: ConfigChecker,
    /// Counts.
    pub(crate) counters: Counters,
}

/// Calls the store, and keeps this host registered in it.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    /// Calls of the kernel.
    call_queue: UnboundedSender<StoreCall>,
    /// How the host is to be registered.
    wish: latest::Sender<DesiredRegistration>,
}

impl Store {
    /// Starts the client's tasks on the runtime.
    pub(crate) fn start(handle: &Handle, desk: Context) -> Result<Self, RunError> {
        let _context = handle.enter();
        let connections = Connections::new(&desk.settings, desk.counters.clone())?;
        let (call_queue, pending) = unbounded_channel();
        let (wish, wishes) = latest::channel(DesiredRegistration::default());
        handle.spawn(calls::serve(connections.clone(), desk.inbox.clone(), pending));
        handle.spawn(watch::run(connections.clone(), desk.clone()));
        handle.spawn(registration::run(connections, desk, wishes));
        Ok(Self { call_queue, wish })
    }

    /// Makes a call for the kernel.
    pub(crate) fn call(&self, op_id: u64, op: StoreOp) {
        let _ = self.call_queue.send(StoreCall { op_id, op });
    }

    /// Registers the host anew, as leaving or not.
    pub(crate) fn register(&self, leaving: bool) {
        self.wish.send_modify(|wish| wish.leaving = leaving);
    }

    /// Ends the registration, so that peers need not wait for the lease to lapse.
    pub(crate) fn deregister(&self) {
        let (done, left) = mpsc::sync_channel(1);
        self.wish.send_modify(|wish| wish.done = Some(done));
        let _ = left.recv_timeout(Duration::from_millis(LEAVE_MS));
    }
}
