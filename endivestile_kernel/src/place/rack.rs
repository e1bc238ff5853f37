//! Racks, which fail as a whole.

use crate::Time;

/// Back ends of a rack that go out within the window before the rest is doubted.
const SUSPECT_EJECTIONS: usize = 3;

/// Window for that, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// One rack.
///
/// A switch or a power feed takes all its back ends at once. Each of them would
/// take a slotful of tasks with it before its own failures show; once several
/// are out, the others get one task at a time until they answer, and a single
/// back end is probed for all that are out: each probe of a dead rack costs a
/// caller's task.
#[derive(Debug, Default)]
pub(crate) struct Rack {
    /// Slots of its back ends.
    pub(crate) backends: Vec<u32>,
    /// When back ends went out lately.
    ejections: Vec<Time>,
    /// Back end that is probed for all, while the rack is in doubt.
    pub(crate) prober: Option<u32>,
}

impl Rack {
    /// Takes in that a back end went out; returns whether the others come into
    /// doubt by that.
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
