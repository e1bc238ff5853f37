//! Stand-in for the callers' interface of an entry host.

use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use tiny_http::{Header, Response, Server};

const STATUS: &str = r#"{"peer":"a#1","hosts":{"a":{"state":"live","backlog":2},
    "b":{"state":"suspect","backlog":3}},"shards":[{"role":"Home","ids":4},{"role":"Home","ids":1}],
    "counters":{"forwards":3}}"#;

/// A submission as received.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReceivedCall {
    pub(crate) path: String,
    pub(crate) id: Option<String>,
    pub(crate) idempotent: bool,
}

/// An entry host that gives the same answer to every submission.
pub(crate) struct FakeHost {
    server: Arc<Server>,
    received: Arc<Mutex<Vec<ReceivedCall>>>,
    threads: Vec<JoinHandle<()>>,
}

impl FakeHost {
    /// Starts a host that answers submissions with `status` and `body`.
    pub(crate) fn start(status: u16, body: &'static str) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..4)
            .map(|_| {
                let (server, received) = (Arc::clone(&server), Arc::clone(&received));
                thread::spawn(move || serve(&server, &received, status, body))
            })
            .collect();
        Self { server, received, threads }
    }

    /// Returns the host's address.
    pub(crate) fn address(&self) -> String {
        self.server.server_addr().to_string()
    }

    /// Returns the submissions received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedCall> {
        self.received.lock().unwrap().clone()
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

fn serve(server: &Server, received: &Mutex<Vec<ReceivedCall>>, status: u16, body: &str) {
    while let Ok(request) = server.recv() {
        let header = |name: &'static str| {
            let matching = request.headers().iter().find(|h| h.field.equiv(name));
            matching.map(|h| h.value.to_string())
        };
        let path = request.url().to_owned();
        let idempotent = header("Idempotent").as_deref() == Some("true");
        let call = ReceivedCall { path, id: header("Idempotency-Key"), idempotent };
        let response = if call.path.starts_with("/v1/ids") {
            Response::from_string(r#"{"ids":["m:a:1:1","m:a:1:2"]}"#)
        } else if call.path == "/status" {
            Response::from_string(STATUS)
        } else {
            received.lock().unwrap().push(call);
            let issued_ids = Header::from_bytes("Minted-Ids", "m:a:1:9").unwrap();
            Response::from_string(body).with_status_code(status).with_header(issued_ids)
        };
        // A caller that disconnected shows the error in its own result.
        let _ = request.respond(response);
    }
}
