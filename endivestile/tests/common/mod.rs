//! Runs the daemon as a process with stand-ins for store and backends, and calls it.
// Each test file uses only some of these items.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use endivestile_testkit::{BackendStandIn, MachineSpec, StoreStandIn};
use serde_json::Value;
use ureq::Agent;

/// Longest wait for a condition on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Waits until `condition` holds.
pub(crate) fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A store, one backend server `s1` of the service `orders`, and one daemon.
pub(crate) struct Rig {
    pub(crate) store: StoreStandIn,
    pub(crate) backends: BackendStandIn,
    pub(crate) daemon: Daemon,
}

impl Rig {
    /// Starts everything and waits until the daemon is ready.
    pub(crate) fn start(overrides: &[&str]) -> Self {
        Self::start_by(Command::new(env!("CARGO_BIN_EXE_endivestile")), overrides)
    }

    /// Does the same with a command that starts the daemon with the arguments added to it.
    pub(crate) fn start_by(command: Command, overrides: &[&str]) -> Self {
        let store = StoreStandIn::start().expect("store");
        let backends =
            BackendStandIn::start(vec![MachineSpec::new("s1")]).expect("backend servers");
        store.put("endivestile/config", config(1, &backends));
        let daemon = Daemon::start_by(command, &store, "e1", overrides);
        daemon.wait_ready();
        daemon.wait_homes();
        Self { store, backends, daemon }
    }
}

/// Returns a configuration with the given revision and the address of `s1`.
pub(crate) fn config(revision: u64, backends: &BackendStandIn) -> String {
    format!(
        "[configuration]\nrevision={revision}\n\
         [availability-zone a]\nregion=r\n\
         [host e1]\nzone=a\naddress=127.0.0.1:1\nweight=1\n\
         [backend-server s1]\nzone=a\nrack=1\naddress={}\nslots=8\nconnections=64\n\
         [worker w1]\nzone=a\nrack=1\naddress=127.0.0.1:2\ncpu-milli=4000\nmemory-mb=8000\naccelerators=1\n\
         [service orders]\nbackend-servers=s1\npath=/order\n\
         [team m1]\nlimit=1000\nweight=1\n",
        backends.address("s1")
    )
}

/// The daemon as a process, with its log so far.
pub(crate) struct Daemon {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    pub(crate) http: String,
    pub(crate) peers: String,
    agent: Agent,
}

impl Daemon {
    /// Starts the daemon on ephemeral ports, which it logs at the start.
    pub(crate) fn start(store: &StoreStandIn, host: &str, overrides: &[&str]) -> Self {
        let command = Command::new(env!("CARGO_BIN_EXE_endivestile"));
        Self::start_by(command, store, host, overrides)
    }

