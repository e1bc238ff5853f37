//! A soak: entry hosts as processes on the stand-in for the users' platform,
//! callers that never rest, and faults from outside drawn from a seed.
//!
//! The promises are checked by what callers and workers see, never by what the
//! hosts say of themselves.

mod connection;
mod fault;
mod load;
mod relay;
mod run;

pub use run::{Soak, SoakReport};
