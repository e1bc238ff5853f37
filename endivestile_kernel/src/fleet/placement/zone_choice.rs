//! Choice of a zone for a job: its own, or another one where it is expected to end sooner.
//!
//! Answers demand that differs between zones and changes within seconds, and callers that move
//! to another zone: the zone that they move to queues and rejects jobs while workers of the
//! zone that they left are idle.
//!
//! A zone rejected 3,580 of 15,800 jobs in 10 s in which its neighbour rejected 142 of 12,100:
//! owners forward only single tasks, and only after these have queued.

/// Share of a zone's room that jobs of other zones may use together before the next report.
/// The rest is kept for the zone's own demand, which can double by then.
const SHARED_PART: f64 = 0.5;
/// Time until the next report of another zone, in seconds: the heartbeat interval between zones.
pub(crate) const REPORT_INTERVAL_S: f64 = 0.3;
/// Time that a job takes longer in another zone because of the way there and back, in
/// milliseconds: two transits of up to 1.4 ms, and the flush delays of both hosts.
const TRANSIT_MS: f64 = 5.0;
/// Additional gain for which a kibibyte of a job's description is sent to another zone, in
/// milliseconds. At the slowest link of the users, 19 Mbit/s, it occupies two links for 0.9 ms
/// in all; more than that, because bytes between zones are expensive.
const MS_PER_KIB: f64 = 2.0;
/// Part of a job's slack that it has to gain before sending starts. A shorter queue costs no
/// job its objective.
pub(crate) const START_PART: f64 = 0.5;
/// Part of a job's slack that it has to gain once jobs are being sent; below
/// [`START_PART`], so that a zone whose queue drains a little does not take turns with another.
pub(crate) const CONTINUE_PART: f64 = 0.25;
/// Least gain, in milliseconds; the figures of a zone are not more exact than that.
const MIN_GAIN_MS: f64 = 20.0;

/// The figures of a job's own zone, for the job's service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HomeZone {
    /// Tasks for which there is free capacity.
    pub free: u32,
    /// Queued tasks.
    pub waiting: u32,
    /// Tasks that this host has sent there since the reports.
    pub sent: u32,
    /// Change of the free less the waiting tasks in the last second.
    pub trend: f64,
    /// Tasks per second that the zone's workers can end; 0 if unknown.
    pub tasks_per_s: f64,
    /// Whether jobs are being sent away, which takes less gain than starting to.
    pub sending: bool,
}

/// The figures of another zone, for the job's service, from the owners there whose reports
/// are recent.
///
/// A zone has room while its queue is too short to cost its own jobs their objective, not only
/// while it has free capacity: single tasks that are forwarded take that within milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OtherZone {
    /// Tasks for which there is free capacity.
    pub free: u32,
    /// Queued tasks.
    pub waiting: u32,
    /// Tasks that this host has sent there since the reports.
    pub sent: u32,
    /// Change of the free less the waiting tasks in the last second.
    pub trend: f64,
    /// Tasks that this host may send because it sent about as many before the reports, and the
    /// figures already show their effect.
    pub carry: f64,
    /// Tasks per second that the workers of these owners can end.
    pub tasks_per_s: f64,
    /// Wait in its queue up to which it takes jobs of other zones, in milliseconds; below the
    /// wait at which it sends its own jobs away.
    pub limit_ms: f64,
    /// Age of the oldest report, in milliseconds.
    pub age_ms: u32,
    /// This host's share of what all hosts may send there, 0 to 1.
    pub share: f64,
    /// Factor by which the job's tasks take longer there than in their own zone.
    pub run_factor: f64,
}

/// What the choice depends on of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct JobShape {
    /// Number of tasks.
    pub tasks: u32,
    /// Expected run time of its critical path, in milliseconds.
    pub run_ms: f64,
    /// Time between the end of that path and its objective, in milliseconds.
    pub slack_ms: f64,
    /// Time until its caller's deadline, in milliseconds.
    pub left_ms: f64,
    /// Size of its description, in bytes.
    pub bytes: u32,
    /// Number from 0 to 1 (exclusive), from the hash of its id, that selects jobs to send.
    pub draw: f64,
    /// Tasks that arrive at this host between two reports of another zone.
    pub arriving: f64,
    /// Whether an owner of its own zone returned it because it cannot end it in time.
    pub returned: bool,
}

/// Why a job stays in its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StayReason {
    /// Its zone has free capacity, or a queue that costs no job its objective.
    ShortQueue,
    /// It would not end clearly sooner elsewhere.
    NoGain,
    /// No other zone has room for jobs of this host.
    NoRoom,
    /// Other jobs of this host use that room.
    NotDrawn,
}

/// Where a job goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ZoneVerdict {
    /// It stays in its own zone; if it was returned, its caller is answered.
    Stay(StayReason),
    /// It is sent to another zone.
    Send {
        /// Position of the zone in the list of other zones.
        zone: usize,
        /// How much sooner it is expected to end there, in milliseconds.
        gain_ms: f64,
    },
}

