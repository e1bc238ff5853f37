//! The scheduler of an owner: its jobs, their tasks and its workers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use endivestile_config::Policy;
use endivestile_config::model::Name;

use crate::fleet::admission::load::Loads;
use crate::fleet::admission::queue::Queue;
use crate::fleet::admission::shedding::StartRates;
use crate::fleet::core::FleetSetup;
use crate::fleet::job::{Job, JobEnd, Reason, Step};
use crate::fleet::job_state::{JobState, TaskState};
use crate::fleet::lag::Lag;
use crate::fleet::leases::Leases;
use crate::fleet::metrics::{Count, Gauge, Span};
use crate::fleet::msg::JobMsg;
use crate::fleet::placement::durations::Durations;
use crate::fleet::placement::health::Health;
use crate::fleet::workers::call::WorkerCall;
use crate::fleet::workers::crash_evidence::CrashEvidence;
use crate::fleet::workers::driver::Driver;
use crate::fleet::workers::run::TaskRef;
use crate::{Level, Need, Note, Peer, Time};

/// Time reserved before a caller's deadline for the answer to reach the caller, in
/// milliseconds.
const ANSWER_MARGIN_MS: u64 = 20;
/// Default delay before a caller should retry a refused job, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;
/// Weight of a new job in the moving average of its service's processor need.
const USUAL_CPU_WEIGHT: f64 = 0.05;

/// An output of the scheduler, carried out by [`Fleet::apply_output`].
///
/// [`Fleet::apply_output`]: crate::fleet::core::Fleet::apply_output
#[derive(Debug)]
pub(crate) enum Output {
    /// Call a worker.
    Call(WorkerCall),
    /// Send a message about a job to a host.
    Message(Peer, JobMsg),
    /// Write a log line.
    Log(Note),
    /// Increment a counter.
    Count(Count),
    /// Record a duration in microseconds.
    Time(Span, u64),
    /// Set a gauge.
    Gauge(Gauge, u64),
}

/// Free capacity of another owner by service, in average tasks: its last report less what
/// was forwarded there since.
pub(crate) type PeerCapacity = BTreeMap<Name, u32>;

/// By when the runs of a host's jobs have to end unless the host is heard from again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HoldEnds {
    /// Jobs of its callers.
    pub(crate) own: Time,
    /// Tasks that it forwarded for other fronts.
    pub(crate) forwarded: Time,
}

/// Runs the tasks of jobs on the workers of the pools that this host owns.
#[derive(Debug)]
pub(crate) struct Scheduler {
    pub(crate) me: Peer,
    /// Bounds of the leases under which jobs run.
    pub(crate) leases: Leases,
    /// Factor by which a task's run time grows on a worker without its data.
    pub(crate) remote_factor: f64,
    pub(crate) policy: Policy,
    /// The workers, by id.
    pub(crate) drivers: BTreeMap<Name, Driver>,
    /// The jobs, by this scheduler's own number.
    pub(crate) jobs: BTreeMap<u64, JobState>,
    /// Numbers of jobs by sender and the sender's serial number.
    pub(crate) by_sender: HashMap<(Peer, u64), u64>,
    /// Number of the latest job of each name.
    pub(crate) by_name: HashMap<Name, u64>,
    /// Numbers of jobs, ordered by deadline.
    pub(crate) deadlines: BTreeSet<(Time, u64)>,
    /// The pool that is drained for its transfer to another owner.
    pub(crate) transferring: Option<Name>,
    /// Zones in which no task may be started.
    pub(crate) evacuated_zones: BTreeSet<Name>,
    /// Evacuated zones in which runs of this host are still in progress.
    pub(crate) draining_zones: BTreeSet<Name>,
    /// Queued tasks by service.
    pub(crate) queues: BTreeMap<Name, Queue<TaskRef>>,
    pub(crate) peer_capacity: BTreeMap<Peer, PeerCapacity>,
    /// Forwarded tasks by serial number, with the host that has them.
    pub(crate) forwards: HashMap<u64, (Peer, TaskRef)>,
    /// By when the runs of other hosts' jobs have to end, by host.
    pub(crate) hold_ends: BTreeMap<Peer, HoldEnds>,
    pub(crate) durations: Durations,
    pub(crate) health: Health,
    pub(crate) crashes: CrashEvidence,
    /// The suspected task that may run, and the worker that is reserved for it.
    pub(crate) isolation: Option<(TaskRef, Name)>,
    /// Moving average of a task's processor need by service, in thousandths of a core.
    pub(crate) usual_cpu: HashMap<Name, f64>,
    pub(crate) start_rates: StartRates,
    /// Load of each service; empty unless jobs are admitted by forecast.
    pub(crate) loads: Loads,
    pub(crate) lag: Lag,
    /// Last value of [`Gauge::CapacityExceeded`].
    pub(crate) reported_excess: u64,
    /// Whether something changed that can let a queued task start.
    pub(crate) dirty: bool,
    pub(crate) out: Vec<Output>,
    next_job: u64,
    last_forward: u64,
}

