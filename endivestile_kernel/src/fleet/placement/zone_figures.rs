//! What a host knows of the load of each zone, and the choice of a zone on it.
//!
//! The sums by zone are updated when a report arrives: hosts with a tenth of a core accept
//! far more jobs than reports, and must not add up reports for each job.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::job::Job;
use crate::fleet::lag::overloaded;
use crate::fleet::msg::HostReport;
use crate::fleet::placement::zone_choice::{
    CONTINUE_PART, HomeZone, JobShape, OtherZone, REPORT_INTERVAL_S, START_PART, ZoneVerdict,
    choose_zone,
};
use crate::{Peer, Time};

/// Age from which on a report no longer counts, in milliseconds: two heartbeats between zones,
/// and equal to the time without a frame after which a host is unreachable.
const REPORT_VALID_MS: u64 = 600;
/// Time for which an owner whose figure proved wrong gets no job, in milliseconds.
const EXCLUDED_MS: u64 = 1_000;
/// Weight of one job in the usual job of its service.
const USUAL_WEIGHT: f64 = 0.05;
/// Part of the flow of jobs to an owner that continues from report to report. The rest ends by
/// itself, so that the flows of hosts that no longer need it make way for others.
const CARRIED_PART: f64 = 0.8;
/// Part of the workers' processor time that tasks of the usual size can use: the rest of each
/// worker is too small for another task.
const PACKED_PART: f64 = 0.8;

/// What is known of a zone apart from its owners' reports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneLayout {
    /// Number of hosts.
    pub hosts: u32,
    /// Number of hosts that own workers.
    pub owners: u32,
    /// Processor time of the workers by service, in thousandths of a core.
    pub cpu_milli: BTreeMap<Name, u64>,
    /// Labels of the workers.
    pub labels: BTreeSet<Name>,
}

/// An owner to which a job is sent in another zone, and the figures behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneChoice {
    /// The owner.
    pub owner: Peer,
    /// Its zone.
    pub zone: Name,
    /// Figures of the job's own zone.
    pub home: HomeZone,
    /// Age of the oldest report of the job's own zone, in milliseconds.
    pub home_age_ms: u32,
    /// Figures of the other zone.
    pub other: OtherZone,
    /// How much sooner the job is expected to end there, in milliseconds.
    pub gain_ms: f64,
}

/// Figures of one service: of an owner, or the sum of a zone.
#[derive(Debug, Clone, Copy, Default)]
struct Figure {
    free: u32,
    waiting: u32,
    sent: u32,
    trend: f64,
    /// Tasks that this host sent in about the last second before the report.
    flow: f64,
    /// Tasks of that flow that may be sent again before the next report.
    carry: f64,
}

/// The latest report of an owner.
#[derive(Debug)]
struct Reporter {
    at: Time,
    overloaded: bool,
    excluded_until: Time,
    figures: BTreeMap<Name, Figure>,
}

/// The reports and their sums of one zone.
#[derive(Debug, Default)]
struct Zone {
    layout: ZoneLayout,
    reporters: BTreeMap<Peer, Reporter>,
    sums: BTreeMap<Name, Figure>,
    /// Number of reporters in the sums.
    counted: u32,
    /// Time of the oldest report in the sums.
    oldest: Time,
}

/// The usual job of a service among those that callers submit here.
#[derive(Debug, Clone, Copy)]
struct Usual {
    task_ms: f64,
    cpu_milli: f64,
    slack_ms: f64,
    /// Tasks that arrived within about the last second.
    tasks: f64,
    updated: Time,
    /// Whether jobs are being sent away.
    sending: bool,
}

/// The load of all zones as one host knows it.
#[derive(Debug, Default)]
pub struct ZoneFigures {
    zones: BTreeMap<Name, Zone>,
    usual: BTreeMap<Name, Usual>,
}

impl ZoneFigures {
    /// Replaces what is known of the zones, and drops outdated reports.
    pub fn set_layouts(&mut self, now: Time, layouts: BTreeMap<Name, ZoneLayout>) {
        for (name, layout) in layouts {
            self.zones.entry(name).or_default().layout = layout;
        }
        for zone in self.zones.values_mut() {
            zone.reporters.retain(|_, it| it.at.after_ms(REPORT_VALID_MS) > now);
        }
    }

