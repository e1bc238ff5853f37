//! The callers' interface.

mod body;
mod call;
mod check;
mod desk;
mod doorbell;
mod head;
mod invalid;
mod listen;
mod reply;
mod route;
mod say;

pub(crate) use call::{Call, Demand, Shape};
pub(crate) use desk::Desk;
pub(crate) use listen::{bind, serve};
pub(crate) use reply::Reply;
pub(crate) use say::{Say, Voice};
