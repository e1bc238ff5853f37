//! HTTP client for the callers' interface of entry hosts.

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
/// Header that asks the host to issue ids with its answer.
const WANT_IDS_HEADER: &str = "Want-Ids";
/// Size limit of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 256 << 20;
/// Time to wait for an answer after its deadline, in milliseconds; also the timeout of
/// status calls.
const ANSWER_GRACE_MS: u64 = 2_000;
/// Timeout for connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

/// State of a submission as an answer reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Class {
    /// All results are available.
    Complete,
    /// No result; tasks may have run.
    Failed,
    /// Cancelled; tasks may have run.
    Cancelled,
    /// Refused; no task ran.
    #[serde(rename = "not run")]
    NotRun,
    /// Whether tasks ran is unknown.
    Unknown,
    /// Still running.
    Running,
    /// The id belongs to another submission; nothing of this one ran.
    Conflict,
    /// The id is unknown.
    #[serde(rename = "not found")]
    NotFound,
    /// Rejected as invalid; nothing ran.
    Invalid,
}

impl Class {
    /// Returns the class of an answer.
    ///
    /// A body without a known class counts as unknown: reading it as a refusal
    /// could make a caller submit again elsewhere, and the work would run twice.
    fn from_answer(answer: Option<&AnswerBody>) -> Self {
        let class_name = answer.map(|answer| answer.status.as_str()).unwrap_or_default();
        serde_json::from_value(class_name.into()).unwrap_or(Self::Unknown)
    }

    /// Returns the name used in the interface.
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
    /// Request to a service.
    Request {
        /// Name of the service.
        service: String,
        /// Body of the request.
        body: Vec<u8>,
        /// Whether it may run more than once.
        idempotent: bool,
    },
    /// Job of one or more tasks.
    Job(JobBody),
}

/// Submission of a request or job.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    /// Team that the submission belongs to.
    pub(crate) team: &'a str,
    /// Submission id, if any.
    pub(crate) id: Option<&'a str>,
    /// Time until the deadline, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Number of ids that the host is asked to issue with its answer.
    pub(crate) ids: usize,
    /// What is submitted.
    pub(crate) payload: &'a Payload,
}

/// Answer of a host.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    pub(crate) status: u16,
    /// State of the submission.
    pub(crate) class: Class,
    /// Unchanged body.
    pub(crate) body: Vec<u8>,
    /// Issued ids.
    pub(crate) ids: Vec<String>,
}

/// Error of a call without a usable answer.
#[derive(Debug)]
pub(crate) struct CallError {
    /// Whether the call may have reached the host.
    pub(crate) sent: bool,
    /// Description of the error.
    pub(crate) reason: String,
}

/// Response body of `POST /v1/ids`.
#[derive(Debug, Deserialize)]
struct Ids {
    /// Issued ids.
    ids: Vec<String>,
}

/// Client for entry hosts. Each thread uses its own, and so its own connections.
#[derive(Debug)]
pub(crate) struct HostClient {
    /// Client of the HTTP library.
    agent: Agent,
}

impl HostClient {
    /// Creates a client without open connections.
    pub(crate) fn new() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)))
            .no_delay(true)
            .build();
        Self { agent: config.new_agent() }
    }

    /// Submits a request or job and waits for the answer.
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

    /// Asks a host to issue `count` ids.
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

    /// Reads the state or the metrics page of a host.
    pub(crate) fn status(&self, host: SocketAddr) -> Result<serde_json::Value, CallError> {
        let request = self.agent.get(format!("http://{host}/status")).config();
        let request = request.timeout_global(Some(Duration::from_millis(ANSWER_GRACE_MS))).build();
        let body = self.success_body(request.call().map_err(call_error)?)?;
        let page = serde_json::from_slice(&body);
        page.or_else(|error| parse_metrics(&body).ok_or_else(|| malformed(&error)))
    }

    /// Returns the body of a successful response, or an error with its status and body.
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

/// Parses a metrics page with one `name value` per line; `None` if it is not one.
fn parse_metrics(body: &[u8]) -> Option<serde_json::Value> {
    let text = std::str::from_utf8(body).ok().filter(|text| !text.is_empty())?;
    let metrics = text.lines().map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), serde_json::from_str(value).ok()?))
    });
    metrics.collect::<Option<serde_json::Map<_, _>>>().map(serde_json::Value::Object)
}

/// Reads a response. With `is_raw`, a body with status 200 is the result itself.
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
    CallError { sent: true, reason: format!("malformed answer: {error}") }
}

/// Converts an error of the library, and decides whether the call may have been sent.
///
/// If a call that may have arrived counted as not sent, a caller would submit
/// again under a new id, and the work would run twice.
fn call_error(error: Error) -> CallError {
    let not_sent = match &error {
        Error::Io(cause) => cause.kind() == ErrorKind::ConnectionRefused,
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        Error::ConnectionFailed | Error::HostNotFound | Error::BadUri(_) | Error::Http(_) => true,
        _ => false,
    };
    CallError { sent: !not_sent, reason: error.to_string() }
}
