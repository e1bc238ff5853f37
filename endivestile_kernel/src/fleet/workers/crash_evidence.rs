//! Evidence of workers that crashed under tasks, and what may be done with such a task.
//!
//! Answers a wave of jobs, each of which crashes every worker that starts it, without
//! suspecting the innocent tasks of a rack that fails or of workers that leave.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;

use crate::Time;
use crate::fleet::msg::{JobCrashes, TaskCrashes, WorkerLoss};

/// Time for which evidence is kept, in milliseconds; longer than a caller resubmits a job.
const KEEP_MS: u64 = 60_000;
/// Number of jobs of which evidence is kept, which bounds the memory in a wave of them.
const MAX_JOBS: usize = 1_024;
/// Time within which crashes count as one, in milliseconds, and how many they have to be: they
/// have a cause outside the tasks, such as a rack that fails.
const TOGETHER_MS: u64 = 2_000;
/// See [`TOGETHER_MS`].
const TOGETHER_WORKERS: usize = 3;
/// Crashes under a task that ran alone, after which it is given up.
const MAX_ALONE: usize = 2;
/// Crashes under a task, alone or not, after which it is given up.
const MAX_CRASHES: usize = 3;
/// Workers lost under a task, crashed or not, after which it is not started again. A task must
/// not be started three times after three crashes.
const MAX_LOSSES: usize = MAX_CRASHES + 2;
/// Time for which a task under which as many workers were lost as may crash waits for proof, in
/// milliseconds: a worker that has crashed is back after some seconds.
const PROOF_MS: u64 = 3_000;

/// A task, named as in its caller's job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The caller's id of the job.
    pub job: Name,
    /// Number of the step in the caller's job.
    pub step: u16,
    /// Number of the task within its step.
    pub task: u16,
}

/// A worker whose runs were lost with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostWorker {
    /// Id of the worker.
    pub worker: Name,
    /// The incarnation that was lost, in milliseconds since 1970.
    pub incarnation: u64,
    /// When it was last known to work, or when its loss was noticed.
    pub at: Time,
    /// Whether it is known to have crashed; otherwise it may only be unreachable.
    pub crashed: bool,
    /// The tasks whose runs it had confirmed, each with whether it ran there alone.
    pub tasks: Vec<(TaskKey, bool)>,
}

/// What may be done with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It may be started on any worker.
    Start,
    /// It is suspected and may be started only alone on a worker.
    StartAlone,
    /// It must not be started before it is known whether the workers that lost it crashed.
    Wait,
    /// Its job is to be given up.
    GiveUp,
}

/// Losses under the tasks of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
struct JobEvidence {
    expires: Time,
    /// Until when a task waits for proof that the workers crashed.
    wait_until: Time,
    /// By step and task.
    tasks: BTreeMap<(u16, u16), Vec<WorkerLoss>>,
}

/// A lost worker with no task that ran alone, to find those that were lost together.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Event {
    worker: Name,
    incarnation: u64,
    at: Time,
    tasks: Vec<TaskKey>,
}

/// Evidence of workers that crashed under tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    jobs: BTreeMap<Name, JobEvidence>,
    events: Vec<Event>,
    /// Lost incarnations, by worker, of which it is not known whether they crashed.
    unclear: BTreeSet<(Name, u64)>,
}

impl CrashEvidence {
    /// Records a lost worker.
    pub fn record(&mut self, now: Time, lost: &LostWorker) {
        self.jobs.retain(|_, job| job.expires > now);
        let losses = self.jobs.values().flat_map(|job| job.tasks.values().flatten());
        let kept: BTreeSet<_> = losses.map(|it| (it.worker.clone(), it.incarnation)).collect();
        self.unclear.retain(|lost| kept.contains(lost));
        if !lost.crashed && !lost.tasks.is_empty() {
            self.unclear.insert((lost.worker.clone(), lost.incarnation));
        }
        for (key, alone) in &lost.tasks {
            self.add(
                now,
                key,
                WorkerLoss {
                    worker: lost.worker.clone(),
                    incarnation: lost.incarnation,
                    alone: *alone,
                    crashed: lost.crashed,
                    together: false,
                },
            );
        }
        if !lost.tasks.iter().any(|(_, alone)| *alone) {
            self.find_together(lost);
        }
    }

