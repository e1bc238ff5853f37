//! Instants on the clock of one host.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An instant, in microseconds since the process started.
///
/// Clocks of different hosts are unrelated: a frame carries the time of its sender, and the
/// receiver converts every instant in it to its own clock.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Self = Self(0);
    /// Later than every instant in use.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates an instant from microseconds since the process started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the instant `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// Returns the instant `millis` milliseconds later.
    pub const fn after_ms(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis.saturating_mul(1_000)))
    }

    /// Returns the instant `micros` microseconds later.
    pub const fn after_us(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time from `earlier` to this instant, or zero.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Converts an instant from a clock that reads `theirs` to one that reads `ours`.
    pub const fn rebase(self, theirs: Self, ours: Self) -> Self {
        if self.0 == u64::MAX {
            return self;
        }
        if self.0 >= theirs.0 {
            Self(ours.0.saturating_add(self.0 - theirs.0))
        } else {
            Self(ours.0.saturating_sub(theirs.0 - self.0))
        }
    }
}
