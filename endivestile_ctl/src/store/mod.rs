//! Client for the platform's store.

mod client;
mod request;

pub(crate) use client::Store;
pub(crate) use request::{compare_mod_revision, delete, first_kv, key_range, prefix_range, put};
