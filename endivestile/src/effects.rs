//! Dispatches the kernel's effects to the I/O modules.

use endivestile_kernel::Effect;

use crate::backend::{Backends, TaskCall};
use crate::config_checker::ConfigChecker;
use crate::counters::Counters;
use crate::http_server::Gate;
use crate::logs;
use crate::peers::Links;
use crate::store::Store;

/// The I/O modules that carry out effects.
#[derive(Debug)]
pub(crate) struct EffectHandlers {
    /// Calls to backend servers and workers.
    pub(crate) backends: Backends,
    /// Links to other entry hosts.
    pub(crate) links: Links,
    /// Calls to the platform's store.
    pub(crate) store: Store,
    /// Checks configurations received from peers.
    pub(crate) checker: ConfigChecker,
    /// Callers' connections.
    pub(crate) callers: Gate,
    /// Counters of the process.
    pub(crate) counters: Counters,
}

impl EffectHandlers {
    /// Carries out an effect. Returns it if the engine has to handle it itself.
    pub(crate) fn execute(&self, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::Send { address, frame } => self.links.send(address, frame),
            Effect::Start { attempt, address, path, request } => {
                self.backends.start_call(TaskCall { attempt, address, path, request });
            }
            Effect::Abort(attempt) => self.backends.abort(attempt),
            Effect::StoreCall { op_id, op } => self.store.call(op_id, op),
            Effect::OfferConfig(text) => self.checker.enqueue("peer", text),
            Effect::Register { leaving } => self.store.register(leaving),
            Effect::Log(note) => logs::log_note(&note),
            Effect::Count(metric, count) => self.counters.count_kernel(metric, count),
            Effect::Answer { .. } | Effect::Drained => return Some(effect),
        }
        None
    }
}
