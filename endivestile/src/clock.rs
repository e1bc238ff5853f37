//! The process's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use endivestile_kernel::Time;

/// Turns the machine's clock into the kernel's instants.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    /// What the kernel calls zero.
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub(crate) fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the present instant.
    pub(crate) fn now(self) -> Time {
        self.to_time(Instant::now())
    }

    /// Returns the kernel's name of a machine's instant.
    pub(crate) fn to_time(self, instant: Instant) -> Time {
        Time::ZERO.after(instant.saturating_duration_since(self.start))
    }

    /// Returns the machine's name of a kernel's instant, none when it never comes.
    pub(crate) fn to_instant(self, time: Time) -> Option<Instant> {
        self.start.checked_add(Duration::from_micros(time.as_micros()))
    }
}

/// Returns the time since 1970, zero on a machine whose clock stands before.
pub(crate) fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
