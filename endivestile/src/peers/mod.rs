//! Links between entry hosts.

mod links;
mod out;
mod queue;
mod serve;
mod uplink;

pub(crate) use links::Links;
pub(crate) use serve::{bind, serve};
pub(crate) use uplink::Uplink;

/// Version of the encoding of frames.
pub(crate) const VERSION: u32 = 4;
/// Longest frame, in bytes: a configuration of a megabyte with room to spare.
pub(crate) const MAX_FRAME: usize = 16 << 20;
/// Pause between two probes of a link, in milliseconds.
///
/// A peer whose machine vanished sends no end of the connection; frames would
/// pile up unnoticed until the system gives up after a quarter of an hour.
pub(crate) const PROBE_MS: u64 = 5_000;
/// Time for the answer to a probe, in milliseconds.
pub(crate) const PROBE_ANSWER_MS: u64 = 3_000;