impl Scheduler {
    /// Creates a scheduler without workers.
    pub(crate) fn new(setup: &FleetSetup) -> Self {
        let policy = setup.policy;
        Self {
            me: setup.me.clone(),
            leases: setup.leases(),
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
            hold_ends: BTreeMap::new(),
            durations: Durations::new(policy),
            health: Health::new(policy),
            crashes: CrashEvidence::default(),
            isolation: None,
            usual_cpu: HashMap::new(),
            start_rates: StartRates::default(),
            loads: Loads::default(),
            lag: Lag::default(),
            reported_excess: 0,
            dirty: false,
            out: Vec::new(),
            next_job: 0,
            // Keeps the serials of forwarded tasks apart from those of this host's front.
            last_forward: 1 << 63,
        }
    }

    /// Accepts or refuses a job; a repeated message is ignored.
    pub(crate) fn submit(&mut self, now: Time, from: &Peer, serial: u64, job: Arc<Job>) {
        let sender_key = (from.clone(), serial);
        if self.by_sender.contains_key(&sender_key) {
            return;
        }
        if let Some(reason) = self.refusal(now, &job) {
            let end = JobEnd::NotRun { reason, retry: now.after_ms(RETRY_AFTER_MS) };
            self.send_end(from, serial, end);
            return;
        }
        let admission = match self.admit(now, &job) {
            Ok(admission) => admission,
            Err(retry) => {
                let end = JobEnd::NotRun { reason: Reason::NoRoom, retry };
                return self.send_end(from, serial, end);
            }
        };
        let number = self.next_job;
        self.next_job += 1;
        let objective = self.durations.objective(&job);
        self.update_usual_cpu(&job);
        let name = job_name(&job);
        // A caller that got no answer resubmits its job, possibly to another host. The
        // earlier job is stopped first, so that no task runs twice at the same time.
        let earlier = self.by_name.insert(name, number);
        self.by_sender.insert(sender_key, number);
        self.deadlines.insert((job.deadline, number));
        let mut state = JobState::new(now, from.clone(), serial, job, objective);
        state.admission = admission;
        state.deferred = state.job.run_base > 0 && !state.job.forwarded && !self.cleared(now);
        state.earlier = earlier.filter(|earlier| self.jobs.contains_key(earlier));
        let earlier = state.earlier;
        self.jobs.insert(number, state);
        if let Some(earlier) = earlier {
            self.log_job(Level::Info, "job_again", number, &[("before", earlier.to_string())]);
            self.close(now, earlier, JobEnd::Lost(Reason::Cancelled), false);
        } else {
            self.unblock(now, number);
        }
    }

    /// Returns why a job has to be refused, if it has.
    fn refusal(&self, now: Time, job: &Job) -> Option<Reason> {
        if !self.has_open_workers() {
            return Some(Reason::NoPlacer);
        }
        if job.deadline <= now.after_ms(ANSWER_MARGIN_MS) {
            return Some(Reason::Deadline);
        }
        let fits = |step: &Step, driver: &Driver| {
            driver.entry.service == job.service
                && has_capacity(&driver.entry.capacity, &step.need)
                && has_label(&driver.entry.labels, step.required_label.as_ref())
        };
        let servable = |skip_evacuated: bool| {
            let mut steps = job.steps.iter();
            steps.all(|step| {
                let mut drivers = self.drivers.values();
                drivers.any(|driver| !(skip_evacuated && driver.evacuated) && fits(step, driver))
            })
        };
        match (servable(true), servable(false)) {
            (true, _) => None,
            (false, true) => Some(Reason::Evacuated),
            (false, false) => Some(Reason::NoWorker),
        }
    }

    fn update_usual_cpu(&mut self, job: &Job) {
        let Some(step) = job.steps.first() else { return };
        let cpu = f64::from(step.need.cpu_milli.max(1));
        let usual = self.usual_cpu.entry(job.service.clone()).or_insert(cpu);
        *usual += USUAL_CPU_WEIGHT * (cpu - *usual);
    }

    /// Cancels a job for the host that sent it.
    pub(crate) fn cancel(&mut self, now: Time, from: &Peer, serial: u64) {
        if let Some(&number) = self.by_sender.get(&(from.clone(), serial)) {
            self.close(now, number, JobEnd::Lost(Reason::Cancelled), false);
        } else {
            // The job is not known, for example because its end crossed the cancellation.
            // The sender may wait for an answer.
            self.send_end(from, serial, JobEnd::Lost(Reason::Cancelled));
        }
    }

