//! HTTP interface for callers.

mod call;
mod handler;
mod headers;
mod invalid_request;
mod reply;
mod route;
mod validation;

pub(crate) use call::{Call, Operation, ReplyFormat};
pub(crate) use handler::{CallHandler, RequestHandler};
pub(crate) use reply::Reply;
