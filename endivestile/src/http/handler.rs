//! Converts HTTP requests into calls for the engine.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::CallSettings;
use endivestile_kernel::fleet::Limits;
use endivestile_kernel::{Submission, Target, Task};
use endivestile_wire::call::JobBody;
use http::Response;
use http::request::Parts;
use tokio::sync::oneshot;

use super::headers::{IDEMPOTENT_HEADER, SubmissionHeaders, requested_ids};
use super::invalid_request::InvalidRequest;
use super::route::Route;
use super::validation::Validator;
use super::{Call, Operation, Reply, ReplyFormat};
use crate::clock::Clock;
use crate::config_checker::CurrentConfig;
use crate::counters::{Counters, IoMetric};
use crate::http_server::{BodyError, Handler};
use crate::inbox::{Inbox, Input};
use crate::thread_pool::{Pool, Work};

/// Maximum size of a request head, in bytes.
const HEAD_BYTES: usize = 16_384;

/// Answers callers through the engine.
#[derive(Debug, Clone)]
pub(crate) struct CallHandler {
    requests: RequestHandler,
    /// Threads that decode submissions, which must not delay links and heartbeats.
    decoders: Pool<PendingSubmission>,
}

impl CallHandler {
    /// Creates the handler and its pool of threads.
    pub(crate) fn new(requests: RequestHandler) -> Self {
        let decoders = Pool::new("decode", requests.settings.threads, requests.clone());
        Self { requests, decoders }
    }
}

impl Handler for CallHandler {
    fn limits(&self) -> Limits {
        let settings = &self.requests.settings;
        Limits {
            head_bytes: HEAD_BYTES,
            body_bytes: settings.body_limit,
            head_timeout_ms: settings.receive_ms,
            idle_timeout_ms: settings.idle_ms,
        }
    }

    async fn handle(&self, head: Parts, body: Bytes) -> Response<Bytes> {
        let (reply, answer) = oneshot::channel();
        self.requests.handle_request(head, body, reply, &self.decoders);
        answer.await.unwrap_or_else(|_| Reply::stopped()).into_response()
    }

    async fn refuse(&self, head: Parts, error: BodyError) -> Response<Bytes> {
        let (reply, answer) = oneshot::channel();
        self.requests.refuse(&head, error, reply);
        answer.await.unwrap_or_else(|_| Reply::stopped()).into_response()
    }
}

/// State shared by the threads of the HTTP interface.
#[derive(Debug, Clone)]
pub(crate) struct RequestHandler {
    /// Input channel of the engine.
    pub(crate) inbox: Inbox,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Limits of bodies and deadlines.
    pub(crate) settings: CallSettings,
    /// The configuration in force.
    pub(crate) current_config: CurrentConfig,
    /// Counters of the process.
    pub(crate) counters: Counters,
}

/// Sends the reply to one request.
type ReplySender = oneshot::Sender<Reply>;

impl RequestHandler {
    /// Handles a request. Submissions are decoded on the threads of `decoders`.
    fn handle_request(
        &self,
        head: Parts,
        body: Bytes,
        reply: ReplySender,
        decoders: &Pool<PendingSubmission>,
    ) {
        let route = Route::parse(&head.method, &head.uri);
        let ids = requested_ids(&head);
        let (route, ids) = match (route, ids) {
            (Ok(route), Ok(ids)) => (route, ids),
            (Err(invalid), _) | (_, Err(invalid)) => return self.reject(reply, 0, &invalid),
        };
        match route {
            Route::Health => send(reply, Reply::plain_text(200, "alive\n")),
            Route::Ready => self.post(reply, ids, Operation::Ready),
            Route::Status => self.post(reply, ids, Operation::Status),
            Route::Ids(count) => self.post(reply, ids, Operation::MintIds(count)),
            Route::Submission(id, ask) => self.post(reply, ids, Operation::Ask(id, ask)),
            Route::Job | Route::Request(_) => {
                decoders.push(PendingSubmission { head, body, route, ids, reply });
            }
        }
    }

