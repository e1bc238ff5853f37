//! The host on a users' platform: HTTP edges, links and store around the fleet.
//!
//! Everything runs on one thread: a host has a quarter of a core, and handing
//! each event from thread to thread would cost it more than the event.

mod engine;
mod head_timeout;
mod http_client;
mod http_server;
mod inbox;
mod metrics;
mod open_calls;
mod operator_keys;
mod prefix_watch;
mod records;
mod run;
mod store_client;
mod worker_client;
mod worker_list;

pub(crate) use run::serve;
