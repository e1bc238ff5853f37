//! Runs: admission, placement of their tasks and their end.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::kernel::submit::Arrival;
use crate::routes::{Route, Routes};
use crate::run::{Run, RunState, RunTask, TaskState, Waiter};
use crate::{
    Answer, Cause, Class, Effect, Failure, HostState, Kernel, Metric, Msg, Outcome, Peer,
    PlaceEffect, PlaceRequest, Placer, Submission, Target, Task, TaskKey, Time,
};

/// Maximum number of starts of a submission that may be retried.
const MAX_STARTS: u8 = 3;
/// Maximum number of attempts of one task, including those that did not start it.
const MAX_ATTEMPTS: u8 = 7;
/// Initial backoff of a task that a placer returned, in milliseconds; doubles with every attempt.
const PLACE_BACKOFF_MS: u64 = 10;
/// Maximum backoff of a returned task, in milliseconds.
const MAX_PLACE_BACKOFF_MS: u64 = 500;
/// Time for a placer's outcome to arrive, without the distance, in microseconds.
const OUTCOME_DELAY_US: u64 = 5_000;
/// Time for which a placer is suspect before its tasks count as lost, in milliseconds.
pub(super) const TASKS_LOST_MS: u64 = 5_000;
/// Minimum delay of a retry after a refusal for lack of capacity, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 250;

impl Kernel {
    /// Runs a submission that needs no grant of a shard.
    pub(super) fn start_run(&mut self, now: Time, arrival: Arrival, keep_until: Time) {
        if let Err(cause) = self.check_admission(now, &arrival.submission) {
            self.refuse(now, &arrival.waiter, Class::NotRun, cause);
            return;
        }
        let mut run = Run::new(now, arrival.submission, RunState::Running);
        run.keep_until = keep_until;
        run.waiters.push(arrival.waiter);
        let number = self.runs.add(run);
        self.start(now, number);
    }

    /// Refuses a submission that cannot run or end in time, so that its caller can go elsewhere at
    /// once.
    pub(super) fn check_admission(&self, now: Time, submission: &Submission) -> Result<(), Cause> {
        let Some(config) = &self.config else { return Err(Cause::NoConfig) };
        if self.is_closing(now) {
            return Err(Cause::Stopping);
        }
        if self.runs.active() >= config.rules.queue_limit as usize {
            return Err(Cause::Full);
        }
        let mut targets: BTreeMap<&Target, (&Task, u64)> = BTreeMap::new();
        for task in &submission.tasks {
            targets.entry(&task.target).or_insert((task, 0)).1 += 1;
        }
        for (task, count) in targets.into_values() {
            // Load is reported for two classes of needs only: without this check a task that fits
            // no worker would be sent from host to host, and its caller would wait meanwhile.
            if !Placer::can_ever_run(config, &task.target) {
                return Err(Cause::NoBackend);
            }
            let Some(route) = self.route(now, task, &[]) else {
                return Err(if self.leaving { Cause::Stopping } else { Cause::NoBackend });
            };
            // The other tasks of a job end one interval after the other.
            let interval_us = self.routes.task_interval_us(
                self.membership.view(),
                &self.own_load.1,
                &task.target,
            );
            let late = route.end.after_us(interval_us * (count - 1)) > submission.deadline;
            if late && !self.may_probe_duration(now, task, count, submission.deadline) {
                return Err(Cause::Deadline);
            }
        }
        Ok(())
    }

    /// Returns whether tasks that seem too long are admitted anyway, to correct a wrong estimate of
    /// their run time.
    fn may_probe_duration(&self, now: Time, task: &Task, count: u64, deadline: Time) -> bool {
        if count > 1 {
            return self.placer.has_untried_backend(task);
        }
        self.placer.allows_trial(now, task, deadline)
    }

    /// Starts every task of a run.
    pub(super) fn start(&mut self, now: Time, number: u64) {
        self.count(Metric::Accepted, 1);
        let Some(run) = self.runs.get_mut(number) else { return };
        run.state = RunState::Running;
        let deadline = run.submission.deadline;
        let count = run.tasks.len();
        self.runs.set_due(number, deadline);
        for index in 0..count {
            self.budget.record_first_attempt();
            self.place(now, TaskKey { run: number, index: index as u16, attempt: 0 });
        }
    }