    /// Cancels all jobs from a host that is no longer reachable: their callers resubmit them
    /// elsewhere, and they must not run twice at the same time.
    pub(crate) fn cancel_front(&mut self, now: Time, from: &Peer) {
        let sent_by =
            |(number, state): (&u64, &JobState)| (state.sender == *from).then_some(*number);
        let numbers: Vec<u64> = self.jobs.iter().filter_map(sent_by).collect();
        for number in numbers {
            self.close(now, number, JobEnd::Lost(Reason::PlacerLost), false);
        }
    }

    /// Ends all jobs because this host has lost its workers. Their fronts assign them to
    /// another owner once no run of them is in progress here.
    pub(crate) fn abort_jobs(&mut self, now: Time) {
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.close(now, number, JobEnd::Lost(Reason::PlacerLost), false);
        }
    }

    /// Ends a job: removes queued tasks and stops running ones. The result is sent now if
    /// `at_once` is set, otherwise once no run of the job is in progress.
    pub(crate) fn close(&mut self, now: Time, number: u64, end: JobEnd, at_once: bool) {
        let Some(state) = self.jobs.get_mut(&number) else { return };
        if state.ending.is_none() {
            let started = state.started.is_some();
            state.ending = Some(end);
            self.stop_tasks(now, number);
            self.record_outcome(number, end);
            self.log_end(now, number, end, started);
        }
        let Some(state) = self.jobs.get_mut(&number) else { return };
        // The owner that forwarded a task restarts it when it receives the end, so the end
        // must not be sent while a run is in progress here.
        let at_once = at_once && !(state.job.forwarded && state.busy());
        if at_once && !state.end_sent {
            state.end_sent = true;
            let (from, serial) = (state.sender.clone(), state.serial);
            self.send_end(&from, serial, end);
        }
        self.finish(now, number);
    }

    /// Abandons a job that cannot end before its deadline; the result is sent at once.
    pub(crate) fn abandon_job(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get(&number) else { return };
        let retry = self.retry_time(now, &state.job, RETRY_AFTER_MS);
        let end = if state.may_have_run() {
            JobEnd::Lost(Reason::Deadline)
        } else {
            JobEnd::NotRun { reason: Reason::Overload, retry }
        };
        self.close(now, number, end, true);
    }

    /// Returns a forwarded task to the owner that forwarded it, once no run of it is in
    /// progress here.
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

    /// Removes a job that has ended, unless a run of it is still in progress.
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
        let Some(latest) = self.by_name.get(&name).copied() else { return };
        if latest == number {
            self.by_name.remove(&name);
        }
        // A later job of the same name waits for the end of all earlier ones.
        let earlier = state.earlier.filter(|earlier| self.jobs.contains_key(earlier));
        if let Some(next) = self.jobs.get_mut(&latest).filter(|it| it.earlier == Some(number)) {
            next.earlier = earlier;
            self.unblock(now, latest);
        }
    }

    /// Queues the blocked tasks of a job whose earlier steps have ended.
    pub(crate) fn unblock(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get(&number) else { return };
        for task in state.unblocked() {
            self.enqueue(now, TaskRef { job: number, task: task as u32 });
        }
    }

    /// Adds a task to the queue of its service.
    pub(crate) fn enqueue(&mut self, now: Time, task: TaskRef) {
        let Some(state) = self.jobs.get(&task.job) else { return };
        let (late, rank) = self.rank(now, state, task.task as usize);
        let service = state.job.service.clone();
        let step = state.step(task.task as usize);
        let size = (&step.need, step.required_label.as_ref());
        let key = self.queues.entry(service).or_default().push(late, rank, size, task);
        if let Some(state) = self.jobs.get_mut(&task.job) {
            state.tasks[task.task as usize].state = TaskState::Queued(key);
        }
        self.dirty = true;
    }

    /// Returns a new serial number for a task to be forwarded.
    pub(crate) fn next_forward_serial(&mut self) -> u64 {
        self.last_forward += 1;
        self.last_forward
    }

    /// Sends the result of a job to its sender.
    pub(crate) fn send_end(&mut self, to: &Peer, serial: u64, end: JobEnd) {
        self.out.push(Output::Message(to.clone(), JobMsg::Ended { serial, end }));
    }

    /// Writes a log line about a job.
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

/// Returns whether `free` is enough for `need`.
pub(crate) fn has_capacity(free: &Need, need: &Need) -> bool {
    free.cpu_milli >= need.cpu_milli
        && free.memory_mb >= need.memory_mb
        && free.accelerators >= need.accelerators
}

/// Returns whether a worker with these labels has a label; true if none is required.
pub(crate) fn has_label(labels: &[Name], label: Option<&Name>) -> bool {
    label.is_none_or(|label| labels.contains(label))
}

/// Returns the name under which repeated submissions of a job, or of a forwarded task, are
/// recognized.
pub(crate) fn job_name(job: &Job) -> Name {
    match job.steps.first().filter(|_| job.forwarded) {
        Some(step) => Name::from(format!("{}.{}.{}", job.id, step.number, step.first_task)),
        None => job.id.clone(),
    }
}
