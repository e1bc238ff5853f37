//! Assignment of callers' jobs to owners, and the answers to callers.

use std::collections::BTreeMap;
use std::sync::Arc;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::core::{Fleet, FleetEffect};
use crate::fleet::front::retryable;
use crate::fleet::job::{Job, JobEnd, Reason};
use crate::fleet::lag::overloaded;
use crate::fleet::leases::LostOwner;
use crate::fleet::metrics::{Count, Span};
use crate::fleet::msg::{HostReport, JobMsg, NOTICE_VERSION};
use crate::fleet::placement::two_choices::TwoChoices;
use crate::fleet::placement::zone_figures::{ZoneChoice, ZoneLayout};
use crate::fleet::scheduler::RETRY_AFTER_MS;
use crate::{CallId, Level, Note, Peer, Time};

/// Time without a frame after which a host counts as unreachable, in milliseconds: five
/// heartbeats.
pub(crate) const UNREACHABLE_MS: u64 = 600;
/// Retry delay for callers while every zone is evacuated, in milliseconds. Longer than the
/// default because operators end evacuations by hand.
const EVACUATED_RETRY_MS: u64 = 5_000;

impl Fleet {
    /// Accepts a job from a caller and assigns it to an owner.
    pub(crate) fn submit_call(&mut self, now: Time, call: CallId, job: Job) {
        if self.balances_zones() {
            self.front.zones.record_job(now, &job);
        }
        let serial = self.front.add(now, call, job);
        self.assign_job(now, serial);
    }

    /// Sends a job to an owner if one is reachable; otherwise the job waits for one.
    fn assign_job(&mut self, now: Time, serial: u64) {
        let Some(open) = self.front.open.get(&serial) else { return };
        let service = open.job.service.clone();
        if self.all_evacuated() {
            let retry = now.after_ms(EVACUATED_RETRY_MS);
            let end = JobEnd::NotRun { reason: Reason::Evacuated, retry };
            return self.answer(now, serial, end);
        }
        if let Some(owner) = self.choose_owner(now, &service, serial) {
            self.assign_to(now, serial, &owner);
        }
    }

    fn assign_to(&mut self, now: Time, serial: u64, owner: &Peer) {
        let notifies = self.reads_version(owner, NOTICE_VERSION);
        let Some((serial, job)) = self.front.assign(now, serial, owner, !notifies) else { return };
        if let Some(member) = self.members.get_mut(owner) {
            member.sent_tasks += job.tasks() as u32;
        }
        if self.balances_zones() {
            let zone = self.members.get(owner).map_or(&self.setup.zone, |member| &member.zone);
            self.front.zones.record_sent(owner, zone, &job.service, job.tasks() as u32);
        }
        self.log_sent(&job, owner, serial);
        self.out.push(FleetEffect::Count(Count::JobsSent));
        // Ahead of the job, so that its new owner does not start it without the evidence.
        if let Some(report) = self.scheduler.crashes.report(&job.id)
            && *owner != self.setup.me
        {
            self.deliver_job_msg(now, owner, JobMsg::Crashes(report));
        }
        self.deliver_job_msg(now, owner, JobMsg::Submit { serial, job, echo: Time::ZERO });
    }

    /// Returns whether jobs can be sent to a peer: it is reachable, owns workers and is not
    /// leaving.
    fn accepts_jobs(&self, now: Time, peer: &Peer) -> bool {
        if *peer == self.setup.me {
            return self.scheduler.has_open_workers() && !self.leaving;
        }
        let member = self.members.get(peer);
        member.is_some_and(|member| {
            member.is_reachable(now, UNREACHABLE_MS) && member.owns_workers() && !member.leaving
        })
    }

