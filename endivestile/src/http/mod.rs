//! HTTP interface for callers.

mod body;
mod call;
mod handler;
mod headers;
mod invalid_request;
mod listen;
mod reply;
mod reply_writer;
mod route;
mod thread_waker;
mod validation;

pub(crate) use call::{Call, Operation, ReplyFormat};
pub(crate) use handler::RequestHandler;
pub(crate) use listen::{bind, serve};
pub(crate) use reply::Reply;
pub(crate) use reply_writer::{PendingReply, ReplyPool};
