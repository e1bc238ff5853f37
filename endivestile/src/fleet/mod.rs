//! The entry host on a users' platform: HTTP, links and store around the kernel's fleet.
//!
//! Everything runs on one thread: a host has a quarter of a core, and passing an
//! event between threads would cost more than handling it.

mod callers;
mod engine;
mod http_client;
mod inbox;
mod metrics;
mod open_calls;
mod operator_keys;
mod prefix_watch;
mod read_pace;
mod records;
mod run;
mod store_calls;
mod store_client;
mod worker_client;
mod worker_list;

pub(crate) use run::serve;
