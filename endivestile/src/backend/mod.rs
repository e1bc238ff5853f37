//! Calls to backend servers and workers.

mod calls;
mod clients;
mod stop_call;
mod task_call;

pub(crate) use calls::Backends;
pub(crate) use task_call::TaskCall;