    /// Returns the route, except to `avoid`, with the earliest expected end of a task.
    fn route(&self, now: Time, task: &Task, avoid: &[Peer]) -> Option<Route> {
        let config = self.config.as_ref()?;
        let view = self.membership.view();
        let me = &self.setup.me;
        let own = self.placer.expected_end(now, task).filter(|_| !avoid.contains(me));
        let own = own.map(|end| Route { peer: me.clone(), end });
        let other = self.routes.best(now, view, &config.rules, &task.target, avoid);
        let best = match (own, other) {
            // Otherwise a share that is only estimated to be slow would never be used.
            (Some(own), Some(_)) if self.placer.has_untried_backend(task) => Some(own),
            (Some(own), Some(other)) if other.end < own.end => Some(other),
            (Some(own), _) => Some(own),
            (None, other) => other,
        };
        if !avoid.is_empty() {
            return best;
        }
        best.or_else(|| Routes::fallback(now, view, config, &task.target))
    }

    fn place(&mut self, now: Time, key: TaskKey) {
        let TaskKey { run: number, index, attempt } = key;
        let Some(run) = self.runs.get(number) else { return };
        let current = run.tasks.get(usize::from(index)).map(|task| task.attempt);
        if !matches!(run.state, RunState::Running) || current != Some(attempt) {
            return;
        }
        let Some(task) = run.submission.tasks.get(usize::from(index)).cloned() else { return };
        let request = PlaceRequest {
            key,
            team: run.submission.team.clone(),
            deadline: run.submission.deadline,
            arrived: run.arrived,
            remaining: run.remaining,
            task,
        };
        let Some(route) = self.route(now, &request.task, &run.full_placers) else {
            let cause = if run.full_placers.is_empty() { Cause::NoBackend } else { Cause::Limit };
            self.end_unplaced(now, key, cause);
            return;
        };
        if let Some(run) = self.runs.get_mut(number) {
            run.tasks[usize::from(index)].state = TaskState::Placed(route.peer.clone());
        }
        let deadline = self.remote_deadline(&route.peer, request.deadline);
        self.send_request(now, &route.peer, PlaceRequest { deadline, ..request });
    }

    /// Returns the deadline for the placer at `to`: early enough for its report that a task never
    /// ran to arrive before this host's own deadline, after which the task would count as possibly
    /// run.
    fn remote_deadline(&self, to: &Peer, deadline: Time) -> Time {
        if *to == self.setup.me {
            return deadline;
        }
        let distance_us = self.config.as_ref().map_or(0, |config| config.rules.distance_us);
        let margin_us = OUTCOME_DELAY_US + 2 * distance_us;
        Time::from_micros(deadline.as_micros().saturating_sub(margin_us))
    }

    fn send_request(&mut self, now: Time, to: &Peer, request: PlaceRequest) {
        if *to == self.setup.me {
            let me = self.setup.me.clone();
            self.placer.handle_order(now, &me, request, &mut self.place_effects);
            return;
        }
        self.count(Metric::Handoffs, 1);
        self.routes.record_handoff(to, &request.task.target);
        self.send(to, Msg::Place(request));
    }

    pub(super) fn handle_place_effect(&mut self, now: Time, effect: PlaceEffect) {
        match effect {
            PlaceEffect::Start { attempt, address, path, order, .. } => {
                self.out.push(Effect::Start { attempt, address, path, request: order });
            }
            PlaceEffect::Abort(attempt) => self.out.push(Effect::Abort(attempt)),
            PlaceEffect::Ended { home, key, outcome } => {
                if home == self.setup.me {
                    self.handle_placed(now, &home, key, outcome);
                } else {
                    self.send_unless_gone(&home, Msg::Placed { key, outcome });
                }
            }
            PlaceEffect::Log(note) => self.out.push(Effect::Log(note)),
            PlaceEffect::Count(metric, count) => self.count(metric, count),
        }
    }

