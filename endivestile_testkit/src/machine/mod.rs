//! Stand-ins for the machines that run tasks: backend servers and workers.
//!
//! One thread serves the ports of all machines of a stand-in. It implements HTTP
//! on plain sockets, since HTTP server libraries hide the socket that some
//! faults close in the middle of an answer.

mod backend;
mod connection;
mod fault;
mod http;
mod machine_set;
mod start;
mod state;
mod worker;

pub use backend::BackendStandIn;
pub use fault::MachineFault;
pub use start::{TaskStart, echo};
pub use state::MachineSpec;
pub use worker::WorkerStandIn;
