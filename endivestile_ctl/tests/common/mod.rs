//! Helpers that run the tool as a process.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

pub(crate) mod host;

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use endivestile_testkit::StoreStandIn;

pub(crate) const CONFIG: &str = "\
[availability-zone east]
[host a]
zone = east
address = 127.0.0.1:8081
[backend-server s1]
zone = east
address = 127.0.0.1:9001
slots = 8
[service orders]
backend-servers = s*
path = /orders
[team walvis]
limit = 100
";

/// Exit code and output of a run.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs the tool with `input` as its standard input.
pub(crate) fn tool(args: &[&str], input: &str) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_endivectl"))
        .args(args)
        .env_remove("ENDIVESTILE_STORE")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that reads no input may already have closed the pipe.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the tool with the address of a store.
pub(crate) fn with_store(store: &StoreStandIn, args: &[&str], input: &str) -> Run {
    let address = store.address().to_string();
    let common = ["--store", &address];
    tool(&[&common[..], args].concat(), input)
}

/// Applies a configuration based on revision `base`, as operator `who`.
pub(crate) fn apply(store: &StoreStandIn, text: &str, base: u64, who: &str) -> Run {
    with_store(store, &["apply", "-", "--base", &base.to_string(), "--who", who], text)
}

/// Writes a file to the directory for test files and returns its path.
pub(crate) fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}
