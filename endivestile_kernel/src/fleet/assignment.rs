//! Callers' jobs on their way to a placer and back.

use std::collections::BTreeMap;
use std::sync::Arc;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::core::{Fleet, FleetEffect};
use crate::fleet::front::retryable;
use crate::fleet::job::{Job, JobEnd, Reason};
use crate::fleet::lag::overloaded;
use crate::fleet::metrics::{Count, Span};
use crate::fleet::msg::JobMsg;
use crate::fleet::placement::two_choices::TwoChoices;
use crate::fleet::scheduler::RETRY_AFTER_MS;
use crate::{CallId, Level, Note, Peer, Time};

/// Silence after which a placer counts as lost, in milliseconds: five frames.
pub(crate) const UNREACHABLE_MS: u64 = 600;
/// Reserve over a host's lease before its tasks surely are stopped, in
/// milliseconds: the way of the stops.
const STOP_RESERVE_MS: u64 = 80;
/// When to come back after a refusal because every zone is being evacuated, in
/// milliseconds: operators take zones back by hand.
const EVACUATED_RETRY_MS: u64 = 5_000;

impl Fleet {
    pub(crate) fn submit_call(&mut self, now: Time, call: CallId, job: Job) {
        let serial = self.front.add(now, call, job);
        self.place(now, serial);
    }

    /// Sends a job to a placer if one is in reach; otherwise it waits.
    fn place(&mut self, now: Time, serial: u64) {
        let Some(open) = self.front.open.get(&serial) else { return };
        let service = open.job.service.clone();
        if self.all_evacuated() {
            let retry = now.after_ms(EVACUATED_RETRY_MS);
            let end = JobEnd::NotRun { reason: Reason::Evacuated, retry };
            return self.answer(now, serial, end);
        }
        if let Some(to) = self.placer(now, &service, serial) {
            self.place_at(now, serial, &to);
        }
    }

    fn place_at(&mut self, now: Time, serial: u64, to: &Peer) {
        let Some((serial, job)) = self.front.assign(now, serial, to) else { return };
        if let Some(member) = self.members.get_mut(to) {
            member.sent_tasks += job.tasks() as u32;
        }
        self.note_sent(&job, to, serial);
        self.out.push(FleetEffect::Count(Count::JobsSent));
        self.deliver_job_msg(now, to, JobMsg::Submit { serial, job, echo: Time::ZERO });
    }

    /// Returns whether a peer can be sent jobs: it is in reach, owns workers and goes on.
    fn places(&self, now: Time, peer: &Peer) -> bool {
        if *peer == self.setup.me {
            return self.scheduler.has_open_workers() && !self.leaving;
        }
        let member = self.members.get(peer);
        member.is_some_and(|member| {
            member.is_reachable(now, UNREACHABLE_MS) && member.owns_workers() && !member.leaving
        })
    }

    /// Returns the placer for a new job: an owner of this zone's workers unless the zone is
    /// being evacuated, or else any other that answers; of two, the one with more room.
    fn placer(&self, now: Time, service: &Name, serial: u64) -> Option<Peer> {
        let own = &self.setup.zone;
        if !self.evacuations.contains(own) {
            let owners = self.reachable_owners(now, |zone| *zone == **own);
            if !owners.is_empty() {
                return self.better_of_two(&owners, service, serial);
            }
        }
        let owners = self.reachable_owners(now, |zone| !self.evacuations.contains(zone));
        self.better_of_two(&owners, service, serial)
    }

    /// Returns the owners of some zones' workers that can be sent jobs, each with the number
    /// of its pools.
    fn reachable_owners(&self, now: Time, zone: impl Fn(&str) -> bool) -> BTreeMap<&Peer, u32> {
        let mut owners = self.pools.owners_in_zones(&zone);
        owners.retain(|owner, _| self.places(now, owner));
        // A host that has its pools by the word of one that stops stands in no record yet.
        let told = self.members.all().filter(|member| zone(&member.zone));
        for member in told.filter(|member| self.places(now, &member.peer)) {
            owners.entry(&member.peer).or_insert(member.report.pools);
        }
        if self.places(now, &self.setup.me) {
            let pools = self.pools.owned(&self.setup.me).count() as u32;
            owners.entry(&self.setup.me).or_insert(pools);
        }
        owners
    }

