//! Calls to backend servers and workers.

mod agent;
mod calls;
mod run;
mod stop;

pub(crate) use calls::Backends;
pub(crate) use run::Run;
