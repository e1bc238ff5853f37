//! Runs one outgoing link from connecting to its end.

use std::time::Duration;

use endivestile_config::model::Name;
use endivestile_kernel::Peer;
use endivestile_wire::peer::peers_client::PeersClient;
use tonic::transport::{Channel, Endpoint};

use super::event_handler::PeerEventHandler;
use super::frame_queue::FrameStream;
use super::{KEEPALIVE_INTERVAL_MS, KEEPALIVE_TIMEOUT_MS, MAX_FRAME_BYTES};
use crate::counters::{Counters, IoMetric};

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Connects to a peer, sends its frames and reports the end of the link.
pub(crate) async fn run_link<U: PeerEventHandler>(
    address: Name,
    peer: Peer,
    frames: FrameStream,
    inbox: U,
    counters: Counters,
) {
    let reason = match open_channel(&address).await {
        Ok(channel) => send(channel, frames).await,
        Err(e) => format!("step=dial-peer error={:?}", with_causes(&e)),
    };
    log::info!("event=link_down peer={peer} address={address} {reason}");
    counters.count_io(IoMetric::LinksDown, 1);
    inbox.handle_link_down(peer);
}

async fn open_channel(address: &str) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .tcp_nodelay(true)
        .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .http2_keep_alive_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(KEEPALIVE_TIMEOUT_MS))
        .keep_alive_while_idle(true);
    endpoint.connect().await
}

/// Sends frames until either side ends the link, and returns the reason.
async fn send(channel: Channel, frames: FrameStream) -> String {
    let client = PeersClient::new(channel).max_encoding_message_size(MAX_FRAME_BYTES);
    let mut client = client;
    match client.link(frames).await {
        Ok(_) => "step=send-frames error=closed".to_owned(),
        Err(status) => format!("step=send-frames error={:?}", status.message()),
    }
}

/// Formats an error with its causes, which the library's own text omits.
fn with_causes(e: &tonic::transport::Error) -> String {
    let mut text = e.to_string();
    let mut cause = std::error::Error::source(e);
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}