    /// Applies the incarnation that replies at a worker. Another one proves that earlier ones
    /// crashed; the same one shows that it was only unreachable, so its losses are dropped.
    /// Returns the tasks under which the worker has now turned out to have crashed.
    pub fn observe(&mut self, worker: &Name, incarnation: u64) -> Vec<TaskKey> {
        let mut crashed = self.prove(worker, |lost| lost != incarnation);
        self.unclear.retain(|(at, lost)| at != worker || *lost == incarnation);
        let same = (worker.clone(), incarnation);
        if self.unclear.remove(&same) {
            self.events.retain(|it| (&it.worker, it.incarnation) != (worker, incarnation));
            for job in self.jobs.values_mut() {
                for losses in job.tasks.values_mut() {
                    losses.retain(|it| (&it.worker, it.incarnation) != (worker, incarnation));
                }
                job.tasks.retain(|_, losses| !losses.is_empty());
            }
            self.jobs.retain(|_, job| !job.tasks.is_empty());
            crashed.retain(|key| self.losses(key).is_some());
        }
        crashed
    }

    /// Returns whether it is not known of any lost incarnation of a worker whether it crashed.
    pub fn is_unclear(&self, worker: &Name) -> bool {
        self.unclear.iter().any(|(it, _)| it == worker)
    }

    /// Applies the incarnation that registers as a worker, or `None` if the registration of a
    /// worker that could not be reached ended. Returns the tasks as [`Self::observe`] does.
    pub fn observe_registration(&mut self, worker: &Name, newer: Option<u64>) -> Vec<TaskKey> {
        let crashed = self.prove(worker, |lost| newer.is_none_or(|newer| lost < newer));
        // One without a registration may still turn out to have been unreachable only.
        if let Some(newer) = newer {
            self.unclear.retain(|(at, lost)| at != worker || *lost >= newer);
        }
        crashed
    }

    fn prove(&mut self, worker: &Name, lost: impl Fn(u64) -> bool) -> Vec<TaskKey> {
        let proven = |at: &Name, incarnation: u64| at == worker && lost(incarnation);
        if !self.unclear.iter().any(|(at, incarnation)| proven(at, *incarnation)) {
            return Vec::new();
        }
        let mut tasks = Vec::new();
        for (job, evidence) in &mut self.jobs {
            for (&(step, task), losses) in &mut evidence.tasks {
                let unproven = losses.iter_mut().filter(|it| !it.crashed);
                for loss in unproven.filter(|it| proven(&it.worker, it.incarnation)) {
                    loss.crashed = true;
                    tasks.push(TaskKey { job: job.clone(), step, task });
                }
            }
        }
        tasks
    }

    /// Returns what may be done with a task.
    ///
    /// A single loss of a worker that may only be unreachable makes no task suspected, since a
    /// network cut would otherwise isolate all tasks that ran behind it. One lost a second time
    /// is suspected also if others were lost with it: in a wave, many tasks crash together.
    pub fn verdict(&self, now: Time, key: &TaskKey) -> CrashVerdict {
        let expired = self.jobs.get(&key.job).is_none_or(|job| job.expires <= now);
        let Some(losses) = self.losses(key).filter(|_| !expired) else {
            return CrashVerdict::Start;
        };
        let crashes = losses.iter().filter(|it| it.crashed).count();
        let alone = losses.iter().filter(|it| it.crashed && it.alone).count();
        let suspected = losses.iter().any(|it| it.crashed && !it.together);
        let waits = self.jobs.get(&key.job).is_some_and(|job| job.wait_until > now);
        if alone >= MAX_ALONE || crashes >= MAX_CRASHES {
            CrashVerdict::GiveUp
        } else if losses.len() >= MAX_LOSSES || losses.len() >= MAX_CRASHES && waits {
            CrashVerdict::Wait
        } else if suspected || losses.len() >= 2 {
            CrashVerdict::StartAlone
        } else {
            CrashVerdict::Start
        }
    }

    /// Returns the number of workers lost under a task, and of those known to have crashed.
    pub fn counts(&self, key: &TaskKey) -> (usize, usize) {
        let losses = self.losses(key).unwrap_or_default();
        (losses.len(), losses.iter().filter(|it| it.crashed).count())
    }