    /// Does the same with a command that starts the daemon with the arguments added to it.
    pub(crate) fn start_by(
        mut command: Command,
        store: &StoreStandIn,
        host: &str,
        overrides: &[&str],
    ) -> Self {
        let address = store.address();
        for setting in [
            format!("host.name={host}"),
            "host.zone=a".to_owned(),
            "host.http=127.0.0.1:0".to_owned(),
            "host.peers=127.0.0.1:0".to_owned(),
            format!("store.addresses={address}"),
            "store.backoff-ms=200".to_owned(),
            "store.timeout-ms=500".to_owned(),
        ] {
            command.args(["--set", &setting]);
        }
        for setting in overrides {
            command.args(["--set", setting]);
        }
        let mut child =
            command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("daemon");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (output, log) = (child.stdout.take().expect("stdout"), Arc::clone(&lines));
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.lock().expect("lines").push(line);
            }
        });
        let agent = Agent::config_builder().http_status_as_error(false).build().new_agent();
        let (http, peers) = (String::new(), String::new());
        let mut daemon = Self { child, lines, http, peers, agent };
        let line = daemon.wait_line("event=listening");
        daemon.http = log_value(&line, "http=");
        daemon.peers = log_value(&line, "peers=");
        daemon
    }

    /// Waits for a log line that contains `text`, and returns it.
    pub(crate) fn wait_line(&self, text: &str) -> String {
        let mut found = None;
        wait_for(text, || {
            found = self.lines().into_iter().find(|line| line.contains(text));
            found.is_some()
        });
        found.unwrap_or_default()
    }

    /// Returns the log so far.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("lines").clone()
    }

    /// Waits until the daemon accepts new work.
    pub(crate) fn wait_ready(&self) {
        wait_for("ready", || self.get("/ready").status == 200);
    }

    /// Waits until this host is the home of every shard of callers' own ids.
    pub(crate) fn wait_homes(&self) {
        wait_for("homes", || {
            let page: Value = serde_json::from_str(&self.get("/status").body).unwrap_or_default();
            let shards = page["shards"].as_array().cloned().unwrap_or_default();
            !shards.is_empty() && shards.iter().all(|shard| shard["role"] == "home")
        });
    }

    /// Calls with the method GET.
    pub(crate) fn get(&self, path: &str) -> HttpReply {
        HttpReply::new(self.agent.get(self.url(path)).call())
    }

    /// Calls with the method DELETE.
    pub(crate) fn delete(&self, path: &str) -> HttpReply {
        HttpReply::new(self.agent.delete(self.url(path)).call())
    }

    /// Calls with the method POST.
    pub(crate) fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> HttpReply {
        let mut call = self.agent.post(self.url(path));
        for (name, value) in headers {
            call = call.header(*name, *value);
        }
        HttpReply::new(call.send(body))
    }

    /// Submits a non-idempotent request to `orders` under a fresh id.
    pub(crate) fn submit_order(&self, key: &str, work: &str) -> HttpReply {
        let id = dated_id(key);
        self.post("/v1/requests/orders", &[("Team", "m1"), ("Idempotency-Key", &id)], work)
    }

    /// Sends bytes unchanged, and returns the reply up to the end of its head or of the
    /// connection.
    pub(crate) fn send_raw(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(&self.http).expect("connect");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("timeout");
        stream.write_all(bytes).expect("write");
        let mut head = Vec::new();
        let mut buffer = [0; 4096];
        while !head.windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(len) => head.extend_from_slice(&buffer[..len]),
            }
        }
        String::from_utf8_lossy(&head).into_owned()
    }

    /// Returns the process id.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status().expect("kill");
        assert!(status.success());
    }

    /// Waits until the process has exited, and returns its exit code.
    pub(crate) fn wait_exit(&mut self) -> Option<i32> {
        let mut code = None;
        wait_for("the daemon to exit", || {
            code = self.child.try_wait().expect("wait").map(|status| status.code());
            code.is_some()
        });
        code.flatten()
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.http)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("log of the daemon:\n{}", self.lines().join("\n"));
        }
    }
}

/// Reply to a caller.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct HttpReply {
    /// HTTP status, or 0 if the connection ended without a reply.
    pub(crate) status: u16,
    /// Header `Retry-After`.
    pub(crate) retry: Option<String>,
    /// Header `Minted-Ids`.
    pub(crate) minted: Vec<String>,
    /// Body.
    pub(crate) body: String,
}

impl HttpReply {
    fn new(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Self {
        let Ok(mut response) = result else {
            return Self { status: 0, retry: None, minted: Vec::new(), body: String::new() };
        };
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let (retry, minted) = (header("Retry-After"), header("Minted-Ids").unwrap_or_default());
        let minted = minted.split(',').filter(|id| !id.is_empty()).map(str::to_owned).collect();
        let body = response.body_mut().read_to_string().unwrap_or_default();
        Self { status: response.status().as_u16(), retry, minted, body }
    }

    /// Returns a field of the JSON body.
    pub(crate) fn field(&self, name: &str) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body[name].clone()
    }
}

/// Returns an id with the current time as its date.
pub(crate) fn dated_id(key: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
    format!("{}:{key}", now.as_secs())
}

fn log_value(line: &str, key: &str) -> String {
    line.split(' ').find_map(|pair| pair.strip_prefix(key)).expect("pair").to_owned()
}
