//! Links between entry hosts.

mod event_handler;
mod frame_queue;
mod incoming;
mod links;
mod outgoing;

pub(crate) use event_handler::PeerEventHandler;
pub(crate) use incoming::{bind, serve};
pub(crate) use links::Links;

/// Version of the encoding of frames.
pub(crate) const FRAME_VERSION: u32 = 4;
/// Longest frame, in bytes: a configuration of a megabyte with room to spare.
pub(crate) const MAX_FRAME_BYTES: usize = 16 << 20;
/// Pause between two probes of a link, in milliseconds.
///
/// A peer whose machine vanished sends no end of the connection; frames would
/// pile up unnoticed until the system gives up after a quarter of an hour.
pub(crate) const KEEPALIVE_INTERVAL_MS: u64 = 5_000;
/// Time for the answer to a probe, in milliseconds.
pub(crate) const KEEPALIVE_TIMEOUT_MS: u64 = 3_000;
