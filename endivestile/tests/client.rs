//! The HTTP client for workers and the store, on connections that go wrong.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

#[path = "../src/fleet/client.rs"]
#[allow(dead_code, unreachable_pub, reason = "a part of the daemon, tried alone")]
mod client;

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use client::{Client, Fault};
use endivestile_config::model::Name;
use endivestile_testkit::{Harm, Relay};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};

/// Calls at a time, each on a connection of its own.
const CALLS: usize = 6;
/// Time for an answer of the server.
const WORK: Duration = Duration::from_millis(30);
/// Time for an answer to a call; far longer than the server takes.
const PATIENCE: Duration = Duration::from_millis(400);

async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let service = service_fn(|_| async {
            sleep(WORK).await;
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"ok"))))
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn call(client: Client, address: Name) -> Result<StatusCode, Fault> {
    let request = Request::get("/").body(Bytes::new()).unwrap();
    let answer = client.call(&address, request, Instant::now() + PATIENCE).await;
    answer.map(|(status, _)| status)
}

/// The network forgets all connections to a peer at once: they stay open and
/// carry nothing, while new ones work. One call finds out; were the others kept,
/// each would cost one more call its time, and a caller's task a new start.
#[test]
fn connections_go_silent() {
    Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay::start(Some(listener.local_addr().unwrap())).unwrap();
        tokio::spawn(serve(listener));
        let (client, address) = (Client::default(), Name::from(relay.address.to_string()));
        let calls = (0..CALLS).map(|_| tokio::spawn(call(client.clone(), address.clone())));
        for call in calls.collect::<Vec<_>>() {
            assert_eq!(call.await.unwrap(), Ok(StatusCode::OK));
        }
        relay.set(Harm::Stale);
        assert_eq!(call(client.clone(), address.clone()).await, Err(Fault::Lost));
        for _ in 0..CALLS {
            assert_eq!(call(client.clone(), address.clone()).await, Ok(StatusCode::OK));
        }
    });
}
