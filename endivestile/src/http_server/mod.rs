//! The HTTP server of all listeners for clients, which keeps a crowd of them within the limits of
//! the process.

mod body;
mod gate;
mod paced_log;
mod serve;
mod stream;

pub(crate) use body::BodyError;
pub(crate) use gate::{Gate, Slot};
pub(crate) use serve::{Handler, Server, bind};
