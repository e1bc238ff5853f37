//! Callers' connections.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use common::Rig;

/// Many callers connect at the same moment and keep their connections. The HTTP
/// library may queue a connection for a thread that is already taken, and would
/// not serve it until another caller disconnects, although the host is idle.
#[test]
fn connect_simultaneously() {
    const CALLERS: usize = 128;
    const ROUNDS: usize = 20;
    let rig = Rig::start(&[]);
    let call = |stream: &mut TcpStream| {
        stream.write_all(b"GET /health HTTP/1.1\r\nHost: e1\r\n\r\n").expect("write");
        let mut reply = [0; 12];
        stream.read_exact(&mut reply).map(|()| reply)
    };
    for _ in 0..ROUNDS {
        let (start, end) = (Barrier::new(CALLERS), Barrier::new(CALLERS));
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    start.wait();
                    let mut stream = TcpStream::connect(&rig.daemon.http).expect("connect");
                    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("timeout");
                    let reply = call(&mut stream);
                    end.wait();
                    assert_eq!(
                        &reply.expect("an answer while all others stay connected"),
                        b"HTTP/1.1 200"
                    );
                });
            }
        });
    }
}
