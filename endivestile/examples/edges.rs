//! The HTTP libraries on one load: `tiny_http` and `hyper` as servers, `ureq`
//! and `hyper` as clients. Prints a table; not a test, it asserts nothing.
//!
//! Each server is a process of its own, so that its processor time can be told
//! apart: the example starts itself again. Answers are two bytes, so that what is
//! measured is the library and its threads.

use std::convert::Infallible;
use std::env;
use std::error::Error;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::runtime::Builder;
use ureq::Agent;

/// Callers of each round.
const CALLERS: [usize; 3] = [1, 16, 64];
/// Length of a round.
const ROUND: Duration = Duration::from_secs(2);
/// Threads of the server that blocks, as the daemon's default.
const THREADS: usize = 8;
/// Milliseconds of a clock tick in `/proc`.
const TICK_MS: u64 = 10;
/// Body of each answer.
const BODY: &[u8] = b"ok";

/// Result of a step; an error ends the example with a failure.
type Step<T = ()> = Result<T, Box<dyn Error>>;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let done = match args.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["serve", "tiny_http"] => serve_tiny(),
        ["serve", "hyper"] => serve_hyper(),
        ["call", name, address, callers] => call_as(name, address, callers),
        _ => measure(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("edges failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn measure() -> Step {
    println!("| library | callers | calls/s | p50 us | p99 us | core us/call | threads |");
    println!("|---|---|---|---|---|---|---|");
    for name in ["tiny_http", "hyper"] {
        for callers in CALLERS {
            let (mut child, address) = start(name)?;
            let before = cpu_ms(child.id())?;
            let took = load(address, callers)?;
            let cpu = cpu_ms(child.id())? - before;
            let threads = fs::read_dir(format!("/proc/{}/task", child.id()))?.count();
            row(&format!("server {name}"), callers, took, cpu, threads);
            child.kill()?;
            child.wait()?;
        }
    }
    for name in ["ureq", "hyper"] {
        for callers in CALLERS {
            let (mut child, address) = start("hyper")?;
            let program = env::current_exe()?;
            let (address, callers_text) = (address.to_string(), callers.to_string());
            let output =
                Command::new(program).args(["call", name, &address, &callers_text]).output()?;
            print!("{}", String::from_utf8_lossy(&output.stdout));
            child.kill()?;
            child.wait()?;
        }
    }
    Ok(())
}

fn row(name: &str, callers: usize, mut took: Vec<u64>, cpu_ms: u64, threads: usize) {
    took.sort_unstable();
    let calls = took.len().max(1);
    let at = |percent: usize| took.get(calls * percent / 100).copied().unwrap_or(0);
    let rate = calls as f64 / ROUND.as_secs_f64();
    let core_us = cpu_ms as f64 * 1_000.0 / calls as f64;
    println!(
        "| {name} | {callers} | {rate:.0} | {} | {} | {core_us:.0} | {threads} |",
        at(50),
        at(99)
    );
}

/// Starts a server; it prints its address as its first line.
fn start(name: &str) -> Step<(Child, SocketAddr)> {
    let program = env::current_exe()?;
    let mut child = Command::new(program).args(["serve", name]).stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    let output = child.stdout.take().ok_or("no output")?;
    BufReader::new(output).read_line(&mut line)?;
    Ok((child, line.trim().parse()?))
}

/// Returns the processor time of a process, in milliseconds.
fn cpu_ms(pid: u32) -> Step<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = stat.rsplit_once(") ").ok_or("no stat")?.1;
    let field = |at: usize| rest.split(' ').nth(at).and_then(|word| word.parse::<u64>().ok());
    Ok((field(11).unwrap_or(0) + field(12).unwrap_or(0)) * TICK_MS)
}

/// Calls in closed loops from so many threads; returns how long each call took.
fn load(address: SocketAddr, callers: usize) -> Step<Vec<u64>> {
    let end = Instant::now() + ROUND;
    let threads: Vec<_> = (0..callers).map(|_| thread::spawn(move || call(address, end))).collect();
    let mut took = Vec::new();
    for thread in threads {
        took.extend(thread.join().map_err(|_| "a caller failed")??);
    }
    Ok(took)
}

fn call(address: SocketAddr, end: Instant) -> std::io::Result<Vec<u64>> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut took = Vec::new();
    while Instant::now() < end {
        let begun = Instant::now();
        reader.get_mut().write_all(b"GET / HTTP/1.1\r\nHost: e1\r\n\r\n")?;
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        let mut body = [0; BODY.len()];
        reader.read_exact(&mut body)?;
        took.push(begun.elapsed().as_micros() as u64);
    }
    Ok(took)
}

fn serve_tiny() -> Step {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    let server = tiny_http::Server::from_listener(listener, None);
    let server = Arc::new(server.map_err(|e| e.to_string())?);
    let threads = (0..THREADS).map(|_| {
        let server = Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                // A caller that has gone needs no answer.
                let _ = request.respond(tiny_http::Response::from_data(BODY));
            }
        })
    });
    threads.collect::<Vec<_>>().into_iter().for_each(|thread| drop(thread.join()));
    Ok(())
}

fn serve_hyper() -> Step {
    Builder::new_current_thread().enable_all().build()?.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let service = service_fn(|_: Request<Incoming>| async {
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(BODY))))
            });
            let connection = server::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    })
}

/// Calls a server through a client library, and prints a row.
fn call_as(name: &str, address: &str, callers: &str) -> Step {
    let callers = callers.parse()?;
    let before = cpu_ms(std::process::id())?;
    let (took, threads) = match name {
        "ureq" => call_ureq(address, callers)?,
        _ => call_hyper(address, callers)?,
    };
    let cpu = cpu_ms(std::process::id())? - before;
    row(&format!("client {name}"), callers, took, cpu, threads);
    Ok(())
}

fn call_ureq(address: &str, callers: usize) -> Step<(Vec<u64>, usize)> {
    let end = Instant::now() + ROUND;
    let url = format!("http://{address}/");
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let url = url.clone();
            thread::spawn(move || -> Result<Vec<u64>, ureq::Error> {
                let agent = Agent::new_with_defaults();
                let mut took = Vec::new();
                while Instant::now() < end {
                    let begun = Instant::now();
                    agent.get(&url).call()?.body_mut().read_to_vec()?;
                    took.push(begun.elapsed().as_micros() as u64);
                }
                Ok(took)
            })
        })
        .collect();
    let mut took = Vec::new();
    for thread in threads {
        took.extend(thread.join().map_err(|_| "a caller failed")??);
    }
    Ok((took, callers))
}

fn call_hyper(address: &str, callers: usize) -> Step<(Vec<u64>, usize)> {
    let end = Instant::now() + ROUND;
    Builder::new_current_thread().enable_all().build()?.block_on(async {
        let tasks: Vec<_> =
            (0..callers).map(|_| tokio::spawn(hyper_loop(address.to_owned(), end))).collect();
        let mut took = Vec::new();
        for task in tasks {
            took.extend(task.await?.map_err(|e| e.to_string())?);
        }
        Ok((took, 1))
    })
}

async fn hyper_loop(
    address: String,
    end: Instant,
) -> Result<Vec<u64>, Box<dyn Error + Send + Sync>> {
    let stream = tokio::net::TcpStream::connect(&address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut took = Vec::new();
    while Instant::now() < end {
        let begun = Instant::now();
        let request = Request::get("/").header("Host", "e1").body(Full::<Bytes>::default())?;
        sender.send_request(request).await?.into_body().collect().await?;
        took.push(begun.elapsed().as_micros() as u64);
    }
    Ok(took)
}