    /// Handles the outcome of a task at a placer; late outcomes of earlier attempts are dropped.
    pub(super) fn handle_placed(&mut self, now: Time, from: &Peer, key: TaskKey, outcome: Outcome) {
        let Some(run) = self.runs.get_mut(key.run) else { return };
        let Some(task) = run.tasks.get_mut(usize::from(key.index)) else { return };
        if task.attempt != key.attempt || task.state != TaskState::Placed(from.clone()) {
            return;
        }
        match outcome {
            Outcome::Done(result) => {
                task.state = TaskState::Done(result);
                run.remaining -= 1;
                if let Some(results) = run.results() {
                    self.finish(now, key.run, Answer::Complete(results));
                }
            }
            Outcome::NotRun(Cause::Limit) => {
                if !run.full_placers.contains(from) {
                    run.full_placers.push(from.clone());
                }
                self.place_next_attempt(now, key);
            }
            Outcome::NotRun(cause) => self.handle_not_run(now, key, cause),
            Outcome::Rejected { peer, status } => {
                run.ambiguous_ends += 1;
                let failure = Failure::Rejected { task: key.index, peer, status };
                self.handle_ambiguous(now, key, failure, status >= SERVER_ERROR);
            }
            Outcome::Lost { peer } => {
                run.ambiguous_ends += 1;
                self.handle_ambiguous(now, key, Failure::Lost { task: key.index, peer }, true);
            }
        }
    }

    /// Handles a task that was not started: another share may still run it.
    ///
    /// While a host leaves, its peers are informed one after the other, and for some milliseconds
    /// their views differ on which host has its share. A task that is placed again at once would
    /// use up its attempts among them, and a planned stop would fail the request. The backoff
    /// therefore grows with each attempt.
    fn handle_not_run(&mut self, now: Time, key: TaskKey, cause: Cause) {
        let other_share_may_run = matches!(cause, Cause::NoBackend | Cause::Stopping);
        if !other_share_may_run || key.attempt + 1 >= MAX_ATTEMPTS {
            self.end_unplaced(now, key, cause);
            return;
        }
        let Some(run) = self.runs.get_mut(key.run) else { return };
        let task = &mut run.tasks[usize::from(key.index)];
        task.attempt += 1;
        task.state = TaskState::Ready;
        let backoff_ms = (PLACE_BACKOFF_MS << key.attempt.min(6)).min(MAX_PLACE_BACKOFF_MS);
        let next = TaskKey { attempt: key.attempt + 1, ..key };
        self.backing_off.insert((now.after_ms(backoff_ms), next));
    }

    /// Places the returned tasks whose backoff has ended.
    pub(super) fn place_due_tasks(&mut self, now: Time) {
        while let Some(&(due, key)) = self.backing_off.first() {
            if due > now {
                return;
            }
            self.backing_off.pop_first();
            self.place(now, key);
        }
    }

    /// Handles a task that may have run: it is only retried if that is allowed.
    fn handle_ambiguous(&mut self, now: Time, key: TaskKey, failure: Failure, retryable: bool) {
        let may_retry = self.runs.get(key.run).is_some_and(Run::may_retry);
        let starts = self.runs.get(key.run).map_or(0, |run| run.ambiguous_ends);
        if retryable && may_retry && starts < MAX_STARTS && self.budget.try_retry() {
            self.count(Metric::Retries, 1);
            self.place_next_attempt(now, key);
        } else {
            self.finish(now, key.run, Answer::Failed(failure));
        }
    }

    fn place_next_attempt(&mut self, now: Time, key: TaskKey) {
        if let Some(run) = self.runs.get_mut(key.run) {
            let task = &mut run.tasks[usize::from(key.index)];
            task.attempt += 1;
            task.state = TaskState::Ready;
        }
        self.place(now, TaskKey { attempt: key.attempt + 1, ..key });
    }

    fn end_unplaced(&mut self, now: Time, key: TaskKey, cause: Cause) {
        let Some(run) = self.runs.get_mut(key.run) else { return };
        run.tasks[usize::from(key.index)].state = TaskState::Abandoned;
        let answer = if run.never_started() {
            Answer::Refused(self.refusal(now, Class::NotRun, cause))
        } else {
            Answer::Failed(Failure::NotPlaced { task: key.index, cause })
        };
        self.finish(now, key.run, answer);
    }

