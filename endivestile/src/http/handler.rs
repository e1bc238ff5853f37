//! Turns requests of callers into calls for the engine.

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

/// Threads that read long bodies; each waits for one caller.
const READERS: usize = 64;

/// What the threads of the callers' interface share.
#[derive(Debug, Clone)]
pub(crate) struct RequestHandler {
    /// The engine.
    pub(crate) inbox: Inbox,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Limits.
    pub(crate) settings: CallSettings,
    /// The configuration in force.
    pub(crate) current_config: CurrentConfig,
    /// Writes replies that need no engine.
    pub(crate) reply_pool: ReplyPool,
    /// Counts.
    pub(crate) counters: Counters,
}

impl RequestHandler {
    /// Starts the pool that reads long bodies.
    pub(crate) fn body_readers(&self) -> Pool<PendingSubmission> {
        Pool::new("read", READERS, self.clone())
    }

    /// Takes a request; one whose body may come slowly goes to the readers.
    pub(crate) fn handle_request(&self, request: Request, readers: &Pool<PendingSubmission>) {
        let route = Route::parse(request.method(), request.url());
        let ids = requested_ids(&request);
        let (route, ids) = match (route, ids) {
            (Ok(route), Ok(ids)) => (route, ids),
            (Err(invalid), _) | (_, Err(invalid)) => return self.refuse(request, 0, &invalid),
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
                let submit = PendingSubmission { request, route, ids };
                if body::may_block(&submit.request) {
                    readers.push(submit);
                } else {
                    submit.perform(self);
                }
            }
        }
    }

    /// Refuses a call; nothing of it is accepted.
    fn refuse(&self, request: Request, ids: usize, invalid: &InvalidRequest) {
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

    /// Reads and checks a submission.
    fn submission(
        &self,
        request: &mut Request,
        route: &Route,
    ) -> Result<(Submission, ReplyFormat), InvalidRequest> {
        let head = SubmissionHeaders::parse(request, &self.settings)?;
        let deadline = self.clock.now().after_ms(head.remaining_ms);
        let config = self.current_config.get();
        let checks = Validator(config.as_deref());
        let team = checks.team(&head.team)?;
        let (tasks, shape) = match route {
            Route::Request(service) => {
                let service = checks.service(service, "service")?;
                let work = body::read(request, self.settings.body_limit)?;
                (vec![single(Target::Service(service), work)], ReplyFormat::Raw)
            }
            _ => {
                if head.idempotent {
                    let reason = "a job's tasks are never started again";
                    return Err(InvalidRequest::field(IDEMPOTENT_HEADER, reason));
                }
                let text = body::read(request, self.settings.body_limit)?;
                (checks.job(parse(&text)?)?, ReplyFormat::Json)
            }
        };
        let idempotent = head.idempotent;
        Ok((Submission { id: head.id, team, deadline, idempotent, tasks }, shape))
    }
}

fn single(target: Target, work: Bytes) -> Arc<Task> {
    Arc::new(Task { target, work, declared_ms: 0 })
}

fn parse(text: &[u8]) -> Result<JobBody, InvalidRequest> {
    serde_json::from_slice(text).map_err(|e| InvalidRequest::field("body", e.to_string()))
}

/// A submission whose body is still to be read.
#[derive(Debug)]
pub(crate) struct PendingSubmission {
    /// The request.
    request: Request,
    /// Where it was sent.
    route: Route,
    /// Minted ids that the caller wants.
    ids: usize,
}

impl Work for PendingSubmission {
    type Env = RequestHandler;

    fn perform(mut self, desk: &RequestHandler) {
        match desk.submission(&mut self.request, &self.route) {
            Ok((submission, shape)) => {
                desk.post(self.request, self.ids, Operation::Submit(submission, shape));
            }
            Err(invalid) => desk.refuse(self.request, self.ids, &invalid),
        }
    }
}