    /// Stores the report of an owner; a report of a host without workers removes its former one.
    pub fn record_report(&mut self, now: Time, from: &Peer, report: &HostReport, home: &Name) {
        if report.pools == 0 {
            return self.forget(now, from, &report.zone, home);
        }
        let zone = self.zones.entry(report.zone.clone()).or_default();
        let old = zone.reporters.remove(from);
        let gap_s = old.as_ref().map_or(0.0, |old| now.since(old.at).as_secs_f64().min(1.0));
        let figures = report.capacity.iter().map(|load| {
            let before = old.as_ref().and_then(|old| old.figures.get(&load.service));
            let figure = Figure { free: load.free, waiting: load.waiting, ..Figure::default() };
            (load.service.clone(), before.map_or(figure, |before| figure.after(before, gap_s)))
        });
        let reporter = Reporter {
            at: now,
            overloaded: overloaded(report.lag_ms),
            excluded_until: old.as_ref().map_or(Time::ZERO, |old| old.excluded_until),
            figures: figures.collect(),
        };
        zone.reporters.insert(from.clone(), reporter);
        zone.add_up(now, report.zone == *home);
    }

    /// Drops the report of a host that is unreachable or owns no workers.
    pub(crate) fn forget(&mut self, now: Time, from: &Peer, zone: &Name, home: &Name) {
        if let Some(state) = self.zones.get_mut(zone)
            && state.reporters.remove(from).is_some()
        {
            state.add_up(now, zone == home);
        }
    }

    /// Records tasks that were sent to an owner.
    pub fn record_sent(&mut self, owner: &Peer, zone: &str, service: &Name, tasks: u32) {
        let Some(zone) = self.zones.get_mut(zone) else { return };
        let reporter = zone.reporters.get_mut(owner);
        let row = reporter.and_then(|reporter| reporter.figures.get_mut(service));
        for figure in row.into_iter().chain(zone.sums.get_mut(service)) {
            figure.sent += tasks;
        }
    }

    /// Excludes an owner of another zone whose figure proved wrong.
    pub fn exclude(&mut self, now: Time, owner: &Peer, zone: &str) {
        let Some(zone) = self.zones.get_mut(zone) else { return };
        if let Some(reporter) = zone.reporters.get_mut(owner) {
            reporter.excluded_until = now.after_ms(EXCLUDED_MS);
            zone.add_up(now, false);
        }
    }

    /// Records a job that a caller submitted to this host.
    pub fn record_job(&mut self, now: Time, job: &Job) {
        let tasks = job.tasks().max(1) as f64;
        let weighted = |value: fn(&crate::fleet::job::Step) -> u32| {
            let sum = job.steps.iter().map(|it| f64::from(value(it)) * f64::from(it.count));
            sum.sum::<f64>() / tasks
        };
        let task_ms = weighted(|step| step.estimate_ms).max(1.0);
        let cpu_milli = weighted(|step| step.need.cpu_milli).max(1.0);
        let slack_ms = slack_ms(job, job.critical_path_ms() as f64);
        let first =
            Usual { task_ms, cpu_milli, slack_ms, tasks: 0.0, updated: now, sending: false };
        let usual = self.usual.entry(job.service.clone()).or_insert(first);
        // A job counts with its tasks: the queue consists of tasks.
        let weight = (USUAL_WEIGHT * tasks / 4.0).min(0.5);
        usual.task_ms += weight * (task_ms - usual.task_ms);
        usual.cpu_milli += weight * (cpu_milli - usual.cpu_milli);
        usual.slack_ms += USUAL_WEIGHT * (slack_ms - usual.slack_ms);
        let kept = 1.0 - now.since(usual.updated).as_secs_f64().min(1.0);
        usual.tasks = usual.tasks * kept + tasks;
        usual.updated = now;
    }

    /// Returns whether an owner of a zone has reported recently.
    pub(crate) fn has_owner(&self, now: Time, zone: &str) -> bool {
        let reporters = self.zones.get(zone).into_iter().flat_map(|zone| zone.reporters.values());
        reporters.into_iter().any(|reporter| reporter.at.after_ms(REPORT_VALID_MS) > now)
    }