impl HomeZone {
    /// Returns how long a task that is queued now waits, in milliseconds.
    ///
    /// While there is a queue, the growth that the last second shows is added up to the next
    /// report: jobs are sent away as it forms. A zone with free capacity has no wait, whatever
    /// its trend.
    pub fn wait_ms(&self) -> f64 {
        let queue = f64::from(self.waiting) + f64::from(self.sent) - f64::from(self.free);
        if queue <= 0.0 || self.tasks_per_s <= 0.0 {
            return 0.0;
        }
        let growth = growth_per_s(self.trend, self.tasks_per_s) * REPORT_INTERVAL_S;
        (queue + growth) / self.tasks_per_s * 1_000.0
    }
}

impl OtherZone {
    /// Returns the tasks that are queued when the next report is due, as far as the reports
    /// show; negative if there is free capacity.
    ///
    /// Growth counts, a shrinking queue does not: the latter may be the effect of tasks that
    /// are on their way.
    fn queue(&self) -> f64 {
        let until_report_s = f64::from(self.age_ms) / 1_000.0 + REPORT_INTERVAL_S;
        let growth = growth_per_s(self.trend, self.tasks_per_s) * until_report_s;
        f64::from(self.waiting) - f64::from(self.free) + growth
    }

    /// Returns how long a task that is queued there now waits, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        let queue = (self.queue() + f64::from(self.sent)).max(0.0);
        if self.tasks_per_s > 0.0 { queue / self.tasks_per_s * 1_000.0 } else { 0.0 }
    }

    /// Returns when a job ends that is sent there now, in milliseconds from now.
    fn end_ms(&self, job: &JobShape) -> f64 {
        let bytes_ms = f64::from(job.bytes) / 1_024.0 * MS_PER_KIB;
        self.wait_ms() + job.run_ms * self.run_factor + TRANSIT_MS + bytes_ms
    }

    /// Returns how many more tasks this host may send there before the next report, if they may
    /// wait for `wait_ms` milliseconds.
    ///
    /// All hosts decide on the same reports, so each uses only its share. As long as the queue
    /// is shorter than the limit, a host sends more than before, and less while it is longer.
    pub fn allowance(&self, wait_ms: f64) -> f64 {
        let limit = self.tasks_per_s * wait_ms.clamp(0.0, self.limit_ms) / 1_000.0;
        let more = (limit - self.queue()) * SHARED_PART * self.share;
        self.carry + more - f64::from(self.sent)
    }
}

/// Chooses the zone of a job: its own, or one of the others.
pub fn choose_zone(home: &HomeZone, others: &[OtherZone], job: &JobShape) -> ZoneVerdict {
    if job.returned {
        return choose_for_returned(others, job);
    }
    let wait_ms = home.wait_ms();
    let needed_ms = (job.slack_ms * gain_part(home.sending)).max(MIN_GAIN_MS);
    if wait_ms < needed_ms {
        return ZoneVerdict::Stay(StayReason::ShortQueue);
    }
    let mut reason = StayReason::NoRoom;
    let mut drawn = 0.0;
    for (zone, other) in others.iter().enumerate() {
        // Sending ends where the job no longer gains.
        let allowance = other.allowance(wait_ms - needed_ms);
        if allowance <= 0.0 {
            continue;
        }
        let gain_ms = wait_ms + job.run_ms - other.end_ms(job);
        if gain_ms < needed_ms {
            reason = StayReason::NoGain;
            continue;
        }
        // The same draw selects the same part of a host's jobs, and no job for two zones.
        drawn += allowance / job.arriving.max(f64::from(job.tasks)).max(1.0);
        if job.draw < drawn {
            return ZoneVerdict::Send { zone, gain_ms };
        }
        reason = StayReason::NotDrawn;
    }
    ZoneVerdict::Stay(reason)
}

/// Chooses the zone where a job ends first that its own zone has rejected.
///
/// No share of the other zone's room limits it: the job has no end in its own zone, and an owner
/// that cannot end it either rejects it at once.
fn choose_for_returned(others: &[OtherZone], job: &JobShape) -> ZoneVerdict {
    let gains = others.iter().enumerate().filter(|(_, other)| other.tasks_per_s > 0.0);
    let gains = gains.map(|(zone, other)| (zone, job.left_ms - other.end_ms(job)));
    match gains.max_by(|one, other| one.1.total_cmp(&other.1)) {
        None => ZoneVerdict::Stay(StayReason::NoRoom),
        Some((_, gain_ms)) if gain_ms < MIN_GAIN_MS => ZoneVerdict::Stay(StayReason::NoGain),
        Some((zone, gain_ms)) => ZoneVerdict::Send { zone, gain_ms },
    }
}

/// Returns by how many tasks per second a zone's queue grows, given the change of its free less
/// its waiting tasks in the last second.
///
/// Bounded by a demand of one and a half times the capacity: a larger change of the figure is
/// that of a task's usual size, in which free capacity is counted.
fn growth_per_s(trend: f64, tasks_per_s: f64) -> f64 {
    (-trend).clamp(0.0, tasks_per_s / 2.0)
}

/// Returns the part of a job's slack that it has to gain.
fn gain_part(sending: bool) -> f64 {
    if sending { CONTINUE_PART } else { START_PART }
}
