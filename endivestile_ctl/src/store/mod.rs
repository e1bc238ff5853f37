//! Calls to the platform's store.

mod client;
mod request;

pub(crate) use client::Store;
pub(crate) use request::{delete, first, guard, put, range, scan};