    fn better_of_two(
        &self,
        owners: &BTreeMap<&Peer, u32>,
        service: &Name,
        serial: u64,
    ) -> Option<Peer> {
        let choice = TwoChoices::draw(owners, serial);
        let two = self.setup.policy.has(Mechanism::TwoChoices);
        let spare = |peer: &Peer| if two { self.spare(peer, service) } else { 0 };
        choice.less_loaded(spare).cloned()
    }

    /// Returns the room that a placer has beyond what waits there and what was
    /// sent there since it told; the least of all for one that is late with its own work.
    fn spare(&self, peer: &Peer, service: &Name) -> i64 {
        let (report, sent) = match self.members.get(peer) {
            Some(member) => (&member.report, member.sent_tasks),
            None => (&self.report.1, 0),
        };
        if overloaded(report.lag_ms) {
            return i64::MIN;
        }
        let figure = report.capacity.iter().find(|figure| figure.service == *service);
        figure.map_or(0, |room| i64::from(room.free) - i64::from(room.waiting) - i64::from(sent))
    }

    pub(crate) fn cancel_call(&mut self, now: Time, call: CallId) {
        let Some(serial) = self.front.serial_of(call) else { return };
        let Some(open) = self.front.end(serial) else { return };
        self.out.push(FleetEffect::Count(Count::CallersLeft));
        self.note_job(
            "caller_left",
            &open.job,
            &[("zone", self.setup.zone.to_string()), ("ms", ms(now, open.job.arrived))],
        );
        if let Some(to) = open.assigned_to {
            self.deliver_job_msg(now, &to, JobMsg::Cancel { serial });
        }
        self.apply_output(now);
    }

    /// Takes in a message about a job.
    pub(crate) fn handle_job_msg(&mut self, now: Time, from: &Peer, msg: JobMsg) {
        match msg {
            JobMsg::Submit { serial, job, .. } => {
                let refused = self.leaving && *from != self.setup.me;
                if refused {
                    let reason = Reason::NoPlacer;
                    let end = JobEnd::NotRun { reason, retry: now.after_ms(RETRY_AFTER_MS) };
                    self.deliver_job_msg(now, from, JobMsg::Ended { serial, end });
                } else {
                    self.scheduler.submit(now, from, serial, job);
                }
            }
            JobMsg::Cancel { serial } => self.scheduler.cancel(now, from, serial),
            JobMsg::Ended { serial, end } => {
                if self.front.open.contains_key(&serial) {
                    self.job_ended(now, serial, end);
                } else {
                    self.scheduler.handle_forward_end(now, from, serial, end);
                }
            }
        }
    }

    fn job_ended(&mut self, now: Time, serial: u64, end: JobEnd) {
        if retryable(&end) {
            let touched = !matches!(end, JobEnd::NotRun { .. });
            self.front.unassign(now, serial, touched);
            return;
        }
        self.answer(now, serial, end);
    }

    fn answer(&mut self, now: Time, serial: u64, end: JobEnd) {
        let Some(open) = self.front.end(serial) else { return };
        let end = match end {
            JobEnd::NotRun { reason, .. } if open.may_have_run => JobEnd::Lost(reason),
            end => end,
        };
        let more = [
            ("end", end.label().to_owned()),
            ("reason", end.reason().map_or("", Reason::label).to_owned()),
            ("route", open.job.route.to_string()),
            ("placer", open.assigned_to.as_ref().map_or(String::new(), ToString::to_string)),
            ("tries", open.tries.to_string()),
            ("zone", self.setup.zone.to_string()),
            ("ms", ms(now, open.job.arrived)),
        ];
        self.note_job("job_answered", &open.job, &more);
        self.measure_end(now, &open.job, end);
        self.out.push(FleetEffect::Answer { call: open.call, end });
    }

    fn measure_end(&mut self, now: Time, job: &Job, end: JobEnd) {
        let (count, span) = match end {
            JobEnd::Done => (Count::JobsDone, Span::JobDone),
            JobEnd::Failed(_) => (Count::JobsFailed, Span::JobOther),
            JobEnd::NotRun { .. } => (Count::JobsRefused, Span::JobOther),
            JobEnd::Lost(_) => (Count::JobsLost, Span::JobOther),
        };
        let took = now.since(job.arrived).as_micros() as u64;
        self.out.extend([FleetEffect::Count(count), FleetEffect::Time(span, took)]);
    }

