//! Compares HTTP libraries under the same load: `tiny_http` and `hyper` as servers,
//! `ureq` and `hyper` as clients. Prints a table and asserts nothing.
//!
//! Servers and clients under test run in separate processes, so that their processor
//! time can be measured: the example starts itself again. Responses have two bytes, so
//! that the measured cost is that of the library and its threads.

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

/// Numbers of concurrent callers, one round each.
const CALLERS: [usize; 3] = [1, 16, 64];
/// Length of a round.
const ROUND: Duration = Duration::from_secs(2);
/// Threads of the blocking server, the daemon's default.
const SERVER_THREADS: usize = 8;
/// Length of a clock tick in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;
/// Body of each response.
const BODY: &[u8] = b"ok";

/// Result of a step; an error makes the example exit with failure.
type StepResult<T = ()> = Result<T, Box<dyn Error>>;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let result = match args.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["serve", "tiny_http"] => serve_tiny(),
        ["serve", "hyper"] => serve_hyper(),
        ["call", name, address, callers] => measure_client(name, address, callers),
        _ => measure_all(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("edges failed: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Prints one row for each library and number of callers.
fn measure_all() -> StepResult {
    println!("| library | callers | calls/s | p50 us | p99 us | core us/call | threads |");
    println!("|---|---|---|---|---|---|---|");
    for name in ["tiny_http", "hyper"] {
        for callers in CALLERS {
            let (mut child, address) = start_server(name)?;
            let before_ms = cpu_ms(child.id())?;
            let times_us = run_callers(address, callers)?;
            let used_ms = cpu_ms(child.id())? - before_ms;
            let threads = fs::read_dir(format!("/proc/{}/task", child.id()))?.count();
            print_row(&format!("server {name}"), callers, times_us, used_ms, threads);
            child.kill()?;
            child.wait()?;
        }
    }
    for name in ["ureq", "hyper"] {
        for callers in CALLERS {
            let (mut child, address) = start_server("hyper")?;
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

fn print_row(name: &str, callers: usize, mut times_us: Vec<u64>, cpu_ms: u64, threads: usize) {
    times_us.sort_unstable();
    let calls = times_us.len().max(1);
    let percentile_us = |percent: usize| times_us.get(calls * percent / 100).copied().unwrap_or(0);
    let rate = calls as f64 / ROUND.as_secs_f64();
    let core_us = cpu_ms as f64 * 1_000.0 / calls as f64;
    println!(
        "| {name} | {callers} | {rate:.0} | {} | {} | {core_us:.0} | {threads} |",
        percentile_us(50),
        percentile_us(99)
    );
}

/// Starts a server process and reads its address from its first line of output.
fn start_server(name: &str) -> StepResult<(Child, SocketAddr)> {
    let program = env::current_exe()?;
    let mut child = Command::new(program).args(["serve", name]).stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    let output = child.stdout.take().ok_or("the server has no output pipe")?;
    BufReader::new(output).read_line(&mut line)?;
    Ok((child, line.trim().parse()?))
}

/// Returns the processor time that a process has used, in milliseconds.
fn cpu_ms(pid: u32) -> StepResult<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit_once(") ").ok_or("unexpected format of the stat file")?.1;
    let ticks = |at: usize| fields.split(' ').nth(at).and_then(|text| text.parse::<u64>().ok());
    Ok((ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)) * TICK_MS)
}

/// Runs that many callers, a thread each, in closed loops; returns the time of each call in
/// microseconds.
fn run_callers(address: SocketAddr, callers: usize) -> StepResult<Vec<u64>> {
    let end = Instant::now() + ROUND;
    let threads: Vec<_> =
        (0..callers).map(|_| thread::spawn(move || call_in_loop(address, end))).collect();
    let mut times_us = Vec::new();
    for thread in threads {
        times_us.extend(thread.join().map_err(|_| "a caller panicked")??);
    }
    Ok(times_us)
}

/// Sends requests on one connection until `end`, without a client library.
fn call_in_loop(address: SocketAddr, end: Instant) -> std::io::Result<Vec<u64>> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut times_us = Vec::new();
    while Instant::now() < end {
        let started = Instant::now();
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
        times_us.push(started.elapsed().as_micros() as u64);
    }
    Ok(times_us)
}

fn serve_tiny() -> StepResult {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    let server = tiny_http::Server::from_listener(listener, None);
    let server = Arc::new(server.map_err(|e| e.to_string())?);
    let threads = (0..SERVER_THREADS).map(|_| {
        let server = Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                // Fails only when the caller has disconnected.
                let _ = request.respond(tiny_http::Response::from_data(BODY));
            }
        })
    });
    threads.collect::<Vec<_>>().into_iter().for_each(|thread| drop(thread.join()));
    Ok(())
}

fn serve_hyper() -> StepResult {
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

/// Calls a server through a client library and prints a row.
fn measure_client(name: &str, address: &str, callers: &str) -> StepResult {
    let callers = callers.parse()?;
    let before_ms = cpu_ms(std::process::id())?;
    let (times_us, threads) = match name {
        "ureq" => call_ureq(address, callers)?,
        _ => call_hyper(address, callers)?,
    };
    let used_ms = cpu_ms(std::process::id())? - before_ms;
    print_row(&format!("client {name}"), callers, times_us, used_ms, threads);
    Ok(())
}

/// Calls through `ureq`; returns the times in microseconds and the number of threads.
fn call_ureq(address: &str, callers: usize) -> StepResult<(Vec<u64>, usize)> {
    let end = Instant::now() + ROUND;
    let url = format!("http://{address}/");
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let url = url.clone();
            thread::spawn(move || -> Result<Vec<u64>, ureq::Error> {
                let agent = Agent::new_with_defaults();
                let mut times_us = Vec::new();
                while Instant::now() < end {
                    let started = Instant::now();
                    agent.get(&url).call()?.body_mut().read_to_vec()?;
                    times_us.push(started.elapsed().as_micros() as u64);
                }
                Ok(times_us)
            })
        })
        .collect();
    let mut times_us = Vec::new();
    for thread in threads {
        times_us.extend(thread.join().map_err(|_| "a caller panicked")??);
    }
    Ok((times_us, callers))
}

/// Calls through `hyper`; returns the times in microseconds and the number of threads.
fn call_hyper(address: &str, callers: usize) -> StepResult<(Vec<u64>, usize)> {
    let end = Instant::now() + ROUND;
    Builder::new_current_thread().enable_all().build()?.block_on(async {
        let tasks: Vec<_> =
            (0..callers).map(|_| tokio::spawn(hyper_call_loop(address.to_owned(), end))).collect();
        let mut times_us = Vec::new();
        for task in tasks {
            times_us.extend(task.await?.map_err(|e| e.to_string())?);
        }
        Ok((times_us, 1))
    })
}

async fn hyper_call_loop(
    address: String,
    end: Instant,
) -> Result<Vec<u64>, Box<dyn Error + Send + Sync>> {
    let stream = tokio::net::TcpStream::connect(&address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut times_us = Vec::new();
    while Instant::now() < end {
        let started = Instant::now();
        let request = Request::get("/").header("Host", "e1").body(Full::<Bytes>::default())?;
        sender.send_request(request).await?.into_body().collect().await?;
        times_us.push(started.elapsed().as_micros() as u64);
    }
    Ok(times_us)
}
