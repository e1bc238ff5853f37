//! `submit`: submits one request or job.

use std::net::SocketAddr;

use endivestile_wire::call::JobBody;
use serde::Serialize;
use serde_json::Value;

use crate::cli::SubmitArgs;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::http::{Call, CallError, Class, HostClient, Payload, Reply};
use crate::{files, out};

/// Size limit of a submitted body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// An answer as written with `--json`.
#[derive(Debug, Serialize)]
struct JsonReply {
    /// State of the submission.
    class: Class,
    /// HTTP status; 0 if there was no answer.
    status: u16,
    /// Submission id, if any.
    id: Option<String>,
    /// Body, as JSON if it parses as such, else as text.
    body: Value,
}

/// Submits a request or job and shows the answer.
pub(crate) fn run(context: &Context, args: &SubmitArgs) -> Result<Exit, CtlError> {
    let payload = read_payload(args)?;
    let http = HostClient::new();
    let needs_id = !matches!(payload, Payload::Request { idempotent: true, .. });
    let id = match &args.id {
        None if needs_id => Some(issue_id(&http, &args.hosts)?),
        given => given.clone(),
    };
    if let (Some(id), false) = (&id, context.json) {
        out::print_error(&format!("id={id}"));
    }
    let call = Call {
        team: &args.team,
        id: id.as_deref(),
        deadline_ms: args.deadline_ms,
        ids: 0,
        payload: &payload,
    };
    let answer = submit(&http, &args.hosts, &call);
    Ok(report(context, id.clone(), answer))
}

/// Submits to one host after another until one answers.
///
/// A host may crash after it accepted the submission. Under the same id another
/// host attaches the caller to what is already running, or answers that the state
/// is unknown; nothing starts twice.
fn submit(http: &HostClient, hosts: &[SocketAddr], call: &Call<'_>) -> Result<Reply, CallError> {
    let mut sent = false;
    let mut reason = String::new();
    for host in hosts {
        match http.submit(*host, call) {
            Ok(reply) if sent => return Ok(downgrade_not_run(reply)),
            Ok(reply) => return Ok(reply),
            Err(call_error) => {
                out::print_error(&format!("step=submit peer={host}: {}", call_error.reason));
                sent |= call_error.sent;
                reason = call_error.reason;
            }
        }
    }
    Err(CallError { sent, reason })
}

/// Changes an answer that nothing ran to unknown.
///
/// Used after an earlier host was sent the submission and did not answer: a
/// paused host may start it when it resumes. A caller that reads "not run"
/// could submit the work elsewhere, and it would run twice.
fn downgrade_not_run(reply: Reply) -> Reply {
    if reply.class != Class::NotRun {
        return reply;
    }
    out::print_error(
        "the answer is \"not run\", but an earlier host did not answer and may still run it",
    );
    Reply { class: Class::Unknown, ..reply }
}

fn read_payload(args: &SubmitArgs) -> Result<Payload, CtlError> {
    let body = files::read(&args.file, MAX_BODY_BYTES)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(CtlError::Usage(format!("the body is larger than {MAX_BODY_BYTES} bytes")));
    }
    if let Some(service) = &args.service {
        let (service, idempotent) = (service.clone(), args.idempotent);
        return Ok(Payload::Request { service, body, idempotent });
    }
    let job: JobBody = serde_json::from_slice(&body)
        .map_err(|error| CtlError::Usage(format!("{}: not a job: {error}", args.file)))?;
    Ok(Payload::Job(job))
}

fn issue_id(http: &HostClient, hosts: &[SocketAddr]) -> Result<String, CtlError> {
    let mut last = CtlError::Usage("no host is given".to_owned());
    for host in hosts {
        let unreachable =
            |reason| CtlError::Unreachable { step: "mint", peer: host.to_string(), reason };
        match http.issue_ids(*host, 1) {
            Ok(ids) => match ids.into_iter().next() {
                Some(id) => return Ok(id),
                None => last = unreachable("the host issued no id".to_owned()),
            },
            Err(call_error) => last = unreachable(call_error.reason),
        }
    }
    Err(last)
}

fn report(context: &Context, id: Option<String>, answer: Result<Reply, CallError>) -> Exit {
    let (class, exit, status, body) = match answer {
        Ok(reply) => (reply.class, Exit::from(reply.class), reply.status, reply.body),
        Err(call_error) => {
            let exit = if call_error.sent { Exit::Unknown } else { Exit::Unreachable };
            let class = if call_error.sent { Class::Unknown } else { Class::NotRun };
            (class, exit, 0, Vec::new())
        }
    };
    if context.json {
        let text = || String::from_utf8_lossy(&body).into_owned().into();
        let body = serde_json::from_slice(&body).unwrap_or_else(|_| text());
        out::print_json(&JsonReply { class, status, id, body });
        return exit;
    }
    out::print_bytes(&body);
    if class != Class::Complete {
        out::print_error(&format!("\nclass={:?}", class.label()));
    }
    exit
}
