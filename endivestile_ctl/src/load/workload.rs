//! Generates submissions and their start times from a seed.

use std::net::SocketAddr;

use endivestile_wire::call::{JobBody, NeedBody, TaskBody};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::LoadArgs;
use crate::http::Payload;

/// Microseconds in a second.
const SECOND_US: f64 = 1e6;

/// One submission of the load.
#[derive(Debug)]
pub(super) struct Submission {
    /// Serial number, from 0.
    pub(super) serial: u64,
    /// Start time in microseconds since the start of the load; 0 without a rate.
    pub(super) at_us: u64,
    /// Entry host.
    pub(super) host: SocketAddr,
    /// Team.
    pub(super) team: String,
    /// What is submitted.
    pub(super) payload: Payload,
}

impl Submission {
    /// Returns the number of tasks.
    pub(super) fn tasks(&self) -> u64 {
        match &self.payload {
            Payload::Request { .. } => 1,
            Payload::Job(job) => job.tasks.len() as u64,
        }
    }

    /// Returns whether it needs an id; only idempotent requests don't.
    pub(super) fn needs_id(&self) -> bool {
        !matches!(self.payload, Payload::Request { idempotent: true, .. })
    }
}

/// Source of the submissions; the same seed and arguments give the same submissions.
#[derive(Debug)]
pub(super) struct Workload {
    /// Arguments of the command.
    args: LoadArgs,
    /// Random number generator.
    rng: StdRng,
    /// Serial number of the next submission.
    serial: u64,
    /// Start time of the latest submission, in microseconds.
    at_us: f64,
}

impl Workload {
    /// Creates the source from the arguments and their seed.
    pub(super) fn new(args: &LoadArgs) -> Self {
        let rng = StdRng::seed_from_u64(args.seed);
        Self { args: args.clone(), rng, serial: 0, at_us: 0.0 }
    }

    /// Returns the next submission.
    pub(super) fn next(&mut self) -> Submission {
        let serial = self.serial;
        if let Some(rate) = self.args.rate {
            // The gaps between independent arrivals are exponentially distributed.
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            self.at_us -= uniform.ln() * SECOND_US / rate as f64;
        }
        let host = self.args.hosts[(serial % self.args.hosts.len() as u64) as usize];
        let team = pick(&mut self.rng, &self.args.teams);
        let payload = self.payload();
        self.serial += 1;
        Submission { serial, at_us: self.at_us as u64, host, team, payload }
    }

    fn payload(&mut self) -> Payload {
        if self.draw_percent(self.args.job_percent) {
            let count = self.rng.random_range(1..=self.args.tasks);
            return Payload::Job(JobBody {
                tasks: (0..count).map(|task| self.task(task)).collect(),
            });
        }
        let idempotent = self.draw_percent(self.args.idempotent_percent);
        let service = pick(&mut self.rng, &self.args.services);
        let (body, _) = self.body(0);
        Payload::Request { service, body: body.into_bytes(), idempotent }
    }

    fn task(&mut self, index: u64) -> TaskBody {
        let (work, run_ms) = self.body(index);
        let declared_ms = (run_ms > 0).then_some(run_ms);
        if !self.args.needs_worker() {
            let service = Some(pick(&mut self.rng, &self.args.services));
            return TaskBody { service, need: None, declared_ms, work };
        }
        let LoadArgs { cpu_milli, memory_mb, .. } = self.args;
        let need = Some(NeedBody { cpu_milli, memory_mb, accelerators: 0 });
        TaskBody { service: None, need, declared_ms, work }
    }

    /// Draws a run time and returns the filled work template with it.
    fn body(&mut self, task: u64) -> (String, u32) {
        let longest_ms = self.args.max_run_ms.unwrap_or(self.args.run_ms);
        let run_ms = self.rng.random_range(self.args.run_ms..=longest_ms);
        let key = format!("{}-{}-{task}", self.args.seed, self.serial);
        let work = self.args.work.replace("{ms}", &run_ms.to_string()).replace("{key}", &key);
        (work, run_ms)
    }

    fn draw_percent(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }
}

/// Draws one of several names; empty if there are none.
fn pick(rng: &mut StdRng, names: &[String]) -> String {
    match names {
        [] => String::new(),
        names => names[rng.random_range(0..names.len())].clone(),
    }
}
