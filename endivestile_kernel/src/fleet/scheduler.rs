//! The tasks and workers of one placer.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use endivestile_config::Policy;
use endivestile_config::model::Name;

use crate::fleet::admission::order::WaitingTask;
use crate::fleet::admission::queue::Queue;
use crate::fleet::admission::shedding::StartRates;
use crate::fleet::core::FleetSetup;
use crate::fleet::job::{Job, JobEnd, Reason, Step};
use crate::fleet::job_state::{JobState, TaskState};
use crate::fleet::lag::Lag;
use crate::fleet::metrics::{Count, Span};
use crate::fleet::msg::JobMsg;
use crate::fleet::placement::durations::Durations;
use crate::fleet::placement::health::Health;
use crate::fleet::workers::call::WorkerCall;
use crate::fleet::workers::driver::Driver;
use crate::fleet::workers::protocol::WorkerEntry;
use crate::fleet::workers::run::TaskRef;
use crate::{Level, Need, Note, Peer, Time};

/// Reserve before a caller's deadline within which the answer has to reach the
/// caller, in milliseconds.
const ANSWER_MS: u64 = 20;
/// When to come back after a refusal that no better time is known for, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;
/// Weight of one task in the mean of what tasks take.
const NEED_WEIGHT: f64 = 0.05;

/// What a scheduler wants done.
#[derive(Debug)]
pub(crate) enum Output {
    /// Call a worker.
    Call(WorkerCall),
    /// Tell a host about a job.
    Message(Peer, JobMsg),
    /// Write a log line.
    Log(Note),
    /// Count an event.
    Count(Count),
    /// Note how long something took, in microseconds.
    Time(Span, u64),
}

/// Room of another placer's workers, by its last word less what was forwarded since.
pub(crate) type PeerCapacity = BTreeMap<Name, u32>;

/// Places the tasks of jobs on the workers of the pools that this host owns.
#[derive(Debug)]
pub(crate) struct Scheduler {
    pub(crate) me: Peer,
    pub(crate) lease_ms: u64,
    /// How many times longer a task takes away from its data.
    pub(crate) remote_factor: f64,
    pub(crate) policy: Policy,
    pub(crate) drivers: BTreeMap<Name, Driver>,
    pub(crate) jobs: BTreeMap<u64, JobState>,
    pub(crate) by_sender: HashMap<(Peer, u64), u64>,
    pub(crate) by_name: HashMap<Name, u64>,
    pub(crate) deadlines: BTreeSet<(Time, u64)>,
    /// The pool that is about to go to another owner.
    pub(crate) transferring: Option<Name>,
    /// Zones in which nothing may be started.
    pub(crate) evacuated_zones: BTreeSet<Name>,
    /// Those of them in which runs of this host still go on.
    pub(crate) draining_zones: BTreeSet<Name>,
    pub(crate) queues: BTreeMap<Name, Queue>,
    pub(crate) peer_capacity: BTreeMap<Peer, PeerCapacity>,
    pub(crate) forwards: HashMap<u64, (Peer, TaskRef)>,
    pub(crate) durations: Durations,
    pub(crate) health: Health,
    pub(crate) usual_cpu: HashMap<Name, f64>,
    pub(crate) start_rates: StartRates,
    pub(crate) lag: Lag,
    pub(crate) dirty: bool,
    pub(crate) out: Vec<Output>,
    next_job: u64,
    next_forward: u64,
}

impl Scheduler {
    /// Starts without workers.
    pub(crate) fn new(setup: &FleetSetup) -> Self {
        let policy = setup.policy;
        Self {
            me: setup.me.clone(),
            lease_ms: setup.worker_lease_ms,
            remote_factor: f64::from(setup.remote_factor_milli) / 1_000.0,
            policy,
            drivers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            by_sender: HashMap::new(),
            by_name: HashMap::new(),
            deadlines: BTreeSet::new(),
            transferring: None,
            evacuated_zones: BTreeSet::new(),
            draining_zones: BTreeSet::new(),
            queues: BTreeMap::new(),
            peer_capacity: BTreeMap::new(),
            forwards: HashMap::new(),
            durations: Durations::new(policy),
            health: Health::new(policy),
            usual_cpu: HashMap::new(),
            start_rates: StartRates::default(),
            lag: Lag::default(),
            dirty: false,
            out: Vec::new(),
            next_job: 0,
            // Numbers of forwarded tasks never meet those of a front on the same host.
            next_forward: 1 << 63,
        }
    }

