//! Load shedding: refuses late jobs that cannot be done before their deadline.
//!
//! In a burst of up to twice the work that the workers can do, late jobs wait behind all
//! others, most of them until their deadline. Instead of letting their callers wait for
//! nothing, a job is refused as soon as the start rate shows that its turn comes too late,
//! with the time at which a retry is worthwhile.

use std::collections::BTreeMap;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::admission::forecast::{Ahead, Demand, Grounds, Snapshot, Verdict};
use crate::fleet::admission::load::Reading;
use crate::fleet::admission::order::WaitingTask;
use crate::fleet::admission::queue::{Queue, QueueKey};
use crate::fleet::job::{Job, JobEnd, Reason, Step};
use crate::fleet::job_state::{Admission, TaskState};
use crate::fleet::metrics::Count;
use crate::fleet::scheduler::{Output, Scheduler, has_capacity, has_label, job_name};
use crate::fleet::workers::driver::Driver;
use crate::fleet::workers::run::TaskRef;
use crate::{Level, Need, Note, Time};

/// Interval between two checks of the late jobs, in milliseconds.
const INTERVAL_MS: u64 = 50;
/// Weight of one interval in the moving average of the start rate; averages over about a second.
const RATE_WEIGHT: f64 = 0.05;
/// Factor on the wait that the current start rate of late tasks predicts, since the rate
/// falls as a burst goes on. Refuses 60 to 140 ms sooner than 1.0 would, while as many jobs
/// meet their objective.
const WAIT_FACTOR: f64 = 2.0;
/// Shortest retry delay in a refusal, in milliseconds.
const RETRY_MIN_MS: u64 = 1_000;
/// Longest retry delay in a refusal, in milliseconds.
const RETRY_MAX_MS: u64 = 10_000;

/// Moving average of starts per second.
#[derive(Debug, Default)]
struct Rate {
    starts: u32,
    per_s: f64,
}

impl Rate {
    fn update(&mut self, seconds: f64) {
        let current = f64::from(std::mem::take(&mut self.starts)) / seconds;
        self.per_s += RATE_WEIGHT * (current - self.per_s);
    }
}

/// Start rates of one service's tasks.
#[derive(Debug, Default)]
pub(crate) struct ServiceRates {
    /// Rates of late tasks by the priority of their route: low priorities wait for as long
    /// as higher ones arrive, however few tasks are ahead of them.
    late: BTreeMap<u32, Rate>,
}

/// Start rates by service.
#[derive(Debug, Default)]
pub(crate) struct StartRates {
    services: BTreeMap<Name, ServiceRates>,
    updated: Time,
}

impl StartRates {
    /// Counts a start of the task at a queue position.
    pub(crate) fn record_start(&mut self, service: &Name, key: &QueueKey) {
        let rates = self.services.entry(service.clone()).or_default();
        if key.late {
            rates.late.entry(key.rank.0).or_default().starts += 1;
        }
    }

    /// Updates the rates once per interval; returns whether it did.
    fn update(&mut self, now: Time) -> bool {
        let span = now.since(self.updated);
        if span.as_millis() < u128::from(INTERVAL_MS) {
            return false;
        }
        self.updated = now;
        let seconds = span.as_secs_f64();
        for rates in self.services.values_mut() {
            rates.late.values_mut().for_each(|rate| rate.update(seconds));
        }
        true
    }

    /// Returns the starts per second of late tasks of a priority, at least one.
    fn late_rate(&self, service: &Name, priority: u32) -> f64 {
        let rates = self.services.get(service);
        let late = rates.and_then(|rates| rates.late.get(&priority));
        late.map_or(0.0, |rate| rate.per_s).max(1.0)
    }
}

