//! Runs and their tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::kernel::submit::Arrival;
use crate::routes::{Route, Routes};
use crate::run::{Run, RunState, RunTask, TaskState, Waiter};
use crate::{
    Answer, Cause, Class, Effect, Failure, HostState, Kernel, Metric, Msg, Outcome, Peer,
    PlaceEffect, PlaceRequest, Placer, Submission, Target, Task, TaskKey, Time,
};

/// Starts of one repeatable task at most.
const MAX_STARTS: u8 = 3;
/// Tries of one task at most, also of those that were never started.
const MAX_TRIES: u8 = 7;
/// First wait before a task that a placer gave back is placed again, in
/// milliseconds; doubles with every try.
const REPLACE_MS: u64 = 10;
/// Longest such wait, in milliseconds.
const REPLACE_MAX_MS: u64 = 500;
/// Time that a placer's word takes besides the distance, in microseconds.
const WORD_US: u64 = 5_000;
/// Silence of a placer after which its tasks count as lost, in milliseconds.
pub(super) const TASKS_LOST_MS: u64 = 5_000;
/// Wait that a refusal suggests when the queue says nothing, in milliseconds.
const DRAIN_MS: u64 = 250;

impl Kernel {
    /// Runs a submission that needs nobody's leave.
    pub(super) fn start_run(&mut self, now: Time, arrival: Arrival, keep: Time) {
        if let Err(cause) = self.check_admission(now, &arrival.submission) {
            self.refuse(now, &arrival.waiter, Class::NotRun, cause);
            return;
        }
        let mut run = Run::new(now, arrival.submission, RunState::Running);
        run.keep_until = keep;
        run.waiters.push(arrival.waiter);
        let number = self.runs.add(run);
        self.start(now, number);
    }

