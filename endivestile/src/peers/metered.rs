//! Counts the frames that links announce before they are received.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body as HttpBody, Frame, SizeHint};
use tonic::Status;
use tonic::body::Body;
use tonic::server::NamedService;
use tower_service::Service;

use super::link_stream::LinkInfo;

/// Length of what precedes a message in a call: a flag, and the length of the message in four
/// bytes.
const PREFIX_BYTES: usize = 5;

/// A service whose requests are metered. The library reserves the announced length of a message
/// before it arrives.
#[derive(Debug, Clone)]
pub(crate) struct Metered<S>(pub(crate) S);

impl<S: NamedService> NamedService for Metered<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<Request<Body>> for Metered<S>
where
    S: Service<Request<Body>, Response = Response<Body>, Error = Infallible>,
{
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = S::Future;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Body>) -> S::Future {
        let Some(link) = request.extensions().get::<LinkInfo>().cloned() else {
            return self.0.call(request);
        };
        let metered = |body| {
            let meter = Meter { prefix: Vec::new(), missing: 0 };
            Body::new(MeteredBody { body, link, meter })
        };
        self.0.call(request.map(metered))
    }
}

/// The body of a call on a link.
struct MeteredBody {
    body: Body,
    link: LinkInfo,
    meter: Meter,
}

impl HttpBody for MeteredBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let this = &mut *self;
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            let link = &this.link;
            let admitted = this.meter.read(data, |length| link.begin_frame(length));
            if !admitted {
                let refused = Status::resource_exhausted("the host holds as many frames as it may");
                return Poll::Ready(Some(Err(refused)));
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Finds the lengths of messages in the bytes of a call.
struct Meter {
    /// The part of a prefix that has been received.
    prefix: Vec<u8>,
    /// Bytes of the current message that have not been received.
    missing: usize,
}

impl Meter {
    /// Reads the next bytes. Passes the length of each message that begins and 0 at its end to
    /// `admit`, and returns `false` if that refuses it.
    fn read(&mut self, mut data: &[u8], admit: impl Fn(usize) -> bool) -> bool {
        while !data.is_empty() {
            if self.missing > 0 {
                let read = self.missing.min(data.len());
                self.missing -= read;
                data = &data[read..];
                if self.missing == 0 {
                    admit(0);
                }
                continue;
            }
            let (read, rest) = data.split_at((PREFIX_BYTES - self.prefix.len()).min(data.len()));
            self.prefix.extend_from_slice(read);
            data = rest;
            if let [_, length @ ..] = &self.prefix[..]
                && let Ok(length) = <[u8; 4]>::try_from(length)
            {
                self.missing = u32::from_be_bytes(length) as usize;
                self.prefix.clear();
                if self.missing > 0 && !admit(self.missing) {
                    return false;
                }
            }
        }
        true
    }
}
