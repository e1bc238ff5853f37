//! Every call is answered, also when many callers connect at once: with real processes.

mod promise;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use endivestile_testkit::{MachineSpec, Plan};

use promise::{PATIENCE_S, start};

/// Callers that connect at once.
const CALLERS: usize = 64;
/// Times that they do so.
const ROUNDS: usize = 20;

// The evening's peak begins: many callers connect in the same moment and keep
// their connections. The library's accept thread hands some of them to threads
// that are about to take others, and they wait until somebody else hangs up: a
// caller is connected, sends its request, and never gets an answer.
#[test]
fn burst_all_answered() {
    let plan = Plan::new().rules(|rules| rules.shards = 4).host("a1", "a", 1).host("a2", "a", 1);
    let deployment = start(plan.server(MachineSpec::new("s1"), "a", "r1"));
    let address = deployment.hosts[0].address();
    for round in 0..ROUNDS {
        let gate = Arc::new(Barrier::new(CALLERS));
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let gate = Arc::clone(&gate);
                thread::spawn(move || {
                    gate.wait();
                    let stream = TcpStream::connect(address).expect("a connection");
                    let answered = ask(&stream);
                    // All hold on, as callers with a pool of connections do.
                    gate.wait();
                    answered
                })
            })
            .collect();
        let answers = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        let answered = answers.filter(|answered| *answered).count();
        assert_eq!(answered, CALLERS, "callers answered in round {round}");
    }
}

/// Sends one request and says whether an answer came.
fn ask(mut stream: &TcpStream) -> bool {
    let patience = Duration::from_secs(PATIENCE_S / 8);
    stream.set_read_timeout(Some(patience)).expect("a socket");
    stream.write_all(b"GET /health HTTP/1.1\r\nHost: a1\r\n\r\n").expect("a request");
    let mut line = String::new();
    let read = BufReader::new(stream).read_line(&mut line);
    read.is_ok() && line.contains("200")
}
