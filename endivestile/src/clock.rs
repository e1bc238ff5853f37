//! Conversion between the system's clocks and the kernel's time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use endivestile_kernel::Time;

/// Maps the system's monotonic clock to kernel time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    /// Instant of kernel time zero.
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at zero.
    pub(crate) fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the current time.
    pub(crate) fn now(self) -> Time {
        self.to_time(Instant::now())
    }

    /// Converts an instant to kernel time; instants before the start become zero.
    pub(crate) fn to_time(self, instant: Instant) -> Time {
        Time::ZERO.after(instant.saturating_duration_since(self.start))
    }

    /// Converts kernel time to an instant, or `None` if it is out of range.
    pub(crate) fn to_instant(self, time: Time) -> Option<Instant> {
        self.start.checked_add(Duration::from_micros(time.as_micros()))
    }
}

/// Returns the time since the Unix epoch, zero if the system clock is before it.
pub(crate) fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Bits of a birth that are random.
const RANDOM_BIRTH_BITS: u32 = 12;

/// Returns a number that identifies this start of the process: the time of day in microseconds, to
/// about 4 ms. The rest is random, since the time may be set back to that of an earlier start.
pub(crate) fn new_birth() -> u64 {
    let mask = (1 << RANDOM_BIRTH_BITS) - 1;
    (since_epoch().as_micros() as u64 & !mask) | (rand::random::<u64>() & mask)
}

/// Returns a delay below `limit_ms`, in milliseconds, that differs between hosts: it comes from
/// the clock.
pub(crate) fn jitter_ms(limit_ms: u64) -> u64 {
    u64::from(since_epoch().subsec_nanos()) % limit_ms.max(1)
}
