//! Load and experiments: arrival traces, the ideal they are held against, and
//! their statistics. The programs that run them are the package's examples.

mod ideal;
mod stats;
mod trace;

pub use ideal::{Park, ideal_ms};
pub use stats::{median, percentile};
pub use trace::{Burst, Item, Kind, Load, Mix, trace};