    /// Drops the evidence about a task that is done.
    pub fn forget(&mut self, key: &TaskKey) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.tasks.remove(&(key.step, key.task));
            if job.tasks.is_empty() {
                self.jobs.remove(&key.job);
            }
        }
    }

    /// Returns whether there is no evidence, which is the usual case.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the jobs of which a task is suspected.
    pub fn suspected_jobs(&self, now: Time) -> Vec<Name> {
        let suspected = |(job, evidence): (&Name, &JobEvidence)| {
            let mut keys = evidence.tasks.keys();
            let any = keys.any(|&(step, task)| {
                let key = TaskKey { job: job.clone(), step, task };
                self.verdict(now, &key) != CrashVerdict::Start
            });
            any.then(|| job.clone())
        };
        self.jobs.iter().filter_map(suspected).collect()
    }

    /// Returns the evidence about the tasks of a job, for the hosts that may get it next.
    pub fn report(&self, job: &Name) -> Option<JobCrashes> {
        let tasks = self.jobs.get(job)?.tasks.iter();
        let tasks = tasks.map(|(&(step, task), losses)| {
            let workers = losses.clone();
            TaskCrashes { step, task, workers }
        });
        Some(JobCrashes { job: job.clone(), tasks: tasks.collect() })
    }

    /// Adds what another host reports; returns whether any of it is new.
    pub fn merge(&mut self, now: Time, report: &JobCrashes) -> bool {
        self.jobs.retain(|_, job| job.expires > now);
        let mut new = false;
        for TaskCrashes { step, task, workers } in &report.tasks {
            let key = TaskKey { job: report.job.clone(), step: *step, task: *task };
            for loss in workers {
                if !loss.crashed {
                    self.unclear.insert((loss.worker.clone(), loss.incarnation));
                }
                new |= self.add(now, &key, loss.clone());
            }
        }
        new
    }

    fn losses(&self, key: &TaskKey) -> Option<&[WorkerLoss]> {
        self.jobs.get(&key.job)?.tasks.get(&(key.step, key.task)).map(Vec::as_slice)
    }

    /// Adds a loss, once for each incarnation of a worker; returns whether it is new.
    fn add(&mut self, now: Time, key: &TaskKey, loss: WorkerLoss) -> bool {
        if !self.jobs.contains_key(&key.job) && self.jobs.len() >= MAX_JOBS {
            let oldest = self.jobs.iter().min_by_key(|(_, job)| job.expires);
            if let Some(oldest) = oldest.map(|(job, _)| job.clone()) {
                self.jobs.remove(&oldest);
            }
        }
        let expires = now.after_ms(KEEP_MS);
        let evidence = self.jobs.entry(key.job.clone());
        let evidence = evidence.or_insert_with(|| JobEvidence {
            expires,
            wait_until: now,
            tasks: BTreeMap::new(),
        });
        let losses = evidence.tasks.entry((key.step, key.task)).or_default();
        let same =
            |it: &&mut WorkerLoss| (&it.worker, it.incarnation) == (&loss.worker, loss.incarnation);
        if let Some(known) = losses.iter_mut().find(same) {
            let new = loss.crashed && !known.crashed;
            known.crashed |= loss.crashed;
            known.alone |= loss.alone;
            return new;
        }
        evidence.expires = expires;
        evidence.wait_until = now.after_ms(PROOF_MS);
        losses.push(loss);
        true
    }

    /// Marks the losses of workers that were lost together with this one. Workers that share a
    /// task are left out, since that task may have crashed them.
    fn find_together(&mut self, lost: &LostWorker) {
        let near = |one: Time, other: Time| {
            one <= other.after_ms(TOGETHER_MS) && other <= one.after_ms(TOGETHER_MS)
        };
        self.events.retain(|it| {
            lost.at <= it.at.after_ms(KEEP_MS)
                && (&it.worker, it.incarnation) != (&lost.worker, lost.incarnation)
        });
        self.events.push(Event {
            worker: lost.worker.clone(),
            incarnation: lost.incarnation,
            at: lost.at,
            tasks: lost.tasks.iter().map(|(key, _)| key.clone()).collect(),
        });
        let group: Vec<&Event> = self.events.iter().filter(|it| near(it.at, lost.at)).collect();
        let on = |key: &TaskKey| group.iter().filter(|it| it.tasks.contains(key)).count();
        let distinct = group.iter().filter(|it| it.tasks.iter().all(|key| on(key) == 1));
        let ids: BTreeSet<(Name, u64)> =
            distinct.map(|it| (it.worker.clone(), it.incarnation)).collect();
        if ids.len() < TOGETHER_WORKERS {
            return;
        }
        for losses in self.jobs.values_mut().flat_map(|job| job.tasks.values_mut()) {
            for loss in losses {
                loss.together |= ids.contains(&(loss.worker.clone(), loss.incarnation));
            }
        }
    }
}
