//! Soak test: runs entry hosts as processes against the stand-in for the users'
//! platform under constant load, with external faults drawn from a seed.
//!
//! The service's promises are checked only by what callers and workers observe,
//! not by what the hosts report.

mod connection;
mod crowds;
mod fault;
mod load;
mod relay;
mod run;

pub use run::{Soak, SoakReport};