    /// Returns the owner to assign a job to: one of this zone's owners unless the job ends
    /// clearly sooner in another zone or, if none is reachable or the zone is evacuated, one of
    /// any zone that is not evacuated.
    fn choose_owner(&mut self, now: Time, service: &Name, serial: u64) -> Option<Peer> {
        if let Some(owner) = self.choose_other_zone(now, serial, false) {
            return Some(owner);
        }
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

    fn balances_zones(&self) -> bool {
        self.setup.policy.has(Mechanism::ZoneBalance)
    }

    /// Returns an owner in another zone if a job should leave its own zone: before it is sent
    /// to an owner for the first time, or when its owner `returned` it.
    fn choose_other_zone(&mut self, now: Time, serial: u64, returned: bool) -> Option<Peer> {
        if !self.balances_zones() || self.evacuations.contains(&self.setup.zone) {
            return None;
        }
        let open = self.front.open.get(&serial)?;
        // A job that may have run stays where its former owner's runs are stopped.
        if open.sent_away || open.may_have_run || (open.tries > 0 && !returned) {
            return None;
        }
        let job = open.job.clone();
        let evacuated = |zone: &str| self.evacuations.contains(zone);
        let (home, factor) = (&self.setup.zone, self.scheduler.remote_factor);
        let choice =
            self.front.zones.choose(now, home, &job, factor, returned, |zone| !evacuated(zone))?;
        if !self.accepts_jobs(now, &choice.owner) {
            return None;
        }
        self.front.open.get_mut(&serial)?.sent_away = true;
        self.out.push(FleetEffect::Count(Count::JobsSentAway));
        self.log_sent_away(&job, &choice, returned);
        Some(choice.owner)
    }

    /// Sends a job that its owner returned because it cannot end it in time to one other owner:
    /// in another zone or, if it comes back from there, in its own. Returns whether it did.
    fn assign_returned(&mut self, now: Time, serial: u64, end: &JobEnd) -> bool {
        let JobEnd::NotRun { reason, .. } = end else { return false };
        if !self.balances_zones() || !matches!(reason, Reason::NoRoom | Reason::Overload) {
            return false;
        }
        let Some(open) = self.front.open.get(&serial) else { return false };
        let (away, tries, may_have_run) = (open.sent_away, open.tries, open.may_have_run);
        let (former, service) = (open.assigned_to.clone(), open.job.service.clone());
        // A job that its own zone had returned was sent there without regard to the report.
        if let Some(former) = former.filter(|_| away && tries == 1)
            && let Some(member) = self.members.get(&former)
        {
            // Its report showed free capacity that it does not have.
            self.front.zones.exclude(now, &former, &member.zone);
        }
        if *reason != Reason::NoRoom || may_have_run {
            return false;
        }
        let owner = if !away {
            self.choose_other_zone(now, serial, true)
        } else if tries == 1 {
            let owners = self.reachable_owners(now, |zone| *zone == *self.setup.zone);
            self.better_of_two(&owners, &service, serial)
        } else {
            None
        };
        let Some(owner) = owner else { return false };
        self.assign_to(now, serial, &owner);
        true
    }

    /// Stores the report of an owner for the choice of a zone, with the times of its frame: the
    /// sender's clock, and this host's clock in the latest frame that the sender had received.
    pub(crate) fn record_zone_report(
        &mut self,
        now: Time,
        from: &Peer,
        report: &HostReport,
        frame: Option<(Time, Time)>,
    ) {
        if !self.balances_zones() {
            return;
        }
        let home = &self.setup.zone;
        if let Some((sent, echo)) = frame {
            let Some(member) = self.members.get(from) else { return };
            // The frame of another zone is not older than its echo. It may have been held up by
            // a network cut, and a later frame may have overtaken it.
            let delayed = report.zone != *home && echo.after_ms(UNREACHABLE_MS) <= now;
            if sent < member.peer_clock || delayed {
                return;
            }
            if member.leaving || !member.is_reachable(now, UNREACHABLE_MS) {
                return self.front.zones.forget(now, from, &report.zone, home);
            }
        }
        self.front.zones.record_report(now, from, report, home);
    }

    /// Counts each zone's hosts, owners and workers for the choice of a zone.
    pub(crate) fn update_zone_layouts(&mut self, now: Time) {
        if !self.balances_zones() {
            return;
        }
        let mut layouts: BTreeMap<Name, ZoneLayout> = BTreeMap::new();
        layouts.entry(self.setup.zone.clone()).or_default().hosts += 1;
        for member in self.members.all() {
            layouts.entry(member.zone.clone()).or_default().hosts += 1;
        }
        for (zone, owners) in self.pools.owners_by_zone() {
            layouts.entry(Name::from(zone)).or_default().owners = owners.len() as u32;
        }
        for (entry, _) in self.workers.iter().filter(|(entry, _)| !entry.leaving) {
            let layout = layouts.entry(entry.zone.clone()).or_default();
            let cpu = u64::from(entry.capacity.cpu_milli);
            *layout.cpu_milli.entry(entry.service.clone()).or_default() += cpu;
            layout.labels.extend(entry.labels.iter().cloned());
        }
        self.front.zones.set_layouts(now, layouts);
    }

    /// Returns whether a front has chosen this zone for its jobs: its own zone has owners, to
    /// which it would send them otherwise.
    fn chosen_by(&self, now: Time, front: &Peer) -> bool {
        let Some(member) = self.members.get(front).filter(|it| it.zone != self.setup.zone) else {
            return false;
        };
        let zone = &member.zone;
        !self.evacuations.contains(zone) && self.front.zones.has_owner(now, zone)
    }

    /// Returns the owners of workers in matching zones to which jobs can be sent, each with
    /// the number of its pools.
    fn reachable_owners(&self, now: Time, zone: impl Fn(&str) -> bool) -> BTreeMap<&Peer, u32> {
        let mut owners = self.pools.owners_in_zones(&zone);
        owners.retain(|owner, _| self.accepts_jobs(now, owner));
        // A host that got its pools by direct transfer is not in the ownership record yet.
        let in_zones = self.members.all().filter(|member| zone(&member.zone));
        for member in in_zones.filter(|member| self.accepts_jobs(now, &member.peer)) {
            owners.entry(&member.peer).or_insert(member.report.pools);
        }
        if self.accepts_jobs(now, &self.setup.me) {
            let pools = self.pools.owned(&self.setup.me).count() as u32;
            owners.entry(&self.setup.me).or_insert(pools);
        }
        owners
    }

    /// Draws two owners and returns the one with more spare capacity per pool; without
    /// [`Mechanism::TwoChoices`], the one drawn first.
    fn better_of_two(
        &self,
        owners: &BTreeMap<&Peer, u32>,
        service: &Name,
        serial: u64,
    ) -> Option<Peer> {
        let choice = TwoChoices::draw(owners, serial);
        let two = self.setup.policy.has(Mechanism::TwoChoices);
        let spare = |peer: &Peer| if two { self.spare_capacity(peer, service) } else { 0 };
        choice.less_loaded(spare).cloned()
    }

    /// Returns the free capacity of an owner less its queue and what was sent there since its
    /// last report; the minimum for an overloaded owner.
    fn spare_capacity(&self, peer: &Peer, service: &Name) -> i64 {
        let (report, sent) = match self.members.get(peer) {
            Some(member) => (&member.report, member.sent_tasks),
            None => (&self.report.1, 0),
        };
        if overloaded(report.lag_ms) {
            return i64::MIN;
        }
        let figure = report.capacity.iter().find(|figure| figure.service == *service);
        figure.map_or(0, |it| i64::from(it.free) - i64::from(it.waiting) - i64::from(sent))
    }

    /// Drops the job of a caller that disconnected or cancelled it, and cancels it at its
    /// owner.
    pub(crate) fn cancel_call(&mut self, now: Time, call: CallId) {
        let Some(serial) = self.front.serial_of(call) else { return };
        let Some(open) = self.front.end(serial) else { return };
        self.out.push(FleetEffect::Count(Count::CallersLeft));
        self.log_job(
            "caller_left",
            &open.job,
            &[("zone", self.setup.zone.to_string()), ("ms", ms(now, open.job.arrived))],
        );
        if let Some(owner) = open.assigned_to {
            self.deliver_job_msg(now, &owner, JobMsg::Cancel { serial });
        }
        self.apply_output(now);
    }

    /// Handles a message about a job.
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
                    if self.balances_zones() && self.chosen_by(now, from) {
                        let number = self.scheduler.by_sender.get(&(from.clone(), serial));
                        let state = number.and_then(|number| self.scheduler.jobs.get_mut(number));
                        state.into_iter().for_each(|state| state.keep_here = true);
                    }
                }
            }
            JobMsg::Cancel { serial } => self.scheduler.cancel(now, from, serial),
            JobMsg::Ended { serial, end } => {
                if self.front.open.contains_key(&serial) {
                    self.handle_job_end(now, serial, end);
                } else {
                    self.scheduler.handle_forward_end(now, from, serial, end);
                }
            }
            JobMsg::Crashes(report) => self.scheduler.merge_crashes(now, from, report),
            JobMsg::MayForward { serial } => {
                if self.front.note_forward(from, serial) {
                    self.deliver_job_msg(now, from, JobMsg::ForwardNoted { serial });
                }
            }
            JobMsg::ForwardNoted { serial } => self.scheduler.acknowledge_notice(from, serial),
        }
    }

    fn handle_job_end(&mut self, now: Time, serial: u64, end: JobEnd) {
        if retryable(&end) {
            let may_have_run = !matches!(end, JobEnd::NotRun { .. });
            self.front.unassign(now, serial, may_have_run);
            return;
        }
        if !self.assign_returned(now, serial, &end) {
            self.answer(now, serial, end);
        }
    }

    /// Answers the caller of a job.
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
        self.log_job("job_answered", &open.job, &more);
        self.record_end(now, &open.job, end);
        self.out.push(FleetEffect::Answer { call: open.call, end });
    }

    fn record_end(&mut self, now: Time, job: &Job, end: JobEnd) {
        let (count, span) = match end {
            JobEnd::Done => (Count::JobsDone, Span::JobDone),
            JobEnd::Failed(_) => (Count::JobsFailed, Span::JobOther),
            JobEnd::NotRun { .. } => (Count::JobsRefused, Span::JobOther),
            JobEnd::Lost(_) => (Count::JobsLost, Span::JobOther),
        };
        let took = now.since(job.arrived).as_micros() as u64;
        self.out.extend([FleetEffect::Count(count), FleetEffect::Time(span, took)]);
    }

    /// Assigns jobs again that wait for an owner or whose owner was lost, the latter once no
    /// run of them can be in progress there.
    pub(crate) fn reassign_lost(&mut self, now: Time) {
        let serials: Vec<u64> = self.front.open.keys().copied().collect();
        for serial in serials {
            let Some(open) = self.front.open.get_mut(&serial) else { continue };
            let member = open.assigned_to.as_ref().and_then(|owner| self.members.get(owner));
            if let Some(last_frame) = member.and_then(|member| member.last_frame) {
                open.last_contact = open.last_contact.max(last_frame);
            }
            let (last_contact, assign_deadline) = (open.last_contact, open.assign_deadline);
            match open.assigned_to.clone() {
                None if assign_deadline <= now => {
                    let retry = now.after_ms(RETRY_AFTER_MS);
                    self.answer(now, serial, JobEnd::NotRun { reason: Reason::NoPlacer, retry });
                }
                None => self.assign_job(now, serial),
                Some(owner) if owner != self.setup.me => {
                    self.reassign(now, serial, &owner, last_contact)
                }
                Some(_) => {}
            }
        }
        self.apply_output(now);
    }

    /// Assigns a job again if its owner has been unreachable for so long that no run of the
    /// job can be in progress.
    fn reassign(&mut self, now: Time, serial: u64, lost: &Peer, last_contact: Time) {
        let leases = self.setup.leases();
        if last_contact.after_ms(leases.stopped_ms()) > now {
            return;
        }
        let successor =
            self.pools.sole_successor(lost).filter(|host| self.accepts_jobs(now, host)).cloned();
        let Some(open) = self.front.open.get(&serial) else { return };
        let may_forward = open.may_forward;
        let owner = LostOwner { last_contact, succeeded: successor.is_some(), may_forward };
        if !leases.may_reassign(now, owner) {
            return;
        }
        let job = open.job.clone();
        self.out.push(FleetEffect::Count(Count::PlacersLost));
        let more = [
            ("placer", lost.to_string()),
            ("successor", successor.as_ref().map_or(String::new(), ToString::to_string)),
            ("may_forward", may_forward.to_string()),
            ("silent_ms", ms(now, last_contact)),
        ];
        self.log_job("placer_lost", &job, &more);
        self.front.unassign(now, serial, true);
        match successor {
            Some(successor) => self.assign_to(now, serial, &successor),
            None => self.assign_job(now, serial),
        }
    }

    /// Answers callers whose deadline has passed without a result from the owner.
    pub(crate) fn expire_deadlines(&mut self, now: Time) {
        let past_deadline = |(serial, open): (&u64, &crate::fleet::front::OpenJob)| {
            (open.job.deadline <= now).then_some(*serial)
        };
        let serials: Vec<u64> = self.front.open.iter().filter_map(past_deadline).collect();
        for serial in serials {
            let owner = self.front.open.get(&serial).and_then(|open| open.assigned_to.clone());
            let retry = now.after_ms(RETRY_AFTER_MS);
            let end = match &owner {
                None => JobEnd::NotRun { reason: Reason::NoPlacer, retry },
                Some(_) => JobEnd::Lost(Reason::Deadline),
            };
            self.answer(now, serial, end);
            if let Some(owner) = owner {
                self.deliver_job_msg(now, &owner, JobMsg::Cancel { serial });
            }
        }
        self.apply_output(now);
    }

    fn log_sent(&mut self, job: &Arc<Job>, owner: &Peer, serial: u64) {
        let version = self.route_table.as_ref().map_or(0, |table| table.version);
        let more = [
            ("request", job.request.to_string()),
            ("route", job.route.to_string()),
            ("version", version.to_string()),
            ("placer", owner.to_string()),
            ("tasks", job.tasks().to_string()),
            ("serial", serial.to_string()),
        ];
        self.log_job("job_sent", job, &more);
    }

    fn log_sent_away(&mut self, job: &Job, choice: &ZoneChoice, returned: bool) {
        let (home, other) = (&choice.home, &choice.other);
        let more = [
            ("from", self.setup.zone.to_string()),
            ("to", choice.zone.to_string()),
            ("placer", choice.owner.to_string()),
            ("reason", if returned { "no_room" } else { "queue" }.to_owned()),
            ("gain_ms", format!("{:.0}", choice.gain_ms)),
            ("wait_ms", format!("{:.0}", home.wait_ms())),
            ("from_free", home.free.to_string()),
            ("from_waiting", home.waiting.to_string()),
            ("from_sent", home.sent.to_string()),
            ("from_trend", format!("{:.0}", home.trend)),
            ("from_age_ms", choice.home_age_ms.to_string()),
            ("to_free", other.free.to_string()),
            ("to_waiting", other.waiting.to_string()),
            ("to_sent", other.sent.to_string()),
            ("to_trend", format!("{:.0}", other.trend)),
            ("to_age_ms", other.age_ms.to_string()),
            ("share", format!("{:.3}", other.share)),
            ("bytes", job.spec.len().to_string()),
        ];
        self.log_job("job_sent_away", job, &more);
    }

    fn log_job(&mut self, event: &'static str, job: &Job, more: &[(&'static str, String)]) {
        let id = Some(job.id.clone());
        let note = Note { level: Level::Info, event, id, pairs: more.to_vec() };
        self.out.push(FleetEffect::Log(note));
    }
}

fn ms(now: Time, since: Time) -> String {
    now.since(since).as_millis().to_string()
}
