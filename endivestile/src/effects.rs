//! Hands the kernel's effects to the edges.

use endivestile_kernel::Effect;

use crate::backend::{Backends, TaskCall};
use crate::config_checker::ConfigChecker;
use crate::counters::Counters;
use crate::http::ReplyPool;
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
    pub(crate) replies: ReplyPool,
    /// Counts.
    pub(crate) counters: Counters,
}

impl EffectHandlers {
    /// Carries out an effect; those that concern the engine itself come back.
    pub(crate) fn execute(&self, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::Send { address, frame } => self.links.send(address, frame),
            Effect::Start { attempt, address, path, order } => {
                self.backends.start_call(TaskCall { attempt, address, path, order });
            }
            Effect::Abort(attempt) => self.backends.abort(attempt),
            Effect::Store { token, op } => self.store.call(token, op),
            Effect::Offer(text) => self.checker.enqueue("peer", text),
            Effect::Register { leaving } => self.store.register(leaving),
            Effect::Log(note) => logs::log_note(&note),
            Effect::Count(metric, count) => self.counters.count_kernel(metric, count),
            Effect::Answer { .. } | Effect::Drained => return Some(effect),
        }
        None
    }
}
