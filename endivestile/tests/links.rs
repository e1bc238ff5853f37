//! Links between entry hosts, with a faulty peer at one end.

mod common;

use std::net::TcpListener;

use common::{Rig, wait_for};
use endivestile_wire::peer::Frame;
use endivestile_wire::peer::peers_client::PeersClient;
use tokio::runtime::Builder;
use tonic::Code;

/// Sends one frame to a host and returns the error code with which the link ended.
fn send_frame(rig: &Rig, frame: Frame) -> Option<Code> {
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let address = format!("http://{}", rig.daemon.peers);
    runtime.block_on(async {
        let mut client = PeersClient::connect(address).await.expect("connect");
        client.link(tokio_stream::once(frame)).await.err().map(|status| status.code())
    })
}

/// A host of another release sends frames in another encoding. They could decode
/// to unintended messages, so the link is closed and the reason is logged.
#[test]
fn frame_other_version() {
    let rig = Rig::start(&[]);
    for version in [3, 7, 99] {
        let code = send_frame(&rig, Frame { version, body: vec![0; 8], ..Frame::default() });
        assert_eq!(code, Some(Code::FailedPrecondition));
    }
    rig.daemon.wait_line("event=frame_refused step=decode");
    assert_eq!(rig.daemon.submit_order("k", "k").status, 200);
}

#[test]
fn frame_garbage() {
    let rig = Rig::start(&[]);
    for (version, len) in [(4, 0), (4, 7), (5, 1), (5, 1_000), (6, 7)] {
        let code = send_frame(&rig, Frame { version, body: vec![0xff; len], ..Frame::default() });
        assert_eq!(code, Some(Code::InvalidArgument));
    }
    assert_eq!(rig.daemon.submit_order("k", "k").status, 200);
}

/// A registered peer accepts the link and never reads, like a machine that hangs.
/// This host must keep serving, and must not queue frames for the peer without
/// limit.
#[test]
fn peer_never_reads() {
    let rig = Rig::start(&[]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let config = common::config(2, &rig.backends)
        + &format!("[host e2]\nzone=a\naddress={address}\nweight=1\n");
    rig.store.put("endivestile/config", config);
    let registration = format!(
        r#"{{"peer":{{"host":"e2","birth":1}},"zone":"a","address":"{address}","leaving":false}}"#
    );
    rig.store.put("endivestile/hosts/e2", registration);
    listener.set_nonblocking(true).expect("non-blocking");
    let mut links = Vec::new();
    wait_for("the link", || {
        links.extend(listener.accept());
        !links.is_empty()
    });
    let headers = [("Team", "m1"), ("Idempotent", "true")];
    wait_for("answers despite the unresponsive peer", || {
        let got = rig.daemon.post("/v1/requests/orders", &headers, "k");
        links.extend(listener.accept());
        got.status == 200
    });
    assert_eq!(rig.daemon.get("/status").status, 200);
}
