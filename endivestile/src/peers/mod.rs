//! Links between entry hosts.

mod event_handler;
mod frame_queue;
mod incoming;
mod link_stream;
mod links;
mod metered;
mod outgoing;

use std::ops::RangeInclusive;

use endivestile_kernel::Frame;

pub(crate) use event_handler::PeerEventHandler;
pub(crate) use incoming::{bind, serve};
pub(crate) use links::Links;

/// Versions of the frame encoding that this release knows.
pub(crate) const FRAME_VERSIONS: RangeInclusive<u32> = Frame::FIRST_VERSION..=Frame::LATEST_VERSION;
/// Longest frame, in bytes; a configuration of one megabyte fits several times.
pub(crate) const MAX_FRAME_BYTES: usize = 16 << 20;
/// Interval between two keep-alive pings on a link, in milliseconds.
///
/// A peer whose machine fails does not close its connections. Without pings,
/// frames would be queued until the operating system gives up the connection
/// after a quarter of an hour.
pub(crate) const KEEPALIVE_INTERVAL_MS: u64 = 5_000;
/// Timeout for the answer to a keep-alive ping, in milliseconds.
pub(crate) const KEEPALIVE_TIMEOUT_MS: u64 = 3_000;
