//! With real processes, every call is answered when many callers connect at once.

mod promise;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use endivestile_testkit::{MachineSpec, Plan};

use promise::{WAIT_LIMIT_S, start};

/// Callers that connect at once.
const CALLERS: usize = 64;
/// Repetitions of the burst.
const ROUNDS: usize = 20;

// Many callers connect at the same moment and keep their connections. The HTTP
// library's accept thread hands some of them to threads that are about to take
// others. Such a caller is connected and sends its request, but without a wake-up
// gets no answer until another caller disconnects.
#[test]
fn burst_all_answered() {
    let plan = Plan::new().rules(|rules| rules.shards = 4).host("a1", "a", 1).host("a2", "a", 1);
    let deployment = start(plan.server(MachineSpec::new("s1"), "a", "r1"));
    let address = deployment.hosts[0].address();
    for round in 0..ROUNDS {
        let barrier = Arc::new(Barrier::new(CALLERS));
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let barrier = Arc::clone(&barrier);
                thread::spawn(move || {
                    barrier.wait();
                    let stream = TcpStream::connect(address).expect("a connection");
                    let answered = is_answered(&stream);
                    // All keep their connections, like callers with a connection pool.
                    barrier.wait();
                    answered
                })
            })
            .collect();
        let answers = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        let answered = answers.filter(|answered| *answered).count();
        assert_eq!(answered, CALLERS, "callers answered in round {round}");
    }
}

/// Sends one request and returns whether it was answered.
fn is_answered(mut stream: &TcpStream) -> bool {
    let timeout = Duration::from_secs(WAIT_LIMIT_S / 8);
    stream.set_read_timeout(Some(timeout)).expect("a socket");
    stream.write_all(b"GET /health HTTP/1.1\r\nHost: a1\r\n\r\n").expect("a request");
    let mut line = String::new();
    let result = BufReader::new(stream).read_line(&mut line);
    result.is_ok() && line.contains("200")
}
