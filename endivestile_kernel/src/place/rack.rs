//! Detection of racks that fail as a whole.

use crate::Time;

/// Number of ejections within [`WINDOW_MS`] after which the rest of a rack is
/// suspected.
const SUSPECT_EJECTIONS: usize = 3;

/// Time window in which ejections are counted, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// One rack.
///
/// A failed switch or power feed takes down all backends of a rack at once. Each of
/// them would lose a full set of tasks before its own failures are detected. Once
/// several are ejected, the others get one task at a time until they answer. A
/// single backend is probed on behalf of all ejected ones, because each probe of a
/// dead rack costs a caller's task.
#[derive(Debug, Default)]
pub(crate) struct Rack {
    /// Indexes of its backends.
    pub(crate) backends: Vec<u32>,
    /// Times of recent ejections.
    ejections: Vec<Time>,
    /// Backend that is probed on behalf of all, while the rack is suspected.
    pub(crate) prober: Option<u32>,
}

impl Rack {
    /// Records an ejection; returns whether the rack becomes suspected.
    pub(crate) fn record_ejection(&mut self, now: Time, id: u32) -> bool {
        self.ejections.retain(|out| out.after_ms(WINDOW_MS) > now);
        self.ejections.push(now);
        if self.ejections.len() < SUSPECT_EJECTIONS || self.prober.is_some() {
            return false;
        }
        self.prober = Some(id);
        true
    }
}