    /// Ends a run: drops its other tasks and sends the answer to all waiters.
    pub(super) fn finish(&mut self, now: Time, number: u64, answer: Answer) {
        let Some(run) = self.runs.get_mut(number) else { return };
        let waiters = std::mem::take(&mut run.waiters);
        let placed = placed_tasks(number, run);
        let answer = Arc::new(answer);
        self.log_end(now, number, &answer);
        self.runs.end(number, answer.clone());
        for (peer, key) in placed {
            self.cancel_task(now, &peer, key);
        }
        for waiter in waiters {
            self.reply(&waiter, answer.clone());
        }
    }

    fn cancel_task(&mut self, now: Time, peer: &Peer, key: TaskKey) {
        if *peer == self.setup.me {
            let me = self.setup.me.clone();
            self.placer.handle_drop(now, &me, key, &mut self.place_effects);
        } else {
            self.send_unless_gone(peer, Msg::Drop(key));
        }
    }

    /// Ends the runs that are due, and removes expired answers.
    pub(super) fn end_due_runs(&mut self, now: Time) {
        self.runs.answers_mut().evict_expired(now);
        while let Some(number) = self.runs.next_due(now) {
            let Some(run) = self.runs.get(number) else { return };
            match run.state {
                RunState::AwaitingWitness | RunState::ConfirmingRefusal(_) => {
                    self.end_unconfirmed(now, number)
                }
                RunState::Running => {
                    let answer = if run.never_started() {
                        Answer::Refused(self.refusal(now, Class::NotRun, Cause::Deadline))
                    } else {
                        Answer::Failed(Failure::Deadline)
                    };
                    self.finish(now, number, answer);
                }
            }
        }
    }

    /// Handles the tasks at a placer that is gone, or unresponsive for too long, as lost: they may
    /// have run.
    pub(super) fn lose_tasks(&mut self, now: Time, lost: &Peer) {
        self.handle_lost_tasks(now, lost, |_| true);
    }

    /// Retries requests at a suspect placer if that is allowed: their callers would wait until the
    /// deadline, though another backend could answer at once. Other requests wait, since the placer
    /// may recover and send their answers.
    pub(super) fn retry_tasks(&mut self, now: Time, suspect: &Peer) {
        self.handle_lost_tasks(now, suspect, Run::may_retry);
    }

    fn handle_lost_tasks(&mut self, now: Time, lost: &Peer, predicate: impl Fn(&Run) -> bool) {
        let at_peer = |task: &RunTask| task.state == TaskState::Placed(lost.clone());
        let runs = self.runs.select(|run| predicate(run) && run.tasks.iter().any(at_peer));
        for number in runs {
            let Some(run) = self.runs.get(number) else { continue };
            let keys: Vec<TaskKey> = placed_tasks(number, run)
                .into_iter()
                .filter_map(|(peer, key)| (peer == *lost).then_some(key))
                .collect();
            for key in keys {
                let outcome = Outcome::Lost { peer: lost.host.clone() };
                self.handle_placed(now, lost, key, outcome);
            }
        }
    }

    /// Returns when the queue of this host's share is expected to be empty.
    pub(super) fn queue_drained_at(&self, now: Time) -> Time {
        let loads = self.own_load.1.iter();
        let wait = loads.map(|load| u64::from(load.wait_us)).max().unwrap_or(0);
        now.after_us(wait).max(now.after_ms(MIN_RETRY_DELAY_MS))
    }

    /// Sends a message unless the receiver is gone.
    pub(super) fn send_unless_gone(&mut self, to: &Peer, msg: Msg) {
        if self.membership.view().state(to) != HostState::Gone {
            self.send(to, msg);
        }
    }

    pub(super) fn waiting_calls(&self) -> usize {
        let calls = |run: &Run| run.waiters.iter().any(|w| matches!(w, Waiter::Call(_)));
        self.runs.select(calls).len()
    }
}

/// Lowest HTTP status that indicates a fault of the backend rather than of the request.
const SERVER_ERROR: u16 = 500;

/// Returns the tasks of a run that are at a placer, with the host of the placer.
fn placed_tasks(number: u64, run: &Run) -> Vec<(Peer, TaskKey)> {
    let tasks = run.tasks.iter().enumerate();
    tasks
        .filter_map(|(index, task)| match &task.state {
            TaskState::Placed(peer) => {
                let key = TaskKey { run: number, index: index as u16, attempt: task.attempt };
                Some((peer.clone(), key))
            }
            _ => None,
        })
        .collect()
}
