//! Load and experiments: arrival traces, the ideal they are held against, and
//! their statistics. The programs that run them are the package's examples.

mod ideal;
mod stats;
mod trace;

pub use ideal::{SlotGroup, ideal_ms};
pub use stats::{median, percentile};
pub use trace::{Arrival, Burst, Kind, Load, Mix, generate_trace};
