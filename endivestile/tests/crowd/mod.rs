//! A small machine for the process under test, and the requests that crowds and others send to it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Memory of the smallest machine of the users' sites, in MiB. The process gets it as the limit
/// of its data, and its peak must stay below it.
pub(crate) const MACHINE_MB: u64 = 120;
/// Descriptors that the process may open, of which [`RESERVED_FILES`] are reserved.
pub(crate) const MACHINE_FILES: usize = 456;
/// Descriptors that the platform reserves for files.
pub(crate) const RESERVED_FILES: usize = 200;
/// Timeout of an ordinary request; exceeded only if it is not served.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// Admits one test at a time: crowds must not share the machine with each other.
pub(crate) fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the shell command that starts its arguments on a small machine.
pub(crate) fn small_machine() -> String {
    let kib = MACHINE_MB * 1_024;
    format!("ulimit -n {MACHINE_FILES} && ulimit -d {kib} && exec \"$0\" \"$@\"")
}

/// Sends an ordinary request and returns its status, or 0 without an answer.
pub(crate) fn status(address: &str, request: &str) -> u16 {
    let answer = || {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.split(' ').nth(1)?.parse().ok()
    };
    answer().unwrap_or(0)
}

/// Returns the head of a submission that a crowd sends to the users' platform.
pub(crate) fn platform_head(framing: &str) -> String {
    format!(
        "POST /jobs/00000000000000bb HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 60000\r\n\
         Request-Id: r2\r\n{framing}\r\n\r\n"
    )
}

/// Returns the head of a submission that a crowd sends to the product's own interface.
pub(crate) fn own_head(path: &str, framing: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: e1\r\nTeam: m1\r\nIdempotent: true\r\n{framing}\r\n\r\n")
}

/// Returns the head of a request that a crowd sends to the product's own interface.
pub(crate) fn own_request(framing: &str) -> String {
    own_head("/v1/requests/orders", framing)
}
