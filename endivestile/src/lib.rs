//! The entry host's daemon: edges around the kernel.
//!
//! Threads of the edges post typed inputs to one channel; a single thread runs
//! a `stakker` loop with the kernel inside the actor `Engine` and hands the
//! kernel's effects back to the edges.

mod args;
mod backend;
mod clock;
mod config_checker;
mod counters;
mod effects;
mod engine;
mod error;
mod fleet;
mod http;
mod inbox;
mod logs;
mod net;
mod peers;
mod run;
mod signals;
mod statsd;
mod status;
mod store;
mod thread_pool;

pub use args::Args;
pub use error::{Exit, RunError};
pub use run::{run, run_from};
