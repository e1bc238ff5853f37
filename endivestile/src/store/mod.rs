//! Client of the platform's store.

mod access;
mod backoff;
mod error;
mod feed;
mod lease;
mod ops;
mod register;
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
use access::Access;
use ops::Ask;
use register::Wish;

/// Longest wait for the end of the registration when the process ends, in milliseconds.
const LEAVE_MS: u64 = 1_000;

/// What the tasks of the client share.
#[derive(Debug, Clone)]
pub(crate) struct Desk {
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
    asks: UnboundedSender<Ask>,
    /// How the host is to be registered.
    wish: latest::Sender<Wish>,
}

impl Store {
    /// Starts the client's tasks on the runtime.
    pub(crate) fn start(handle: &Handle, desk: Desk) -> Result<Self, RunError> {
        let _context = handle.enter();
        let access = Access::new(&desk.settings, desk.counters.clone())?;
        let (asks, queue) = unbounded_channel();
        let (wish, wishes) = latest::channel(Wish::default());
        handle.spawn(ops::serve(access.clone(), desk.inbox.clone(), queue));
        handle.spawn(watch::run(access.clone(), desk.clone()));
        handle.spawn(register::run(access, desk, wishes));
        Ok(Self { asks, wish })
    }

    /// Makes a call for the kernel.
    pub(crate) fn call(&self, op_id: u64, op: StoreOp) {
        let _ = self.asks.send(Ask { op_id, op });
    }

    /// Registers the host anew, as leaving or not.
    pub(crate) fn register(&self, leaving: bool) {
        self.wish.send_modify(|wish| wish.leaving = leaving);
    }

    /// Ends the registration, so that peers need not wait for the lease to lapse.
    pub(crate) fn leave(&self) {
        let (done, left) = mpsc::sync_channel(1);
        self.wish.send_modify(|wish| wish.done = Some(done));
        let _ = left.recv_timeout(Duration::from_millis(LEAVE_MS));
    }
}