    /// Places jobs anew whose placer is lost, once nothing of them can run there.
    pub(crate) fn reassign_lost(&mut self, now: Time) {
        let serials: Vec<u64> = self.front.open.keys().copied().collect();
        for serial in serials {
            let Some(open) = self.front.open.get_mut(&serial) else { continue };
            let member = open.assigned_to.as_ref().and_then(|to| self.members.get(to));
            if let Some(heard) = member.and_then(|member| member.last_frame) {
                open.last_contact = open.last_contact.max(heard);
            }
            let (contact, patience) = (open.last_contact, open.assign_deadline);
            match open.assigned_to.clone() {
                None if patience <= now => {
                    let retry = now.after_ms(RETRY_AFTER_MS);
                    self.answer(now, serial, JobEnd::NotRun { reason: Reason::NoPlacer, retry });
                }
                None => self.place(now, serial),
                Some(to) if to != self.setup.me => self.replace(now, serial, &to, contact),
                Some(_) => {}
            }
        }
        self.apply_output(now);
    }

    /// Places a job anew whose placer has been silent for so long that
    /// everything it did for this host has ended.
    ///
    /// The peer stops what it runs for us when our frames stop reaching it; a
    /// peer that is frozen stops nothing, but the leases of its workers run out.
    /// A host that has taken over all workers of the peer need not wait for
    /// those: it stops everything there before it starts a job that was sent before.
    fn replace(&mut self, now: Time, serial: u64, lost: &Peer, last: Time) {
        let lease = self.setup.host_lease_ms + STOP_RESERVE_MS;
        if last.after_ms(lease) > now {
            return;
        }
        let lapsed = last.after_ms(lease + self.setup.worker_lease_ms) <= now;
        let successor =
            self.pools.sole_successor(lost).filter(|heir| self.places(now, heir)).cloned();
        let Some(open) = self.front.open.get(&serial) else { return };
        if successor.is_none() && !lapsed {
            return;
        }
        let job = open.job.clone();
        self.out.push(FleetEffect::Count(Count::PlacersLost));
        self.note_job("placer_lost", &job, &[("placer", lost.to_string())]);
        self.front.unassign(now, serial, true);
        match successor {
            Some(successor) => self.place_at(now, serial, &successor),
            None => self.place(now, serial),
        }
    }

    /// Answers callers whose deadline passes though their placer has not told.
    pub(crate) fn expire_deadlines(&mut self, now: Time) {
        let over = |(serial, open): (&u64, &crate::fleet::front::OpenJob)| {
            (open.job.deadline <= now).then_some(*serial)
        };
        let serials: Vec<u64> = self.front.open.iter().filter_map(over).collect();
        for serial in serials {
            let to = self.front.open.get(&serial).and_then(|open| open.assigned_to.clone());
            let retry = now.after_ms(RETRY_AFTER_MS);
            let end = match &to {
                None => JobEnd::NotRun { reason: Reason::NoPlacer, retry },
                Some(_) => JobEnd::Lost(Reason::Deadline),
            };
            self.answer(now, serial, end);
            if let Some(to) = to {
                self.deliver_job_msg(now, &to, JobMsg::Cancel { serial });
            }
        }
        self.apply_output(now);
    }

    fn note_sent(&mut self, job: &Arc<Job>, to: &Peer, serial: u64) {
        let version = self.route_table.as_ref().map_or(0, |table| table.version);
        let more = [
            ("request", job.request.to_string()),
            ("route", job.route.to_string()),
            ("version", version.to_string()),
            ("placer", to.to_string()),
            ("tasks", job.tasks().to_string()),
            ("serial", serial.to_string()),
        ];
        self.note_job("job_sent", job, &more);
    }

    fn note_job(&mut self, event: &'static str, job: &Job, more: &[(&'static str, String)]) {
        let id = Some(job.id.clone());
        let note = Note { level: Level::Info, event, id, pairs: more.to_vec() };
        self.out.push(FleetEffect::Log(note));
    }
}

fn ms(now: Time, since: Time) -> String {
    now.since(since).as_millis().to_string()
}
