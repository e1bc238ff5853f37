//! Calls to entry hosts.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use endivestile_wire::call::{AnswerBody, DEADLINE_HEADER, ID_HEADER, TEAM_HEADER};
use endivestile_wire::call::{JobBody, MINTED_HEADER};
use serde::{Deserialize, Serialize};
use ureq::http::Response;
use ureq::{Agent, Body, Error, Timeout};

/// Header that marks a request as idempotent.
const IDEMPOTENT_HEADER: &str = "Idempotent";
/// Header that asks for fresh ids with the answer.
const WANT_IDS_HEADER: &str = "Want-Ids";
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 256 << 20;
/// Time that an answer may come after its deadline, in milliseconds.
const ANSWER_GRACE_MS: u64 = 2_000;
/// Time for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

/// What an answer says of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Class {
    /// All results are there.
    Complete,
    /// No result; tasks may have run.
    Failed,
    /// Cancelled; tasks may have run.
    Cancelled,
    /// Refused; no task ran.
    #[serde(rename = "not run")]
    NotRun,
    /// Nobody in reach can tell whether tasks ran.
    Unknown,
    /// Still running.
    Running,
    /// The id belongs to another submission; nothing of this one ran.
    Conflict,
    /// Nothing is known of the id.
    #[serde(rename = "not found")]
    NotFound,
    /// Not accepted as it stands; nothing ran.
    Invalid,
}

impl Class {
    /// Reads the class of an answer. A body that says nothing of a known class
    /// counts as unknown: to take it for a refusal could make a caller start
    /// its submission again elsewhere.
    fn from_answer(answer: Option<&AnswerBody>) -> Self {
        let class_name = answer.map(|answer| answer.status.as_str()).unwrap_or_default();
        serde_json::from_value(class_name.into()).unwrap_or(Self::Unknown)
    }

    /// Returns the word of the interface.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
            Self::Running => "running",
            Self::Conflict => "conflict",
            Self::NotFound => "not found",
            Self::Invalid => "invalid",
        }
    }
}

/// What is submitted.
#[derive(Debug, Clone)]
pub(crate) enum Payload {
    /// A request to a service, with its body.
    Request {
        /// The service.
        service: String,
        /// The body.
        body: Vec<u8>,
        /// Whether it may run more than once.
        idempotent: bool,
    },
    /// A job.
    Job(JobBody),
}

/// A submission on its way.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    /// Team on whose behalf it runs.
    pub(crate) team: &'a str,
    /// Id, if any.
    pub(crate) id: Option<&'a str>,
    /// Time until the deadline, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Fresh ids wanted with the answer.
    pub(crate) ids: usize,
    /// What is submitted.
    pub(crate) payload: &'a Payload,
}

/// What came back.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    pub(crate) status: u16,
    /// What it says of the submission.
    pub(crate) class: Class,
    /// Body as it came.
    pub(crate) body: Vec<u8>,
    /// Fresh ids.
    pub(crate) ids: Vec<String>,
}

/// Why nothing came back.
#[derive(Debug)]
pub(crate) struct CallError {
    /// Whether the call may have arrived.
    pub(crate) sent: bool,
    /// What went wrong.
    pub(crate) reason: String,
}

/// Fresh ids in the body of `POST /v1/ids`.
#[derive(Debug, Deserialize)]
struct Ids {
    /// The ids.
    ids: Vec<String>,
}

/// Client of entry hosts. Each thread has its own, for the connections.
#[derive(Debug)]
pub(crate) struct HostClient {
    /// The library's client.
    agent: Agent,
}