impl Scheduler {
    /// Refuses late jobs with no started task whose turn is predicted to come too late.
    pub(crate) fn shed(&mut self, now: Time) {
        if !self.start_rates.update(now) {
            return;
        }
        self.update_forecast(now);
        if !self.policy.has(Mechanism::Shedding) {
            return;
        }
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.shed_service(now, &service);
        }
    }

    fn shed_service(&mut self, now: Time, service: &Name) {
        let Some(queue) = self.queues.get(service) else { return };
        let mut refused: Vec<(u64, f64)> = Vec::new();
        let mut last_job = None;
        let mut queued: BTreeMap<u32, u32> = BTreeMap::new();
        for (key, task) in queue.late_tasks() {
            let queued = queued.entry(key.rank.0).or_default();
            let ahead = std::mem::replace(queued, *queued + 1);
            if last_job == Some(task.job) {
                continue;
            }
            last_job = Some(task.job);
            let Some(state) = self.jobs.get(&task.job).filter(|state| !state.may_have_run()) else {
                continue;
            };
            let wait_s =
                WAIT_FACTOR * f64::from(ahead) / self.start_rates.late_rate(service, key.rank.0);
            let step = state.step(task.task as usize);
            let run_us = self.durations.min_us(&state.job, step.estimate_ms);
            let end = now.after_us((wait_s * 1e6 + run_us) as u64);
            if end > state.job.deadline {
                refused.push((task.job, wait_s));
            }
        }
        for (number, wait_s) in refused {
            let wait_ms = (wait_s * 1_000.0) as u64;
            let Some(state) = self.jobs.get(&number) else { continue };
            let wait_ms = wait_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS);
            let retry = self.retry_time(now, &state.job, wait_ms);
            let end = JobEnd::NotRun { reason: Reason::Overload, retry };
            self.close(now, number, end, true);
        }
    }

    /// Admits a job that arrives, or returns when its caller should retry.
    ///
    /// A task forwarded by another owner is returned to it if it has to wait. A job whose earlier
    /// submission may have run must not be answered as not run.
    pub(crate) fn admit(&mut self, now: Time, job: &Job) -> Result<Admission, Time> {
        let judged = self.policy.has(Mechanism::Forecast)
            && !job.forwarded
            && !self.by_name.contains_key(&job_name(job));
        if !judged || self.loads.get(&job.service).is_none() {
            return Ok(Admission::default());
        }
        let mut demand = self.demand(now, job);
        let Some(load) = self.loads.get_mut(&job.service) else { return Ok(Admission::default()) };
        let largest = load.shares.record_arrival(now, &job.route, demand.work);
        let mut verdict = load.snapshot.decide(now, &demand);
        if !verdict.accepts() && self.claim_free_worker(now, job) {
            demand.worker_free = true;
            verdict = Verdict::Accept(Grounds::WorkerFree);
        }
        let Some(load) = self.loads.get_mut(&job.service) else { return Ok(Admission::default()) };
        let mut admission = Admission { largest, guaranteed: false, claims: demand.worker_free };
        if !verdict.accepts() {
            let first = Demand { priority: 0, ..demand };
            admission.guaranteed = load.shares.due_for_try(now, &job.route)
                || load.shares.guarantees(&job.route, largest)
                    && load.snapshot.decide(now, &first).accepts();
            if admission.guaranteed {
                demand = first;
            }
        }
        load.record_arrival(now, job.arrived, &demand);
        if verdict.accepts() || admission.guaranteed {
            load.record_accepted(&demand);
            load.shares.record_accepted(now, &job.route, largest);
            if admission.guaranteed {
                self.out.push(Output::Count(Count::JobsGuaranteed));
                self.log_forecast(now, "job_guaranteed", job, &demand, verdict);
            }
            return Ok(admission);
        }
        load.record_rejected(demand.work);
        self.out.push(Output::Count(Count::JobsRejectedEarly));
        self.log_forecast(now, "job_rejected", job, &demand, verdict);
        Err(self.retry_time(now, job, RETRY_MIN_MS))
    }

    /// Returns when the caller of a rejected job should retry; without a forecast after `wait_ms`
    /// milliseconds.
    pub(crate) fn retry_time(&self, now: Time, job: &Job, wait_ms: u64) -> Time {
        match self.loads.get(&job.service) {
            Some(load) => load.snapshot.retry_at(now, &job.id),
            None => now.after_ms(wait_ms),
        }
    }

    /// Takes back the share of an admitted job that was not served.
    pub(crate) fn record_outcome(&mut self, number: u64, end: JobEnd) {
        let unserved = match end {
            JobEnd::Done | JobEnd::Failed(_) | JobEnd::Lost(Reason::Cancelled) => false,
            JobEnd::NotRun { .. } | JobEnd::Lost(_) => true,
        };
        let Some(state) = self.jobs.get(&number).filter(|_| unserved) else { return };
        if let Some(load) = self.loads.get_mut(&state.job.service) {
            load.shares.record_unserved(&state.job.route, state.admission.largest);
        }
    }

    fn demand(&self, now: Time, job: &Job) -> Demand {
        let steps = || job.steps.iter();
        let work = |step: &Step| self.durations.task_work(job, step) * f64::from(step.count);
        let path_us = self.durations.critical_path_us(job);
        let objective = self.durations.objective(job);
        let first = WaitingTask {
            priority: job.priority,
            arrived: job.arrived,
            objective,
            run_us: job
                .steps
                .first()
                .map_or(0.0, |step| self.durations.task_us(job, step.estimate_ms))
                as u64,
            remaining: job.tasks() as u64,
            started: false,
        };
        Demand {
            rank: first.rank(now, self.policy).1.1,
            work: steps().map(work).sum(),
            width: steps().map(|step| u32::from(step.count)).max().unwrap_or(1),
            priority: job.priority,
            path_us,
            objective,
            deadline: job.deadline,
            worker_free: false,
        }
    }

    /// Promises a job the capacity of a worker that is free and would end its first step before
    /// the deadline; returns whether there is one.
    fn claim_free_worker(&mut self, now: Time, job: &Job) -> bool {
        let Some(step) = job.steps.first() else { return false };
        let free_milli = self.free_for(now, job, step);
        let Some(load) = self.loads.get_mut(&job.service) else { return false };
        load.claim(free_milli, u64::from(step.need.cpu_milli), u64::from(step.count))
    }

    /// Returns the free capacity of the workers that can start a task of a step now and end it
    /// before the deadline, in thousandths of a core.
    fn free_for(&self, now: Time, job: &Job, step: &Step) -> u64 {
        let run_us = self.durations.task_us(job, step.estimate_ms);
        let suits = |id: &Name, driver: &Driver, free: &Need| {
            let factor = self.locality_factor(step, driver.labels()) / self.durations.speed(id);
            driver.entry.service == job.service
                && has_capacity(free, &step.need)
                && has_label(driver.labels(), step.required_label.as_ref())
                && driver.usable(now)
                && self.healthy(now, id)
                && now.after_us((run_us * factor) as u64) <= job.deadline
        };
        let free = self.drivers.iter().filter_map(|(id, driver)| {
            let free = driver.free_capacity();
            suits(id, driver, &free).then_some(u64::from(free.cpu_milli))
        });
        free.sum()
    }

    /// Reads the load of each service, and reconsiders the jobs that wait.
    fn update_forecast(&mut self, now: Time) {
        if !self.policy.has(Mechanism::Forecast) {
            return;
        }
        let mut readings = self.read_workers(now);
        let mut waiting: Vec<(u64, Ahead)> = Vec::new();
        for (service, queue) in &self.queues {
            if let Some(reading) = readings.get_mut(service) {
                self.read_queue(queue, reading, &mut waiting);
            }
        }
        self.loads.refresh(now, readings);
        for (number, ahead) in waiting {
            self.reconsider(now, number, ahead);
        }
    }

    /// Reads the capacity and the remaining work of each service's workers.
    fn read_workers(&self, now: Time) -> BTreeMap<Name, Reading> {
        let mut readings: BTreeMap<Name, Reading> = BTreeMap::new();
        for (id, driver) in self.drivers.iter().filter(|(_, driver)| !driver.abandoned) {
            let reading = readings.entry(driver.entry.service.clone()).or_default();
            if driver.usable(now) && self.healthy(now, id) {
                let speed = self.durations.speed(id) / 1_000.0;
                reading.capacity += f64::from(driver.entry.capacity.cpu_milli) * speed;
                reading.free += f64::from(driver.free_capacity().cpu_milli) * speed;
            }
            for run in driver.runs.values() {
                let state = run.task.and_then(|task| Some((task, self.jobs.get(&task.job)?)));
                let Some((task, state)) = state else { continue };
                let work = self.durations.task_work(&state.job, state.step(task.task as usize));
                reading.running += work * f64::from(100 - run.percent.min(100)) / 100.0;
            }
        }
        readings
    }

    /// Reads the work of a queue, and collects the jobs with no started task together with the
    /// work ahead of them.
    fn read_queue(
        &self,
        queue: &Queue<TaskRef>,
        reading: &mut Reading,
        waiting: &mut Vec<(u64, Ahead)>,
    ) {
        let mut ahead = Ahead::default();
        let mut last_job = None;
        let mut position = None;
        while let Some((key, task)) = queue.next_after(position) {
            position = Some(key);
            let Some(state) = self.jobs.get(&task.job) else { continue };
            if last_job.replace(task.job) != Some(task.job) && !state.may_have_run() {
                waiting.push((task.job, ahead));
                if let Some(step) = state.job.steps.first().filter(|_| state.admission.claims) {
                    reading.claimed_milli += u64::from(step.need.cpu_milli) * u64::from(step.count);
                }
            }
            let work = self.durations.task_work(&state.job, state.step(task.task as usize));
            let (priority, rank) = key.rank;
            ahead.late += work;
            if key.late {
                *reading.late.entry(priority).or_default() += work;
            } else {
                ahead.on_time += work;
                let position = (priority, Snapshot::rounded(rank));
                *reading.on_time.entry(position).or_default() += work;
            }
        }
    }

    /// Rejects a waiting job whose forecast has become bad, or moves it to the front of the queue
    /// if its kind gets less than its guaranteed share.
    fn reconsider(&mut self, now: Time, number: u64, ahead: Ahead) {
        let Some(state) = self.jobs.get(&number).filter(|state| !state.job.forwarded) else {
            return;
        };
        let job = state.job.clone();
        let Some(load) = self.loads.get(&job.service) else { return };
        let demand = Demand { priority: state.priority(), ..self.demand(now, &job) };
        let verdict = load.snapshot.reconsider(now, &demand, ahead);
        if verdict.accepts() {
            return;
        }
        let guaranteed = !state.admission.guaranteed
            && load.shares.guarantees(&job.route, state.admission.largest)
            && load.snapshot.decide(now, &Demand { priority: 0, ..demand }).accepts();
        if guaranteed {
            return self.promote(now, number);
        }
        let Some(step) = job.steps.first() else { return };
        if self.free_for(now, &job, step) > 0 {
            return;
        }
        self.log_forecast(now, "job_forecast_worse", &job, &demand, verdict);
        if let Some(load) = self.loads.get_mut(&job.service) {
            load.record_rejected(demand.work);
        }
        let retry = self.retry_time(now, &job, RETRY_MIN_MS);
        self.close(now, number, JobEnd::NotRun { reason: Reason::NoRoom, retry }, true);
    }

    /// Queues a waiting job with the highest priority.
    fn promote(&mut self, now: Time, number: u64) {
        let Some(state) = self.jobs.get_mut(&number) else { return };
        state.admission.guaranteed = true;
        let queued = state.tasks.iter().enumerate().filter_map(|(task, slot)| match slot.state {
            TaskState::Queued(key) => Some((task as u32, key)),
            _ => None,
        });
        let queued: Vec<(u32, QueueKey)> = queued.collect();
        let service = state.job.service.clone();
        for (task, key) in queued {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.remove(&key);
            }
            self.enqueue(now, TaskRef { job: number, task });
        }
        self.out.push(Output::Count(Count::JobsGuaranteed));
    }

    /// Logs a decision about a job with its inputs and their age.
    fn log_forecast(
        &mut self,
        now: Time,
        event: &'static str,
        job: &Job,
        demand: &Demand,
        verdict: Verdict,
    ) {
        let Some(load) = self.loads.get(&job.service) else { return };
        let snapshot = &load.snapshot;
        let suitable = job.steps.first().map_or(0, |step| self.free_for(now, job, step));
        let ms = |us: f64| format!("{:.0}", us / 1_000.0);
        let after = |at: Time| at.since(job.arrived).as_millis().to_string();
        let rate = snapshot.rate(now).max(1e-3);
        let ahead = snapshot.ahead(demand);
        let end = match verdict {
            Verdict::Reject(Time::NEVER) | Verdict::Accept(_) => "never".to_owned(),
            Verdict::Reject(end) => after(end),
        };
        let pairs = vec![
            ("route", job.route.to_string()),
            ("priority", job.priority.to_string()),
            ("ms", after(now)),
            ("end_ms", end),
            ("objective_ms", after(demand.objective)),
            ("deadline_ms", after(demand.deadline)),
            ("core_ms", ms(demand.work)),
            ("capacity", format!("{:.1}", snapshot.capacity)),
            ("free", format!("{:.1}", snapshot.free)),
            ("suitable", suitable.to_string()),
            ("rate", format!("{rate:.1}")),
            ("offered", format!("{:.1}", snapshot.offered.values().sum::<f64>())),
            ("ahead_ms", ms(ahead.on_time / rate)),
            ("waiting_ms", ms(ahead.late / rate)),
            ("running_ms", ms(snapshot.running / rate)),
            ("age_ms", now.since(snapshot.taken).as_millis().to_string()),
        ];
        let id = Some(job.id.clone());
        self.out.push(Output::Log(Note { level: Level::Info, event, id, pairs }));
    }
}
