//! Messages on the wire: links between entry hosts, calls to the store, the calls of
//! callers, and the interface of platform adapters.

pub mod adapter;
pub mod bounded;
pub mod call;
pub mod key;

/// Generated from `proto/peer.proto`.
#[allow(missing_docs, clippy::all, clippy::unwrap_used, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
pub mod peer;

/// Generated from `proto/store.proto`.
#[allow(missing_docs, clippy::all, clippy::unwrap_used, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/store.rs"]
pub mod store;