impl HostClient {
    /// Makes a client without open connections.
    pub(crate) fn new() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)))
            .no_delay(true)
            .build();
        Self { agent: config.new_agent() }
    }

    /// Submits and waits for the answer.
    pub(crate) fn submit(&self, host: SocketAddr, call: &Call<'_>) -> Result<Reply, CallError> {
        let (path, body) = match call.payload {
            Payload::Request { service, body, .. } => {
                (format!("/v1/requests/{service}"), body.clone())
            }
            Payload::Job(job) => ("/v1/jobs".to_owned(), encode(job)?),
        };
        let mut request = self
            .agent
            .post(format!("http://{host}{path}"))
            .config()
            .timeout_global(Some(Duration::from_millis(call.deadline_ms + ANSWER_GRACE_MS)))
            .build()
            .header(TEAM_HEADER, call.team)
            .header(DEADLINE_HEADER, call.deadline_ms.to_string());
        if let Some(id) = call.id {
            request = request.header(ID_HEADER, id);
        }
        if call.ids > 0 {
            request = request.header(WANT_IDS_HEADER, call.ids.to_string());
        }
        if let Payload::Request { idempotent: true, .. } = call.payload {
            request = request.header(IDEMPOTENT_HEADER, "true");
        }
        let response = request.send(&body[..]).map_err(call_error)?;
        parse_reply(response, matches!(call.payload, Payload::Request { .. }))
    }

    /// Asks for fresh ids.
    pub(crate) fn issue_ids(
        &self,
        host: SocketAddr,
        count: usize,
    ) -> Result<Vec<String>, CallError> {
        let url = format!("http://{host}/v1/ids?count={count}");
        let body = self.success_body(self.agent.post(url).send_empty().map_err(call_error)?)?;
        let ids: Ids = serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
        Ok(ids.ids)
    }

    /// Reads the state of a host, or its page of counts.
    pub(crate) fn status(&self, host: SocketAddr) -> Result<serde_json::Value, CallError> {
        let request = self.agent.get(format!("http://{host}/status")).config();
        let request = request.timeout_global(Some(Duration::from_millis(ANSWER_GRACE_MS))).build();
        let body = self.success_body(request.call().map_err(call_error)?)?;
        let page = serde_json::from_slice(&body);
        page.or_else(|error| parse_metrics(&body).ok_or_else(|| malformed(&error)))
    }

    fn success_body(&self, response: Response<Body>) -> Result<Vec<u8>, CallError> {
        let status = response.status();
        let body = read_body(response)?;
        if status.is_success() {
            return Ok(body);
        }
        let reason = format!("status {status}: {}", String::from_utf8_lossy(&body));
        Err(CallError { sent: true, reason })
    }
}

/// Reads a page of counts, one `name value` a line; none if it is no such page.
fn parse_metrics(body: &[u8]) -> Option<serde_json::Value> {
    let text = std::str::from_utf8(body).ok().filter(|text| !text.is_empty())?;
    let metrics = text.lines().map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), serde_json::from_str(value).ok()?))
    });
    metrics.collect::<Option<serde_json::Map<_, _>>>().map(serde_json::Value::Object)
}

fn parse_reply(response: Response<Body>, is_raw: bool) -> Result<Reply, CallError> {
    let status = response.status().as_u16();
    let header = response.headers().get(MINTED_HEADER).and_then(|value| value.to_str().ok());
    let ids = header.map(|ids| ids.split(',').map(|id| id.trim().to_owned()).collect());
    let body = read_body(response)?;
    let class = if is_raw && status == 200 {
        Class::Complete
    } else {
        Class::from_answer(serde_json::from_slice(&body).ok().as_ref())
    };
    Ok(Reply { status, class, body, ids: ids.unwrap_or_default() })
}

fn read_body(response: Response<Body>) -> Result<Vec<u8>, CallError> {
    let body = response.into_body();
    body.into_with_config().limit(MAX_ANSWER_BYTES).read_to_vec().map_err(call_error)
}

fn encode(job: &JobBody) -> Result<Vec<u8>, CallError> {
    let fail = |error: serde_json::Error| CallError { sent: false, reason: error.to_string() };
    serde_json::to_vec(job).map_err(fail)
}

fn malformed(error: &serde_json::Error) -> CallError {
    CallError { sent: true, reason: format!("garbled answer: {error}") }
}

/// Tells calls that never left from calls that may have arrived. To take the
/// second for the first would make a caller submit again under a new id, and
/// the work would be done twice.
fn call_error(error: Error) -> CallError {
    let not_sent = match &error {
        Error::Io(cause) => cause.kind() == ErrorKind::ConnectionRefused,
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        Error::ConnectionFailed | Error::HostNotFound | Error::BadUri(_) | Error::Http(_) => true,
        _ => false,
    };
    CallError { sent: !not_sent, reason: error.to_string() }
}
