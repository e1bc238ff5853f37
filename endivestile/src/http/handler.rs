//! Converts HTTP requests into calls for the engine.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::CallSettings;
use endivestile_kernel::{Submission, Target, Task};
use endivestile_wire::call::JobBody;
use tiny_http::Request;

use super::headers::{IDEMPOTENT_HEADER, SubmissionHeaders, requested_ids};
use super::invalid_request::InvalidRequest;
use super::route::Route;
use super::validation::Validator;
use super::{Call, Operation, PendingReply, Reply, ReplyFormat, ReplyPool, body};
use crate::clock::Clock;
use crate::config_checker::CurrentConfig;
use crate::counters::{Counters, IoMetric};
use crate::inbox::{Inbox, Input};
use crate::thread_pool::{Pool, Work};

/// Most threads that read long bodies; each waits for one caller.
const BODY_READER_THREADS: usize = 64;

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
    /// Threads that write replies made without the engine.
    pub(crate) reply_pool: ReplyPool,
    /// Counters of the process.
    pub(crate) counters: Counters,
}

impl RequestHandler {
    /// Creates the pool of threads that read long bodies.
    pub(crate) fn body_readers(&self) -> Pool<PendingSubmission> {
        Pool::new("read", BODY_READER_THREADS, self.clone())
    }

    /// Handles a request. One whose body may arrive slowly is passed to `readers`.
    pub(crate) fn handle_request(&self, request: Request, readers: &Pool<PendingSubmission>) {
        let route = Route::parse(request.method(), request.url());
        let ids = requested_ids(&request);
        let (route, ids) = match (route, ids) {
            (Ok(route), Ok(ids)) => (route, ids),
            (Err(invalid), _) | (_, Err(invalid)) => return self.reject(request, 0, &invalid),
        };
        match route {
            Route::Health => self
                .reply_pool
                .push(PendingReply { request, reply: Reply::plain_text(200, "alive\n") }),
            Route::Ready => self.post(request, ids, Operation::Ready),
            Route::Status => self.post(request, ids, Operation::Status),
            Route::Ids(count) => self.post(request, ids, Operation::MintIds(count)),
            Route::Submission(id, ask) => self.post(request, ids, Operation::Ask(id, ask)),
            Route::Job | Route::Request(_) => {
                let pending = PendingSubmission { request, route, ids };
                if body::may_block(&pending.request) {
                    readers.push(pending);
                } else {
                    pending.perform(self);
                }
            }
        }
    }

    /// Rejects a call, no part of which has been accepted.
    fn reject(&self, request: Request, ids: usize, invalid: &InvalidRequest) {
        self.counters.count_io(IoMetric::Invalid, 1);
        log::debug!("event=invalid field={:?} reason={:?}", invalid.field, invalid.reason);
        let reply = Reply::from_invalid(invalid);
        if ids == 0 {
            self.reply_pool.push(PendingReply { request, reply });
        } else {
            self.post(request, ids, Operation::ReplyWithIds(reply));
        }
    }

    /// Posts a call to the engine.
    fn post(&self, request: Request, ids: usize, operation: Operation) {
        self.inbox.post(Input::Call(Box::new(Call { request, ids, operation })));
    }

    /// Reads and validates a submission.
    fn read_submission(
        &self,
        request: &mut Request,
        route: &Route,
    ) -> Result<(Submission, ReplyFormat), InvalidRequest> {
        let headers = SubmissionHeaders::parse(request, &self.settings)?;
        let deadline = self.clock.now().after_ms(headers.remaining_ms);
        let config = self.current_config.get();
        let validator = Validator(config.as_deref());
        let team = validator.team(&headers.team)?;
        let (tasks, reply_format) = match route {
            Route::Request(service) => {
                let service = validator.service(service, "service")?;
                let work = body::read(request, self.settings.body_limit)?;
                (vec![single_task(Target::Service(service), work)], ReplyFormat::Raw)
            }
            _ => {
                if headers.idempotent {
                    let reason = "a job's tasks are never started again";
                    return Err(InvalidRequest::field(IDEMPOTENT_HEADER, reason));
                }
                let text = body::read(request, self.settings.body_limit)?;
                (validator.job(parse(&text)?)?, ReplyFormat::Json)
            }
        };
        let idempotent = headers.idempotent;
        Ok((Submission { id: headers.id, team, deadline, idempotent, tasks }, reply_format))
    }
}

fn single_task(target: Target, work: Bytes) -> Arc<Task> {
    Arc::new(Task { target, work, declared_ms: 0 })
}

fn parse(text: &[u8]) -> Result<JobBody, InvalidRequest> {
    serde_json::from_slice(text).map_err(|e| InvalidRequest::field("body", e.to_string()))
}

/// A submission whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct PendingSubmission {
    /// The request.
    request: Request,
    /// Route that it was sent to.
    route: Route,
    /// Number of minted ids to return with the reply.
    ids: usize,
}

impl Work for PendingSubmission {
    type Env = RequestHandler;

    fn perform(mut self, handler: &RequestHandler) {
        match handler.read_submission(&mut self.request, &self.route) {
            Ok((submission, reply_format)) => {
                handler.post(self.request, self.ids, Operation::Submit(submission, reply_format));
            }
            Err(invalid) => handler.reject(self.request, self.ids, &invalid),
        }
    }
}
