//! Load generation and experiments: arrival traces, an ideal schedule as the baseline of
//! their response times, and statistics. The package's examples run the experiments.

mod ideal;
mod stats;
mod trace;

pub use ideal::{SlotGroup, ideal_ms};
pub use stats::{median, percentile};
pub use trace::{Arrival, Burst, Kind, Load, Mix, generate_trace};