    /// Returns the owner in another zone that a job is sent to, if it should leave its own.
    ///
    /// `remote_factor` is the factor by which a task's run time grows on a worker without its
    /// data; `returned` says that an owner of the job's own zone cannot end it in time; zones
    /// that are not `open` take no jobs.
    pub fn choose(
        &mut self,
        now: Time,
        home: &Name,
        job: &Job,
        remote_factor: f64,
        returned: bool,
        open: impl Fn(&str) -> bool,
    ) -> Option<ZoneChoice> {
        let service = &job.service;
        let (home_figures, home_age_ms) = self.home(now, home, service)?;
        if !returned && home_figures.wait_ms() == 0.0 {
            return None;
        }
        let usual = self.usual.get(service)?;
        let run_ms = job.critical_path_ms() as f64;
        let shape = JobShape {
            tasks: job.tasks() as u32,
            run_ms,
            slack_ms: slack_ms(job, run_ms),
            left_ms: job.deadline.since(now).as_secs_f64() * 1_000.0,
            bytes: job.spec.len() as u32,
            // A job that is returned is drawn again, independently.
            draw: draw(&job.id, u64::from(returned)),
            arriving: usual.tasks * REPORT_INTERVAL_S,
            returned,
        };
        let senders = self.senders(now, home, service);
        let mut names: Vec<Name> = Vec::new();
        let mut others: Vec<OtherZone> = Vec::new();
        for (name, zone) in &mut self.zones {
            if name == home || !open(name) {
                continue;
            }
            zone.drop_outdated(now);
            let Some(sum) = zone.sums.get(service).filter(|_| zone.can_run(job)) else { continue };
            names.push(name.clone());
            // A host without workers hears of one owner of the zone, but so do the others: an
            // owner's capacity is divided among those that hear of it.
            let heard = f64::from(zone.layout.owners.max(zone.counted)) / f64::from(zone.counted);
            let cpu = zone.layout.cpu_milli.get(service).copied().unwrap_or(0);
            others.push(OtherZone {
                tasks_per_s: usual.tasks_per_s(cpu) / heard,
                limit_ms: usual.slack_ms * START_PART,
                free: sum.free,
                waiting: sum.waiting,
                sent: sum.sent,
                trend: sum.trend,
                carry: sum.carry,
                age_ms: age_ms(now, zone.oldest),
                share: (heard / f64::from(senders.max(1))).min(1.0),
                run_factor: 1.0,
            });
        }
        for (name, other) in names.iter().zip(&mut others) {
            other.run_factor = self.run_factor(home, name, job, remote_factor);
        }
        let ZoneVerdict::Send { zone, gain_ms } = choose_zone(&home_figures, &others, &shape)
        else {
            return None;
        };
        let owner = self.zones.get(&names[zone])?.draw_owner(now, service, &job.id)?;
        let (zone, other) = (names[zone].clone(), others[zone]);
        Some(ZoneChoice { owner, zone, home: home_figures, home_age_ms, other, gain_ms })
    }

    /// Returns the figures of the job's own zone with the age of the oldest report, and updates
    /// whether jobs are being sent away.
    fn home(&mut self, now: Time, home: &Name, service: &Name) -> Option<(HomeZone, u32)> {
        let zone = self.zones.get_mut(home)?;
        zone.drop_outdated_home(now);
        let sum = zone.sums.get(service)?;
        let usual = self.usual.get_mut(service)?;
        let cpu = zone.layout.cpu_milli.get(service).copied().unwrap_or(0);
        let mut figures = HomeZone {
            free: sum.free,
            waiting: sum.waiting,
            sent: sum.sent,
            trend: sum.trend,
            tasks_per_s: usual.tasks_per_s(cpu),
            sending: usual.sending,
        };
        let wait_ms = figures.wait_ms();
        let part = if usual.sending { CONTINUE_PART } else { START_PART };
        usual.sending = wait_ms >= usual.slack_ms * part;
        figures.sending = usual.sending;
        Some((figures, age_ms(now, zone.oldest)))
    }

    /// Returns the number of hosts that may send jobs to another zone now: those of this zone
    /// and of the zones that report a queue.
    fn senders(&self, now: Time, home: &Name, service: &Name) -> u32 {
        let queues = |zone: &Zone| {
            let fresh = zone.oldest.after_ms(REPORT_VALID_MS) > now;
            fresh && zone.sums.get(service).is_some_and(|sum| sum.waiting > sum.free)
        };
        let sending = self.zones.iter().filter(|(name, zone)| *name == home || queues(zone));
        sending.map(|(_, zone)| zone.layout.hosts).sum()
    }

    /// Returns the factor by which a job takes longer in another zone, because its data is near
    /// workers of its own zone only. The opposite case counts as no difference: the workers near
    /// its data may be the busy ones.
    fn run_factor(&self, home: &Name, other: &Name, job: &Job, remote_factor: f64) -> f64 {
        let has = |zone: &Name, label: &Name| {
            self.zones.get(zone).is_some_and(|zone| zone.layout.labels.contains(label))
        };
        let mut near = job.steps.iter().filter_map(|step| step.near_label.as_ref());
        let farther = near.any(|label| has(home, label) && !has(other, label));
        if farther { remote_factor.max(1.0) } else { 1.0 }
    }
}

