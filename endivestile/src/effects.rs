//! Hands the kernel's effects to the edges.

use endivestile_kernel::Effect;

use crate::backend::{Backends, Run};
use crate::config_checker::ConfigChecker;
use crate::counters::Counters;
use crate::http::Voice;
use crate::logs;
use crate::peers::Links;
use crate::store::Store;

/// The ways out of the engine.
#[derive(Debug)]
pub(crate) struct EffectHandlers {
    /// Calls to back ends.
    pub(crate) backends: Backends,
    /// Links to peers.
    pub(crate) links: Links,
    /// Calls to the platform's store.
    pub(crate) store: Store,
    /// Checks of configurations.
    pub(crate) checker: ConfigChecker,
    /// Replies to callers.
    pub(crate) replies: Voice,
    /// Counts.
    pub(crate) counters: Counters,
}

impl EffectHandlers {
    /// Carries out an effect; those that concern the engine itself come back.
    pub(crate) fn execute(&self, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::Send { address, frame } => self.links.send(address, frame),
            Effect::Start { attempt, address, path, request } => {
                self.backends.run(Run { attempt, address, path, request });
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