    /// Says at once what cannot end in time, so that the caller can turn elsewhere.
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
            // Shares tell of two classes of needs only: each would pass on what fits no
            // worker at all, and its caller would wait while they try in turn.
            if !Placer::can_ever_run(config, &task.target) {
                return Err(Cause::NoBackend);
            }
            let Some(route) = self.route(now, task, &[]) else {
                return Err(if self.leaving { Cause::Stopping } else { Cause::NoBackend });
            };
            // The other tasks of a job end one turn after the other.
            let turn = self.routes.task_interval_us(
                self.membership.view(),
                &self.own_load.1,
                &task.target,
            );
            let late = route.end.after_us(turn * (count - 1)) > submission.deadline;
            if late && !self.may_probe_duration(now, task, count, submission.deadline) {
                return Err(Cause::Deadline);
            }
        }
        Ok(())
    }

    /// Returns whether tasks that look too long are tried all the same, so that
    /// a wrong belief about their run time is corrected.
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
            self.budget.first();
            self.place(now, TaskKey { run: number, index: index as u16, attempt: 0 });
        }
    }

    /// Returns where a task would end first, none of `avoid`.
    fn route(&self, now: Time, task: &Task, avoid: &[Peer]) -> Option<Route> {
        let config = self.config.as_ref()?;
        let view = self.membership.view();
        let me = &self.setup.me;
        let own = self.placer.expected_end(now, task).filter(|_| !avoid.contains(me));
        let own = own.map(|end| Route { peer: me.clone(), end });
        let other = self.routes.best(now, view, &config.rules, &task.target, avoid);
        let best = match (own, other) {
            // A share that is only guessed to be slow would never be tried.
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

    /// Returns when another host's placer has to give a task up: early enough for
    /// its word that the task never ran to come before this host's own deadline,
    /// after which it could only say that it may have run.
    fn remote_deadline(&self, to: &Peer, deadline: Time) -> Time {
        if *to == self.setup.me {
            return deadline;
        }
        let distance_us = self.config.as_ref().map_or(0, |config| config.rules.distance_us);
        let early_us = WORD_US + 2 * distance_us;
        Time::from_micros(deadline.as_micros().saturating_sub(early_us))
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

    /// Takes in how a task ended at a placer; a late word on an earlier try is dropped.
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
                self.replace_task(now, key);
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

    /// A task was not started: another share may still take it.
    ///
    /// While a host leaves, its peers learn of it one after the other, and for
    /// some milliseconds each takes another one to have its share. A task that
    /// is placed anew at once uses up its tries among them, and its caller sees
    /// a request cut off by a planned stop; so it waits a little longer each time.
    fn handle_not_run(&mut self, now: Time, key: TaskKey, cause: Cause) {
        let elsewhere = matches!(cause, Cause::NoBackend | Cause::Stopping);
        if !elsewhere || key.attempt + 1 >= MAX_TRIES {
            self.end_unplaced(now, key, cause);
            return;
        }
        let Some(run) = self.runs.get_mut(key.run) else { return };
        let task = &mut run.tasks[usize::from(key.index)];
        task.attempt += 1;
        task.state = TaskState::Ready;
        let wait_ms = (REPLACE_MS << key.attempt.min(6)).min(REPLACE_MAX_MS);
        let next = TaskKey { attempt: key.attempt + 1, ..key };
        self.retries.insert((now.after_ms(wait_ms), next));
    }

    /// Places what waited to be placed again.
    pub(super) fn retry_due_tasks(&mut self, now: Time) {
        while let Some(&(due, key)) = self.retries.first() {
            if due > now {
                return;
            }
            self.retries.pop_first();
            self.place(now, key);
        }
    }

    /// A task may have run: only what may be repeated is tried again.
    fn handle_ambiguous(&mut self, now: Time, key: TaskKey, failure: Failure, repeat: bool) {
        let may_repeat = self.runs.get(key.run).is_some_and(Run::may_repeat);
        let starts = self.runs.get(key.run).map_or(0, |run| run.ambiguous_ends);
        if repeat && may_repeat && starts < MAX_STARTS && self.budget.retry() {
            self.count(Metric::Retries, 1);
            self.replace_task(now, key);
        } else {
            self.finish(now, key.run, Answer::Failed(failure));
        }
    }

    fn replace_task(&mut self, now: Time, key: TaskKey) {
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

    /// Ends a run: its other tasks are dropped, everyone who waits is answered.
    pub(super) fn finish(&mut self, now: Time, number: u64, answer: Answer) {
        let Some(run) = self.runs.get_mut(number) else { return };
        let waiters = std::mem::take(&mut run.waiters);
        let drops = placed_tasks(number, run);
        let answer = Arc::new(answer);
        self.log_end(now, number, &answer);
        self.runs.end(number, answer.clone());
        for (peer, key) in drops {
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

    /// Gives up, or forgets, what is due.
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

    /// Tasks at a placer that is gone, or silent for too long, may have run.
    pub(super) fn lose_tasks(&mut self, now: Time, lost: &Peer) {
        self.lose_tasks_of(now, lost, |_| true);
    }

    /// Requests that may be repeated do not wait for a placer that went silent:
    /// their caller would see nothing until the deadline, though another back
    /// end could answer at once. The others wait, since the placer may come back
    /// with their answers.
    pub(super) fn retry_tasks(&mut self, now: Time, silent: &Peer) {
        self.lose_tasks_of(now, silent, Run::may_repeat);
    }

    fn lose_tasks_of(&mut self, now: Time, lost: &Peer, pick: impl Fn(&Run) -> bool) {
        let at_lost = |task: &RunTask| task.state == TaskState::Placed(lost.clone());
        let runs = self.runs.select(|run| pick(run) && run.tasks.iter().any(at_lost));
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

    /// Returns when the queue of this host's share is expected to be drained.
    pub(super) fn queue_drained_at(&self, now: Time) -> Time {
        let figures = self.own_load.1.iter();
        let wait = figures.map(|figure| u64::from(figure.wait_us)).max().unwrap_or(0);
        now.after_us(wait).max(now.after_ms(DRAIN_MS))
    }

    /// Pushes a message unless the receiver is gone.
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

/// Lowest HTTP status that speaks of the back end rather than of the request.
const SERVER_ERROR: u16 = 500;

/// Returns the tasks of a run that are with a placer.
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
