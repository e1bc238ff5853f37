//! Links between entry hosts, one end of which is not what it should be.

mod common;

use std::net::TcpListener;

use common::{Rig, wait_for};
use endivestile_wire::peer::Frame;
use endivestile_wire::peer::peers_client::PeersClient;
use tokio::runtime::Builder;
use tonic::Code;

/// Sends one frame to a host and returns how the link ended.
fn link(rig: &Rig, frame: Frame) -> Option<Code> {
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let address = format!("http://{}", rig.daemon.peers);
    runtime.block_on(async {
        let mut client = PeersClient::connect(address).await.expect("connect");
        client.link(tokio_stream::once(frame)).await.err().map(|status| status.code())
    })
}

/// A host of another release sends frames in another encoding. Read as what
/// they are not they could start anything; so the link ends, and the log says why.
#[test]
fn frame_other_version() {
    let rig = Rig::start(&[]);
    let code = link(&rig, Frame { version: 99, body: vec![0; 8] });
    assert_eq!(code, Some(Code::FailedPrecondition));
    rig.daemon.wait_line("event=frame_refused step=decode");
    assert_eq!(rig.daemon.order("k", "k").status, 200);
}

#[test]
fn frame_garbage() {
    let rig = Rig::start(&[]);
    for len in [0, 1, 7, 1_000] {
        let code = link(&rig, Frame { version: 4, body: vec![0xff; len] });
        assert_eq!(code, Some(Code::InvalidArgument));
    }
    assert_eq!(rig.daemon.order("k", "k").status, 200);
}

/// A registered peer accepts the link and never reads, as a machine that hangs
/// does. This host must go on serving, and must not keep frames for it without
/// bound.
#[test]
fn peer_never_reads() {
    let rig = Rig::start(&[]);
    let deaf = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = deaf.local_addr().expect("address");
    let config = common::config(2, &rig.backends)
        + &format!("[host e2]\nzone=a\naddress={address}\nweight=1\n");
    rig.store.put("endivestile/config", config);
    let registration = format!(
        r#"{{"peer":{{"host":"e2","birth":1}},"zone":"a","address":"{address}","leaving":false}}"#
    );
    rig.store.put("endivestile/hosts/e2", registration);
    deaf.set_nonblocking(true).expect("non-blocking");
    let mut links = Vec::new();
    wait_for("the link", || {
        links.extend(deaf.accept());
        !links.is_empty()
    });
    let headers = [("Team", "m1"), ("Idempotent", "true")];
    wait_for("answers beside the deaf peer", || {
        let got = rig.daemon.post("/v1/requests/orders", &headers, "k");
        links.extend(deaf.accept());
        got.status == 200
    });
    assert_eq!(rig.daemon.get("/status").status, 200);
}
