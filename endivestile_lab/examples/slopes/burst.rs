//! Callers that connect at once, as a balancer does to a host that has started.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::Deployment;

use crate::idle::plan;
use crate::result::MeasureResult;
use crate::usage::built_daemon;

/// Seconds that an answer may take; then the connection counts as unanswered.
const LIMIT_S: u64 = 3;
/// What each connection asks.
const REQUEST: &[u8] = b"GET /health HTTP/1.1\r\nHost: entry\r\n\r\n";

/// What is measured.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Connections made at once.
    #[arg(long, value_delimiter = ',', default_value = "4,20,40,80")]
    connections: Vec<usize>,
    /// Fresh hosts tried per line.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
}

/// Prints one line per number of connections.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!("| connections at once | answered within 3 s | slowest answer, ms | by round |");
    println!("|---|---|---|---|");
    for &connections in &args.connections {
        let mut answered = Vec::new();
        let mut slowest = 0.0_f64;
        for _ in 0..args.rounds {
            let deployment = Deployment::start(plan(1, 1), &built_daemon()?)?;
            let times = burst(deployment.hosts[0].address(), connections)?;
            slowest = times.iter().copied().fold(slowest, f64::max);
            answered.push(times.len());
        }
        let sum: usize = answered.iter().sum();
        let all = connections * args.rounds;
        println!("| {connections} | {sum} of {all} | {slowest:.1} | {answered:?} |");
    }
    Ok(())
}

/// Opens all connections, then asks on each; returns the milliseconds of the answers.
fn burst(host: SocketAddr, connections: usize) -> MeasureResult<Vec<f64>> {
    let streams: Vec<TcpStream> =
        (0..connections).map(|_| TcpStream::connect(host)).collect::<Result<_, _>>()?;
    let began = Instant::now();
    let times = thread::scope(|scope| {
        let each = |stream| scope.spawn(move || ask(stream, began).ok());
        let asked: Vec<_> = streams.iter().map(each).collect();
        asked.into_iter().filter_map(|asked| asked.join().ok().flatten()).collect()
    });
    Ok(times)
}

fn ask(mut stream: &TcpStream, began: Instant) -> std::io::Result<f64> {
    stream.set_read_timeout(Some(Duration::from_secs(LIMIT_S)))?;
    stream.write_all(REQUEST)?;
    stream.read_exact(&mut [0])?;
    Ok(began.elapsed().as_secs_f64() * 1e3)
}
