//! Stand-in for an entry host's callers' interface.

use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use tiny_http::{Header, Response, Server};

const STATUS: &str = r#"{"peer":"a#1","hosts":{"a":{"state":"live","backlog":2},
    "b":{"state":"suspect","backlog":3}},"shards":[{"role":"Home","ids":4},{"role":"Home","ids":1}],
    "counters":{"forwards":3}}"#;

/// What a call carried.
#[derive(Debug, Clone, Default)]
pub(crate) struct Seen {
    pub(crate) path: String,
    pub(crate) id: Option<String>,
    pub(crate) idempotent: bool,
}

/// An entry host that gives one answer to every submission.
pub(crate) struct FakeHost {
    server: Arc<Server>,
    seen: Arc<Mutex<Vec<Seen>>>,
    threads: Vec<JoinHandle<()>>,
}

impl FakeHost {
    /// Starts a host that answers submissions with a status and a body.
    pub(crate) fn start(status: u16, body: &'static str) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let seen = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..4)
            .map(|_| {
                let (server, seen) = (Arc::clone(&server), Arc::clone(&seen));
                thread::spawn(move || serve(&server, &seen, status, body))
            })
            .collect();
        Self { server, seen, threads }
    }

    /// Returns its address.
    pub(crate) fn address(&self) -> String {
        self.server.server_addr().to_string()
    }

    /// Returns the submissions that came.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

impl Drop for FakeHost {
    fn drop(&mut self) {
        for _ in &self.threads {
            self.server.unblock();
        }
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}

fn serve(server: &Server, seen: &Mutex<Vec<Seen>>, status: u16, body: &str) {
    while let Ok(request) = server.recv() {
        let header = |name: &'static str| {
            let found = request.headers().iter().find(|h| h.field.equiv(name));
            found.map(|h| h.value.to_string())
        };
        let path = request.url().to_owned();
        let idempotent = header("Idempotent").as_deref() == Some("true");
        let call = Seen { path, id: header("Idempotency-Key"), idempotent };
        let response = if call.path.starts_with("/v1/ids") {
            Response::from_string(r#"{"ids":["m:a:1:1","m:a:1:2"]}"#)
        } else if call.path == "/status" {
            Response::from_string(STATUS)
        } else {
            seen.lock().unwrap().push(call);
            let fresh = Header::from_bytes("Minted-Ids", "m:a:1:9").unwrap();
            Response::from_string(body).with_status_code(status).with_header(fresh)
        };
        // A caller that went away shows in its own result.
        let _ = request.respond(response);
    }
}