    /// Takes a job in.
    pub(crate) fn submit(&mut self, now: Time, from: &Peer, serial: u64, job: Arc<Job>) {
        let origin = (from.clone(), serial);
        if self.by_sender.contains_key(&origin) {
            return;
        }
        if let Some(reason) = self.refusal(now, &job) {
            let end = JobEnd::NotRun { reason, retry: now.after_ms(RETRY_AFTER_MS) };
            self.send_end(from, serial, end);
            return;
        }
        let number = self.next_job;
        self.next_job += 1;
        let objective = self.objective(&job);
        self.learn_need(&job);
        let name = job_name(&job);
        // A caller that lost its answer sends the job again, also to another
        // host. The earlier one is stopped first: two runs of one task at a
        // time would do its work twice at once.
        let earlier = self.by_name.insert(name, number);
        self.by_sender.insert(origin, number);
        self.deadlines.insert((job.deadline, number));
        let mut state = JobState::new(now, from.clone(), serial, job, objective);
        state.deferred = state.job.run_base > 0 && !state.job.forwarded && !self.cleared(now);
        self.jobs.insert(number, state);
        match earlier.filter(|earlier| self.jobs.contains_key(earlier)) {
            Some(earlier) => {
                self.log_job(Level::Info, "job_again", number, &[("before", earlier.to_string())]);
                self.close(now, earlier, JobEnd::Lost(Reason::Cancelled), false);
            }
            None => self.unblock(now, number),
        }
    }

    /// Returns why a job cannot be served.
    fn refusal(&self, now: Time, job: &Job) -> Option<Reason> {
        if !self.has_open_workers() {
            return Some(Reason::NoPlacer);
        }
        if job.deadline <= now.after_ms(ANSWER_MS) {
            return Some(Reason::Deadline);
        }
        let fits = |step: &Step, driver: &Driver| {
            driver.entry.service == job.service
                && has_capacity(&driver.entry.capacity, &step.need)
                && has_label(&driver.entry, step.required_label.as_ref())
        };
        let held = |open: bool| {
            let mut steps = job.steps.iter();
            steps.all(|step| {
                let mut drivers = self.drivers.values();
                drivers.any(|driver| !(open && driver.evacuated) && fits(step, driver))
            })
        };
        match (held(true), held(false)) {
            (true, _) => None,
            (false, true) => Some(Reason::Evacuated),
            (false, false) => Some(Reason::NoWorker),
        }
    }

    /// Returns until when a job's caller is served well.
    fn objective(&self, job: &Job) -> Time {
        let chain_us = self.critical_path_us(job);
        let stretched = chain_us * f64::from(job.stretch_milli) / 1_000.0;
        job.arrived.after_ms(u64::from(job.allowance_ms)).after_us(stretched as u64)
    }