impl Figure {
    /// Returns the figure with what the one before it, `gap_s` seconds earlier, says about the
    /// last second.
    fn after(mut self, before: &Self, gap_s: f64) -> Self {
        let spare = |figure: &Self| f64::from(figure.free) - f64::from(figure.waiting);
        let kept = 1.0 - gap_s;
        self.trend = before.trend * kept + spare(&self) - spare(before);
        self.flow = before.flow * kept + f64::from(before.sent);
        self.carry = self.flow * REPORT_INTERVAL_S * CARRIED_PART;
        self
    }
}

impl Usual {
    /// Returns the tasks per second that workers with this processor time, in thousandths of a
    /// core, can end.
    fn tasks_per_s(&self, cpu_milli: u64) -> f64 {
        cpu_milli as f64 * PACKED_PART / self.cpu_milli / self.task_ms * 1_000.0
    }
}

impl Zone {
    /// Adds up the recent reports. Owners of another zone that are overloaded or excluded do not
    /// count; in the own zone, only the free capacity of an overloaded owner does not.
    fn add_up(&mut self, now: Time, home: bool) {
        self.sums.clear();
        self.counted = 0;
        self.oldest = Time::NEVER;
        for reporter in self.reporters.values() {
            if !(reporter.fresh(now) && (home || reporter.offers(now))) {
                continue;
            }
            self.counted += 1;
            self.oldest = self.oldest.min(reporter.at);
            for (service, figure) in &reporter.figures {
                let sum = self.sums.entry(service.clone()).or_default();
                sum.free += if reporter.overloaded { 0 } else { figure.free };
                sum.waiting += figure.waiting;
                sum.sent += figure.sent;
                sum.trend += figure.trend;
                sum.carry += figure.carry;
            }
        }
    }

    /// Adds up again if one of the reports in the sums has become too old.
    fn drop_outdated(&mut self, now: Time) {
        if self.oldest.after_ms(REPORT_VALID_MS) <= now {
            self.add_up(now, false);
        }
    }

    fn drop_outdated_home(&mut self, now: Time) {
        if self.oldest.after_ms(REPORT_VALID_MS) <= now {
            self.add_up(now, true);
        }
    }

    /// Returns whether the zone has workers with the labels that a job requires.
    fn can_run(&self, job: &Job) -> bool {
        let mut required = job.steps.iter().filter_map(|step| step.required_label.as_ref());
        required.all(|label| self.layout.labels.contains(label))
    }

    /// Draws an owner for a job, weighted by how much more capacity it has to spare than the one
    /// with the least.
    fn draw_owner(&self, now: Time, service: &Name, job: &Name) -> Option<Peer> {
        let offers = self.reporters.iter().filter(|(_, it)| it.fresh(now) && it.offers(now));
        let spare = offers.filter_map(|(peer, reporter)| {
            let it = reporter.figures.get(service)?;
            Some((peer, f64::from(it.free) - f64::from(it.waiting) - f64::from(it.sent)))
        });
        let mut spare: Vec<(&Peer, f64)> = spare.collect();
        let least = spare.iter().map(|(_, spare)| *spare).fold(f64::INFINITY, f64::min);
        spare.iter_mut().for_each(|(_, spare)| *spare += 1.0 - least);
        let total: f64 = spare.iter().map(|(_, spare)| spare).sum();
        let mut rest = draw(job, 2) * total;
        for (peer, part) in &spare {
            if rest < *part {
                return Some((*peer).clone());
            }
            rest -= part;
        }
        spare.last().map(|(peer, _)| (*peer).clone())
    }
}

impl Reporter {
    fn fresh(&self, now: Time) -> bool {
        self.at.after_ms(REPORT_VALID_MS) > now
    }

    /// Returns whether the owner may get jobs of other zones.
    fn offers(&self, now: Time) -> bool {
        !self.overloaded && self.excluded_until <= now
    }
}

/// Returns the time between the end of a job's critical path and its objective, in milliseconds.
fn slack_ms(job: &Job, path_ms: f64) -> f64 {
    let stretch = f64::from(job.stretch_milli.saturating_sub(1_000)) / 1_000.0;
    path_ms * stretch + f64::from(job.allowance_ms)
}

/// Returns a number from 0 to 1 (exclusive) for a job.
fn draw(id: &Name, attempt: u64) -> f64 {
    (xxh3_64_with_seed(id.as_bytes(), attempt) >> 11) as f64 / (1_u64 << 53) as f64
}

fn age_ms(now: Time, at: Time) -> u32 {
    now.since(at).as_millis() as u32
}
