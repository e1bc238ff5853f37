//! Runs entry hosts as processes on a stand-in for the users' platform, and calls them.

#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "each test file uses a part; a test fails by panic"
)]

use std::ffi::OsString;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::{DaemonCommand, PlatformHost, PlatformStandIn};
use serde_json::{Value, json};

/// Longest wait for a condition; exceeded only if something is broken.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A running entry host with the addresses of its callers' socket and metrics page.
pub(crate) struct Host {
    pub(crate) process: PlatformHost,
    pub(crate) http: String,
    pub(crate) page: String,
}

impl Host {
    pub(crate) fn start(platform: &PlatformStandIn, name: &str, zone: &str) -> Self {
        Self::start_with(platform, name, zone, &[])
    }

    /// Starts a host with additional command-line arguments.
    pub(crate) fn start_with(
        platform: &PlatformStandIn,
        name: &str,
        zone: &str,
        args: &[OsString],
    ) -> Self {
        Self::start_configured(platform, name, zone, args, &[])
    }

    /// Starts a host with additional command-line arguments and settings.
    pub(crate) fn start_configured(
        platform: &PlatformStandIn,
        name: &str,
        zone: &str,
        args: &[OsString],
        settings: &[String],
    ) -> Self {
        let program = env!("CARGO_BIN_EXE_endivestile").into();
        let daemon = DaemonCommand { program, args: args.to_vec() };
        let process =
            PlatformHost::start(&daemon, platform.store_address(), name, zone, settings).unwrap();
        wait_until("the host listens", || process.http_address().is_some());
        let (http, page) = (process.http_address().unwrap(), process.metrics_address().unwrap());
        Self { process, http: http.to_string(), page: page.to_string() }
    }

    /// Makes a call. Returns its status and body.
    pub(crate) fn call(&self, method: &str, path: &str, body: &str) -> (u16, Value) {
        call(&self.http, method, path, body)
    }

    pub(crate) fn logged(&self, text: &str) -> usize {
        self.process.count_lines(text)
    }
}

pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Opens a connection and sends a request.
pub(crate) fn send(address: &str, method: &str, path: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 5000\r\n\
         Request-Id: r1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// Makes a call. Returns its status and body.
pub(crate) fn call(address: &str, method: &str, path: &str, body: &str) -> (u16, Value) {
    let mut stream = send(address, method, path, body);
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, serde_json::from_str(body).unwrap_or(Value::Null))
}

/// Returns a job of `tasks` tasks that each take `ms` milliseconds. Its estimate is at
/// most half a second, since a job that cannot end in time is refused.
pub(crate) fn job(tasks: u32, ms: u32) -> String {
    let estimate = ms.min(500);
    let step =
        json!({"Count": tasks, "Cpu": 14_000, "MemoryRequestMb": 64, "EstimatedMs": estimate});
    json!({"Spec": ms.to_string(), "Steps": [step], "BestEffort": true}).to_string()
}

/// Waits until a host completes jobs.
pub(crate) fn wait_until_serving(host: &Host) {
    wait_until("a job is served", || {
        host.call("POST", "/jobs/00000000000000aa", &job(1, 1)).0 == 200
    });
}

pub(crate) fn start_platform() -> PlatformStandIn {
    let platform = PlatformStandIn::start(&["a"], 2);
    platform.configure(1);
    platform
}
