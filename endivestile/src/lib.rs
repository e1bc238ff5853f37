//! The entry host's daemon: I/O around the kernel.
//!
//! The threads of the I/O modules post typed inputs to one channel. A single
//! thread runs a `stakker` loop with the actor `Engine`, which owns the kernel
//! and passes the kernel's effects back to the I/O modules.

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
mod http_server;
mod inbox;
mod logs;
mod machine;
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
