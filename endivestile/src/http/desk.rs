//! Turns requests of callers into calls for the engine.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::CallSettings;
use endivestile_kernel::{Submission, Target, Task};
use endivestile_wire::call::JobBody;
use tiny_http::Request;

use super::check::Checks;
use super::head::{Head, IDEMPOTENT_HEADER, wanted};
use super::invalid::Invalid;
use super::route::Route;
use super::{Call, Demand, Reply, Say, Shape, Voice, body};
use crate::clock::Clock;
use crate::config_checker::CurrentConfig;
use crate::counters::{Counters, IoMetric};
use crate::inbox::{Inbox, Input};
use crate::thread_pool::{Pool, Work};

/// Threads that read long bodies; each waits for one caller.
const READERS: usize = 64;

/// What the threads of the callers' interface share.
#[derive(Debug, Clone)]
pub(crate) struct Desk {
    /// The engine.
    pub(crate) inbox: Inbox,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Limits.
    pub(crate) settings: CallSettings,
    /// The configuration in force.
    pub(crate) adopted: CurrentConfig,
    /// Writes replies that need no engine.
    pub(crate) voice: Voice,
    /// Counts.
    pub(crate) counters: Counters,
}

impl Desk {
    /// Starts the pool that reads long bodies.
    pub(crate) fn readers(&self) -> Pool<Submit> {
        Pool::new("read", READERS, self.clone())
    }

    /// Takes a request; one whose body may come slowly goes to the readers.
    pub(crate) fn take(&self, request: Request, readers: &Pool<Submit>) {
        let route = Route::parse(request.method(), request.url());
        let ids = wanted(&request);
        let (route, ids) = match (route, ids) {
            (Ok(route), Ok(ids)) => (route, ids),
            (Err(invalid), _) | (_, Err(invalid)) => return self.refuse(request, 0, &invalid),
        };
        match route {
            Route::Health => self.voice.push(Say { request, reply: Reply::probe(200, "alive\n") }),
            Route::Ready => self.post(request, ids, Demand::Ready),
            Route::Status => self.post(request, ids, Demand::Status),
            Route::Ids(count) => self.post(request, ids, Demand::Mint(count)),
            Route::Submission(id, ask) => self.post(request, ids, Demand::Ask(id, ask)),
            Route::Job | Route::Request(_) => {
                let submit = Submit { request, route, ids };
                if body::is_slow(&submit.request) {
                    readers.push(submit);
                } else {
                    submit.perform(self);
                }
            }
        }
    }

    /// Refuses a call; nothing of it is accepted.
    fn refuse(&self, request: Request, ids: usize, invalid: &Invalid) {
        self.counters.count_io(IoMetric::Invalid, 1);
        log::debug!("event=invalid field={:?} reason={:?}", invalid.field, invalid.reason);
        let reply = Reply::invalid(invalid);
        if ids == 0 {
            self.voice.push(Say { request, reply });
        } else {
            self.post(request, ids, Demand::Reply(reply));
        }
    }

    /// Posts a call to the engine.
    fn post(&self, request: Request, ids: usize, demand: Demand) {
        self.inbox.post(Input::Call(Box::new(Call { request, ids, demand })));
    }

    /// Reads and checks a submission.
    fn submission(
        &self,
        request: &mut Request,
        route: &Route,
    ) -> Result<(Submission, Shape), Invalid> {
        let head = Head::parse(request, &self.settings)?;
        let deadline = self.clock.now().after_ms(head.left_ms);
        let config = self.adopted.get();
        let checks = Checks(config.as_deref());
        let team = checks.team(&head.team)?;
        let (tasks, shape) = match route {
            Route::Request(service) => {
                let service = checks.service(service, "service")?;
                let work = body::read(request, self.settings.body_limit)?;
                (vec![single(Target::Service(service), work)], Shape::Raw)
            }
            _ => {
                if head.idempotent {
                    let reason = "a job's tasks are never started again";
                    return Err(Invalid::field(IDEMPOTENT_HEADER, reason));
                }
                let text = body::read(request, self.settings.body_limit)?;
                (checks.job(parse(&text)?)?, Shape::Json)
            }
        };
        let idempotent = head.idempotent;
        Ok((Submission { id: head.id, team, deadline, idempotent, tasks }, shape))
    }
}

fn single(target: Target, work: Bytes) -> Arc<Task> {
    Arc::new(Task { target, work, declared_ms: 0 })
}

fn parse(text: &[u8]) -> Result<JobBody, Invalid> {
    serde_json::from_slice(text).map_err(|e| Invalid::field("body", e.to_string()))
}

/// A submission whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Submit {
    /// The request.
    request: Request,
    /// Where it was sent.
    route: Route,
    /// Minted ids that the caller wants.
    ids: usize,
}

impl Work for Submit {
    type Env = Desk;

    fn perform(mut self, desk: &Desk) {
        match desk.submission(&mut self.request, &self.route) {
            Ok((submission, shape)) => {
                desk.post(self.request, self.ids, Demand::Submit(submission, shape));
            }
            Err(invalid) => desk.refuse(self.request, self.ids, &invalid),
        }
    }
}
