//! Callers that connect at the same time, as a load balancer does to a host that has just
//! started.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::Deployment;

use crate::idle::plan;
use crate::result::MeasureResult;
use crate::usage::built_daemon;

/// Timeout of an answer, in seconds; a connection without one counts as unanswered.
const TIMEOUT_S: u64 = 3;
/// Request sent on each connection.
const REQUEST: &[u8] = b"GET /health HTTP/1.1\r\nHost: entry\r\n\r\n";

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Numbers of simultaneous connections, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "4,20,40,80")]
    connections: Vec<usize>,
    /// Rounds per row, each with a newly started host.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
}

/// Prints one row for each number of connections.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!("| connections at once | answered within 3 s | slowest answer, ms | by round |");
    println!("|---|---|---|---|");
    for &connections in &args.connections {
        let mut answered = Vec::new();
        let mut slowest = 0.0_f64;
        for _ in 0..args.rounds {
            let deployment = Deployment::start(plan(1, 1), &built_daemon()?)?;
            let times_ms = run_burst(deployment.hosts[0].address(), connections)?;
            slowest = times_ms.iter().copied().fold(slowest, f64::max);
            answered.push(times_ms.len());
        }
        let total: usize = answered.iter().sum();
        let all = connections * args.rounds;
        println!("| {connections} | {total} of {all} | {slowest:.1} | {answered:?} |");
    }
    Ok(())
}

/// Opens all connections, then sends a request on each; returns the milliseconds until each
/// answer, without those that were not answered.
fn run_burst(host: SocketAddr, connections: usize) -> MeasureResult<Vec<f64>> {
    let streams: Vec<TcpStream> =
        (0..connections).map(|_| TcpStream::connect(host)).collect::<Result<_, _>>()?;
    let started = Instant::now();
    let times_ms = thread::scope(|scope| {
        let each = |stream| scope.spawn(move || request_ms(stream, started).ok());
        let handles: Vec<_> = streams.iter().map(each).collect();
        handles.into_iter().filter_map(|handle| handle.join().ok().flatten()).collect()
    });
    Ok(times_ms)
}

/// Sends a request; returns the milliseconds from `started` to the first byte of its answer.
fn request_ms(mut stream: &TcpStream, started: Instant) -> std::io::Result<f64> {
    stream.set_read_timeout(Some(Duration::from_secs(TIMEOUT_S)))?;
    stream.write_all(REQUEST)?;
    stream.read_exact(&mut [0])?;
    Ok(started.elapsed().as_secs_f64() * 1e3)
}
