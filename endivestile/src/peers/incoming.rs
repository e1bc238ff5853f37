//! Receives frames from peers.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use endivestile_kernel::{Frame, FrameExtension, Time};
use endivestile_wire::peer as wire;
use endivestile_wire::peer::peers_server::{Peers, PeersServer};
use tokio::runtime::Handle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use super::event_handler::PeerEventHandler;
use super::link_stream::{self, LinkInfo};
use super::metered::Metered;
use super::{FRAME_VERSIONS, KEEPALIVE_INTERVAL_MS, KEEPALIVE_TIMEOUT_MS, MAX_FRAME_BYTES};
use crate::error::RunError;
use crate::http_server::Gate;

/// Calls that a peer may have open on one connection; it needs one.
const MAX_STREAMS: u32 = 4;
/// Longest headers of a call, in bytes.
const MAX_HEADER_BYTES: u32 = 8_192;

/// Binds the peers' socket.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).map_err(|e| bind_error(address, &e))
}

/// Starts serving peers on the runtime.
pub(crate) fn serve<U: PeerEventHandler>(
    handle: &Handle,
    listener: TcpListener,
    inbox: U,
    gate: Gate,
) -> Result<(), RunError> {
    let address = listener.local_addr().unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
    let _guard = handle.enter();
    listener.set_nonblocking(true).map_err(|e| bind_error(address, &e))?;
    let listener =
        tokio::net::TcpListener::from_std(listener).map_err(|e| bind_error(address, &e))?;
    let incoming = ReceiverStream::new(link_stream::accept(listener, gate));
    let service =
        PeersServer::new(PeerService { inbox }).max_decoding_message_size(MAX_FRAME_BYTES);
    let server = Server::builder()
        .max_concurrent_streams(MAX_STREAMS)
        .http2_max_header_list_size(MAX_HEADER_BYTES)
        .http2_keepalive_interval(Some(Duration::from_millis(KEEPALIVE_INTERVAL_MS)))
        .http2_keepalive_timeout(Some(Duration::from_millis(KEEPALIVE_TIMEOUT_MS)))
        .add_service(Metered(service))
        .serve_with_incoming(incoming);
    handle.spawn(async move {
        if let Err(e) = server.await {
            log::error!("event=peers_closed step=serve-peers error={:?}", e.to_string());
        }
    });
    Ok(())
}

fn bind_error(address: SocketAddr, e: &std::io::Error) -> RunError {
    RunError::Bind { step: "listen-peers", address: address.to_string(), reason: e.to_string() }
}

/// gRPC service that passes the frames of all peers to the engine.
#[derive(Debug)]
struct PeerService<U> {
    /// Receiver of frames.
    inbox: U,
}

#[tonic::async_trait]
impl<U: PeerEventHandler> Peers for PeerService<U> {
    async fn link(
        &self,
        request: Request<Streaming<wire::Frame>>,
    ) -> Result<Response<wire::LinkEnd>, Status> {
        let link = request.extensions().get::<LinkInfo>().cloned();
        let mut frames = request.into_inner();
        while let Some(frame) = frames.message().await? {
            match decode(&frame) {
                Ok(frame) => self.inbox.handle_frame(frame),
                Err(status) => {
                    log::error!(
                        "event=frame_refused step=decode peer={} error={:?}",
                        link.map(|link| link.address.to_string()).unwrap_or_default(),
                        status.message()
                    );
                    return Err(status);
                }
            }
        }
        Ok(Response::new(wire::LinkEnd {}))
    }
}

/// Decodes a frame. One of another version is refused, since its bytes could
/// decode to different values.
fn decode(frame: &wire::Frame) -> Result<Frame, Status> {
    let extension = FrameExtension {
        known_version: frame.known_version,
        front_contact: frame.front_contact_us.map(Time::from_micros),
    };
    if !FRAME_VERSIONS.contains(&frame.version) {
        let text = format!("version {}, known: {FRAME_VERSIONS:?}", frame.version);
        return Err(Status::failed_precondition(text));
    }
    let body: Frame =
        postcard::from_bytes(&frame.body).map_err(|e| Status::invalid_argument(e.to_string()))?;
    Ok(Frame { extension, ..body })
}