    /// Returns the expected duration of the longest chain of steps, in microseconds.
    pub(crate) fn critical_path_us(&self, job: &Job) -> f64 {
        let mut ends: Vec<f64> = Vec::with_capacity(job.steps.len());
        for step in &job.steps {
            let before = step.after.iter().filter_map(|at| ends.get(usize::from(*at)));
            let start = before.copied().fold(0.0, f64::max);
            ends.push(start + self.durations.task_us(job, step.estimate_ms));
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    fn learn_need(&mut self, job: &Job) {
        let Some(step) = job.steps.first() else { return };
        let cpu = f64::from(step.need.cpu_milli.max(1));
        let usual = self.usual_cpu.entry(job.service.clone()).or_insert(cpu);
        *usual += NEED_WEIGHT * (cpu - *usual);
    }

    /// Takes in that nobody waits for a job any more.
    pub(crate) fn cancel(&mut self, now: Time, from: &Peer, serial: u64) {
        if let Some(&number) = self.by_sender.get(&(from.clone(), serial)) {
            self.close(now, number, JobEnd::Lost(Reason::Cancelled), false);
        } else {
            // Its end crossed the cancelling; the asking host may wait for this.
            self.send_end(from, serial, JobEnd::Lost(Reason::Cancelled));
        }
    }

    /// Stops all jobs of a host that cannot be heard any more: whoever waited
    /// there sends them again elsewhere, and they must not run twice at once.
    pub(crate) fn cancel_front(&mut self, now: Time, from: &Peer) {
        let of = |(number, state): (&u64, &JobState)| (state.sender == *from).then_some(*number);
        let numbers: Vec<u64> = self.jobs.iter().filter_map(of).collect();
        for number in numbers {
            self.close(now, number, JobEnd::Lost(Reason::PlacerLost), false);
        }
    }

    /// Ends all jobs because this host has lost its workers: their hosts place
    /// them anew as soon as nothing of them runs here.
    pub(crate) fn abort_jobs(&mut self, now: Time) {
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.close(now, number, JobEnd::Lost(Reason::PlacerLost), false);
        }
    }

    /// Ends a job: what waits is dropped, what runs is stopped. With `at_once` its host
    /// is told now, otherwise once nothing of it runs any more.
    pub(crate) fn close(&mut self, now: Time, number: u64, end: JobEnd, at_once: bool) {
        let Some(state) = self.jobs.get_mut(&number) else { return };
        if state.ending.is_none() {
            let started = state.started.is_some();
            state.ending = Some(end);
            self.stop_tasks(now, number);
            self.log_end(now, number, end, started);
        }
        let Some(state) = self.jobs.get_mut(&number) else { return };
        // The host that forwarded a task starts it anew when it hears of its end: not
        // before nothing of it runs here.
        let at_once = at_once && !(state.job.forwarded && state.busy());
        if at_once && !state.end_sent {
            state.end_sent = true;
            let (from, serial) = (state.sender.clone(), state.serial);
            self.send_end(&from, serial, end);
        }
        self.finish(now, number);
    }

    /// Gives up a job that cannot end before its deadline; its host is told at once.
    pub(crate) fn abandon_job(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get(&number) else { return };
        let retry = now.after_ms(RETRY_AFTER_MS);
        let end = if state.may_have_run() {
            JobEnd::Lost(Reason::Deadline)
        } else {
            JobEnd::NotRun { reason: Reason::Overload, retry }
        };
        self.close(now, number, end, true);
    }

    /// Gives a forwarded task back to its host, once nothing of it runs here.
    pub(crate) fn return_task(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get(&number) else { return };
        let reason = Reason::Overload;
        let end = if state.may_have_run() {
            JobEnd::Lost(reason)
        } else {
            JobEnd::NotRun { reason, retry: now }
        };
        self.close(now, number, end, false);
    }

    fn stop_tasks(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get_mut(&number) else { return };
        let mut cancels = Vec::new();
        for slot in &mut state.tasks {
            match &slot.state {
                TaskState::Queued(key) => {
                    if let Some(queue) = self.queues.get_mut(&state.job.service) {
                        queue.remove(key);
                    }
                    slot.state = TaskState::Blocked;
                }
                TaskState::Running { worker, id } => {
                    if let Some(driver) = self.drivers.get_mut(worker) {
                        driver.stop_run(now, id);
                    }
                }
                TaskState::Forwarded(serial) => cancels.push(*serial),
                TaskState::Blocked | TaskState::Done => {}
            }
        }
        for serial in cancels {
            if let Some((peer, _)) = self.forwards.get(&serial) {
                self.out.push(Output::Message(peer.clone(), JobMsg::Cancel { serial }));
            }
        }
    }

    /// Forgets a job that has ended and of which nothing runs.
    pub(crate) fn finish(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get(&number) else { return };
        let Some(end) = state.ending.filter(|_| !state.busy()) else { return };
        let Some(state) = self.jobs.remove(&number) else { return };
        self.deadlines.remove(&(state.job.deadline, number));
        self.by_sender.remove(&(state.sender.clone(), state.serial));
        if !state.end_sent {
            self.send_end(&state.sender, state.serial, end);
        }
        let name = job_name(&state.job);
        match self.by_name.get(&name) {
            Some(latest) if *latest == number => {
                self.by_name.remove(&name);
            }
            // A later job of the same id waited for this one.
            Some(latest) => {
                let latest = *latest;
                self.unblock(now, latest);
            }
            None => {}
        }
    }

    /// Queues the tasks whose earlier steps have ended.
    pub(crate) fn unblock(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get(&number) else { return };
        for task in state.unblocked() {
            self.enqueue(now, TaskRef { job: number, task: task as u32 });
        }
    }

    /// Queues a task.
    pub(crate) fn enqueue(&mut self, now: Time, task: TaskRef) {
        let Some(state) = self.jobs.get(&task.job) else { return };
        let (late, rank) = self.rank(now, state, task.task as usize);
        let service = state.job.service.clone();
        let key = self.queues.entry(service).or_default().push(late, rank, task);
        if let Some(state) = self.jobs.get_mut(&task.job) {
            state.tasks[task.task as usize].state = TaskState::Queued(key);
        }
        self.dirty = true;
    }

    /// Returns whether a task can no longer make its objective, and its rank.
    pub(crate) fn rank(&self, now: Time, state: &JobState, task: usize) -> (bool, (u32, Time)) {
        let step = state.step(task);
        let waiting = WaitingTask {
            priority: state.job.priority,
            arrived: state.job.arrived,
            objective: state.objective,
            run_us: self.durations.task_us(&state.job, step.estimate_ms) as u64,
            remaining: state.remaining.iter().map(|left| u64::from(*left)).sum(),
            started: state.started.is_some(),
        };
        waiting.rank(now, self.policy)
    }

    /// Returns how many jobs of each route wait with no task started.
    pub(crate) fn pending(&self) -> BTreeMap<Name, u32> {
        let mut pending: BTreeMap<Name, u32> = BTreeMap::new();
        let waiting = |state: &&JobState| {
            state.started.is_none() && state.ending.is_none() && !state.job.forwarded
        };
        for state in self.jobs.values().filter(waiting) {
            *pending.entry(state.job.route.clone()).or_default() += 1;
        }
        pending
    }

    /// Returns the number of the next task that is forwarded.
    pub(crate) fn next_forward_serial(&mut self) -> u64 {
        self.next_forward += 1;
        self.next_forward
    }

    /// Tells a host how its job ended.
    pub(crate) fn send_end(&mut self, to: &Peer, serial: u64, end: JobEnd) {
        self.out.push(Output::Message(to.clone(), JobMsg::Ended { serial, end }));
    }

    /// Writes a line about a job.
    pub(crate) fn log_job(
        &mut self,
        level: Level,
        event: &'static str,
        number: u64,
        more: &[(&'static str, String)],
    ) {
        let Some(state) = self.jobs.get(&number) else { return };
        let mut pairs = vec![("front", state.sender.to_string())];
        pairs.extend(more.iter().cloned());
        let id = Some(state.job.id.clone());
        self.out.push(Output::Log(Note { level, event, id, pairs }));
    }
}

/// Returns whether `room` holds `need`.
pub(crate) fn has_capacity(room: &Need, need: &Need) -> bool {
    room.cpu_milli >= need.cpu_milli
        && room.memory_mb >= need.memory_mb
        && room.accelerators >= need.accelerators
}

/// Returns whether a worker carries a label.
pub(crate) fn has_label(entry: &WorkerEntry, label: Option<&Name>) -> bool {
    label.is_none_or(|label| entry.labels.contains(label))
}

/// Returns what tells a job, or a task passed on alone, from all others.
fn job_name(job: &Job) -> Name {
    match job.steps.first().filter(|_| job.forwarded) {
        Some(step) => Name::from(format!("{}.{}.{}", job.id, step.number, step.first_task)),
        None => job.id.clone(),
    }
}