    /// Refuses a request that was not received completely.
    fn refuse(&self, head: &Parts, error: BodyError, reply: ReplySender) {
        let ids = requested_ids(head).unwrap_or(0);
        let invalid = match error {
            BodyError::TooLong(limit) => InvalidRequest::body_too_long(limit),
            BodyError::Truncated => InvalidRequest::field("body", "shorter than announced"),
            BodyError::Late => InvalidRequest::body_late(),
            BodyError::Refused => return self.send(reply, ids, Reply::full()),
        };
        self.reject(reply, ids, &invalid);
    }

    /// Rejects a call, no part of which has been accepted.
    fn reject(&self, reply: ReplySender, ids: usize, invalid: &InvalidRequest) {
        self.counters.count_io(IoMetric::Invalid, 1);
        log::debug!("event=invalid field={:?} reason={:?}", invalid.field, invalid.reason);
        self.send(reply, ids, Reply::from_invalid(invalid));
    }

    /// Sends a reply made without the engine, which only adds the ids that the caller requests.
    fn send(&self, reply: ReplySender, ids: usize, text: Reply) {
        if ids == 0 {
            send(reply, text);
        } else {
            self.post(reply, ids, Operation::ReplyWithIds(text));
        }
    }

    /// Posts a call to the engine.
    fn post(&self, reply: ReplySender, ids: usize, operation: Operation) {
        self.inbox.post(Input::Call(Box::new(Call { reply, ids, operation })));
    }

    /// Decodes and validates a submission.
    fn read_submission(
        &self,
        head: &Parts,
        body: Bytes,
        route: &Route,
    ) -> Result<(Submission, ReplyFormat), InvalidRequest> {
        let headers = SubmissionHeaders::parse(head, &self.settings)?;
        let deadline = self.clock.now().after_ms(headers.remaining_ms);
        let config = self.current_config.get();
        let validator = Validator(config.as_deref());
        let team = validator.team(&headers.team)?;
        let (tasks, reply_format) = match route {
            Route::Request(service) => {
                let service = validator.service(service, "service")?;
                (vec![single_task(Target::Service(service), body)], ReplyFormat::Raw)
            }
            _ => {
                if headers.idempotent {
                    let reason = "a job's tasks are never started again";
                    return Err(InvalidRequest::field(IDEMPOTENT_HEADER, reason));
                }
                (validator.job(parse(&body)?)?, ReplyFormat::Json)
            }
        };
        let idempotent = headers.idempotent;
        Ok((Submission { id: headers.id, team, deadline, idempotent, tasks }, reply_format))
    }
}

/// Sends a reply, unless its caller has disconnected.
fn send(reply: ReplySender, text: Reply) {
    let _ = reply.send(text);
}

fn single_task(target: Target, work: Bytes) -> Arc<Task> {
    Arc::new(Task { target, work, declared_ms: 0 })
}

fn parse(text: &[u8]) -> Result<JobBody, InvalidRequest> {
    serde_json::from_slice(text).map_err(|e| InvalidRequest::field("body", e.to_string()))
}

/// A submission that has not been decoded yet.
#[derive(Debug)]
struct PendingSubmission {
    head: Parts,
    body: Bytes,
    route: Route,
    /// Number of minted ids to return with the reply.
    ids: usize,
    reply: ReplySender,
}

impl Work for PendingSubmission {
    type Env = RequestHandler;

    fn perform(self, handler: &RequestHandler) {
        let Self { head, body, route, ids, reply } = self;
        match handler.read_submission(&head, body, &route) {
            Ok((submission, reply_format)) => {
                handler.post(reply, ids, Operation::Submit(submission, reply_format));
            }
            Err(invalid) => handler.reject(reply, ids, &invalid),
        }
    }
}
