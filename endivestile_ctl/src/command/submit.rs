//! `submit`: one request or job.

use endivestile_wire::call::JobBody;
use serde::Serialize;
use serde_json::Value;

use crate::cli::SubmitArgs;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::http::{Call, Class, Http, Reply, Silence, Work};
use crate::{files, out};

/// Largest body that is sent, in bytes.
const MAX_BODY: usize = 64 << 20;

/// An answer with `--json`.
#[derive(Debug, Serialize)]
struct Answered {
    /// What it says of the submission.
    class: Class,
    /// HTTP status; 0 when no answer came.
    status: u16,
    /// Submission id, if it had one.
    id: Option<String>,
    /// Body: JSON where it is that, else text.
    body: Value,
}

/// Submits and shows the answer.
pub(crate) fn run(context: &Context, args: &SubmitArgs) -> Result<Exit, CtlError> {
    let work = work(args)?;
    let http = Http::new();
    let needs_id = !matches!(work, Work::Request { idempotent: true, .. });
    let id = match &args.id {
        None if needs_id => Some(mint(&http, args)?),
        given => given.clone(),
    };
    if let (Some(id), false) = (&id, context.json) {
        out::complain(&format!("id={id}"));
    }
    let call = Call {
        member: &args.member,
        id: id.as_deref(),
        deadline_ms: args.deadline_ms,
        ids: 0,
        work: &work,
    };
    let answer = http.submit(args.host, &call);
    Ok(report(context, args, id.clone(), answer))
}

fn work(args: &SubmitArgs) -> Result<Work, CtlError> {
    let body = files::read(&args.file, MAX_BODY)?;
    if body.len() > MAX_BODY {
        return Err(CtlError::Usage(format!("the body is over {MAX_BODY} bytes")));
    }
    if let Some(service) = &args.service {
        let (service, idempotent) = (service.clone(), args.idempotent);
        return Ok(Work::Request { service, body, idempotent });
    }
    let job: JobBody = serde_json::from_slice(&body)
        .map_err(|error| CtlError::Usage(format!("{}: not a job: {error}", args.file)))?;
    Ok(Work::Job(job))
}

fn mint(http: &Http, args: &SubmitArgs) -> Result<String, CtlError> {
    let away = |reason| CtlError::Away { step: "mint", peer: args.host.to_string(), reason };
    let ids = http.mint(args.host, 1).map_err(|silence| away(silence.reason))?;
    ids.into_iter().next().ok_or_else(|| away("no id came back".to_owned()))
}

fn report(
    context: &Context,
    args: &SubmitArgs,
    id: Option<String>,
    answer: Result<Reply, Silence>,
) -> Exit {
    let (class, exit, status, body) = match answer {
        Ok(reply) => (reply.class, Exit::from(reply.class), reply.status, reply.body),
        Err(silence) => {
            out::complain(&format!("step=submit peer={}: {}", args.host, silence.reason));
            let exit = if silence.sent { Exit::Unknown } else { Exit::Away };
            let class = if silence.sent { Class::Unknown } else { Class::NotRun };
            (class, exit, 0, Vec::new())
        }
    };
    if context.json {
        let text = || String::from_utf8_lossy(&body).into_owned().into();
        let body = serde_json::from_slice(&body).unwrap_or_else(|_| text());
        out::json(&Answered { class, status, id, body });
        return exit;
    }
    out::raw(&body);
    if class != Class::Complete {
        out::complain(&format!("\nclass={:?}", class.word()));
    }
    exit
}
