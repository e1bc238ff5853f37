//! The host on a users' platform: HTTP edges, links and store around the fleet.
//!
//! Everything runs on one thread: a host has a quarter of a core, and handing
//! each event from thread to thread would cost it more than the event.

mod callers;
mod client;
mod config;
mod engine;
mod feed;
mod inbox;
mod listing;
mod page;
mod reader;
mod run;
mod store;
mod waiting;
mod watched;
mod workers;

pub(crate) use run::serve;
