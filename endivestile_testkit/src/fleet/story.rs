//! Stories of fleets: scripted scenarios, one step per line.
//!
//! `docs/SCENARIOS.md` lists the steps.

use std::collections::BTreeMap;
use std::fmt::Write;

use endivestile_config::model::Name;
use endivestile_config::{Mechanism, Policy};
use endivestile_kernel::fleet::{Job, JobEnd, RouteTable, Step as JobStep};
use endivestile_kernel::{Need, Time};

use super::worker::Behaviour;
use super::world::{FleetWorld, HOST_CPU_MILLI};
use crate::step::{Step, parse_duration_ms};

/// Time for the hosts of a new world to find each other, in milliseconds.
const SETTLE_MS: u64 = 3_000;
/// Default time until a job's deadline, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// A story in progress.
struct Story {
    world: FleetWorld,
    output: String,
}

/// Runs a story of fleets and returns its output.
///
/// # Errors
/// Returns the first line that is not a valid step, with the reason.
pub fn run_fleet_story(text: &str) -> Result<String, String> {
    let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let first = Step::from_line(lines.next().unwrap_or_default());
    if first.words.first() != Some(&"world") {
        return Err(format!("first line is not a `world` step: {}", first.line));
    }
    let zones: Vec<&str> = first.pairs.get("zones").copied().unwrap_or("a").split(',').collect();
    let cpu = first.number("cpu", 32_000)? as u32;
    let (hosts, workers) = (first.number("hosts", 2)?, first.number("workers", 2)?);
    let seed = first.number("seed", 1)?;
    let cpus = match first.pairs.get("cpus") {
        Some(cpus) => numbers(cpus)?,
        None => vec![HOST_CPU_MILLI; hosts as usize],
    };
    let policy = change_policy(Policy::default(), first.pairs.get("with"), Policy::with)?;
    let policy = change_policy(policy, first.pairs.get("without"), Policy::without)?;
    let mut world = FleetWorld::with_policy(policy, &zones, &cpus, workers, cpu, seed);
    world.trace_enabled = first.pairs.contains_key("trace");
    if first.pairs.contains_key("link") {
        world.set_link_bandwidth(first.number("link", 0)? as u32);
    }
    if first.pairs.contains_key("remote") {
        world.set_remote_factor(first.number("remote", 2)? as u32 * 1_000);
    }
    world.stagger_registration(first.duration_ms("register", 0)?);
    world.run(SETTLE_MS);
    let mut story = Story { world, output: String::new() };
    for line in lines {
        let step = Step::from_line(line);
        story.step(&step).map_err(|error| format!("{line}: {error}"))?;
    }
    Ok(story.output)
}

impl Story {
    /// Executes one step.
    fn step(&mut self, step: &Step<'_>) -> Result<(), String> {
        match step.words[0] {
            "run" => self.world.run(parse_duration_ms(step.word(1)?)?),
            "submit" => self.submit(step)?,
            "leave" => self.world.disconnect_caller(step.word(1)?),
            "answers" => self.answers(),
            "counts" => self.counts(),
            "owners" => self.owners(),
            "hosts" => self.hosts(),
            "starts" => self.starts(),
            "holds" => {
                let renewals = std::mem::take(&mut self.world.observed.renewals);
                let _ = writeln!(self.output, "holds: {renewals}");
            }
            "later" => self.later(parse_duration_ms(step.word(1)?)?),
            "runs" => {
                let runs: u32 =
                    self.world.observed.starts.values().map(|count| *count as u32).sum();
                let _ = writeln!(self.output, "runs: {runs}");
            }
            "counter" => {
                let name = step.word(1)?;
                let _ = writeln!(self.output, "{name}: {}", self.world.counter(name));
            }
            "check" => self.check(),
            "settled" => self.settled(),
            "trace" => self.output.push_str(&self.world.trace.join("\n")),
            _ => self.change_world(step)?,
        }
        Ok(())
    }

    /// Executes a step that changes the world.
    fn change_world(&mut self, step: &Step<'_>) -> Result<(), String> {
        let name = |at: usize| step.word(at).map(Name::from);
        match step.words[0] {
            "kill" => self.world.kill(&name(1)?),
            "start" => self.world.start(&name(1)?),
            "pause" => self.world.pause(&name(1)?),
            "resume" => {
                let name = name(1)?;
                let all: Vec<Name> = self.world.hosts.keys().cloned().collect();
                let named = all.into_iter().filter(|host| &*name == "all" || *host == name);
                named.for_each(|host| self.world.resume(&host));
            }
            "stop" => self.world.stop(&name(1)?),
            "reset" => {
                let times = step.number("times", 1)?;
                let every = step.duration_ms("every", 0)?;
                self.world.reset_links(&name(1)?, times, every * 1_000);
            }
            "clock" => {
                let error = step.parse_word(2)?;
                if let Some(host) = self.world.hosts.get_mut(&name(1)?) {
                    host.clock_error = error;
                }
            }
            "cut" => self.world.net.cut(step.word(1)?, step.word(2)?),
            "cost" => {
                let event_cost_us = parse_duration_ms(step.word(2)?)? * 1_000;
                let host = self.world.hosts.get_mut(&name(1)?).ok_or("unknown host")?;
                host.event_cost_us = event_cost_us;
            }
            "full" => {
                let host = self.world.hosts.get_mut(&name(1)?).ok_or("unknown host")?;
                host.returns_jobs = step.words.get(2) != Some(&"off");
            }
            "mute" => self.world.net.block(step.word(1)?, step.word(2)?),
            "heal" => self.world.net.heal(),
            "lose" => self.world.net.loss_percent = step.parse_word(1)?,
            "jitter" => self.world.net.jitter_us = parse_duration_ms(step.word(1)?)? * 1_000,
            "store" => self.store(step)?,
            "worker" => self.worker(step)?,
            "evacuate" => self.world.evacuate(&name(1)?, step.words.get(2) != Some(&"off")),
            "config" => {
                let version = self.world.table.version + 1;
                self.world.table = RouteTable { version, ..RouteTable::default() }.into();
            }
            verb => return Err(format!("unknown step `{verb}`")),
        }
        Ok(())
    }

    fn store(&mut self, step: &Step<'_>) -> Result<(), String> {
        let store = &mut self.world.store;
        match step.word(1)? {
            "down" => store.down = true,
            "up" => store.down = false,
            "slow" => store.delay_us = parse_duration_ms(step.word(2)?)? * 1_000,
            "loses" => store.answers_to_lose = step.parse_word(2)?,
            word => return Err(format!("expected store down, up, slow or loses, found `{word}`")),
        }
        Ok(())
    }

    fn worker(&mut self, step: &Step<'_>) -> Result<(), String> {
        let (name, now) = (Name::from(step.word(1)?), self.world.now);
        let worker = self.world.workers.get_mut(&name).ok_or("unknown worker")?;
        worker.advance(now);
        match step.word(2)? {
            "good" => {
                worker.behaviour = Behaviour::Good;
                worker.unresponsive = false;
            }
            "dark" => worker.unresponsive = true,
            "errors" => worker.behaviour = Behaviour::Errors,
            "hangs" => worker.behaviour = Behaviour::Hangs,
            "slow" => worker.behaviour = Behaviour::Slow(step.parse_word(3)?),
            "late" => worker.behaviour = Behaviour::Late(parse_duration_ms(step.word(3)?)?),
            "speed" => worker.speed = step.parse_word(3)?,
            "crash" => {
                self.world.observed.other_crashes += 1;
                let cpu = step.words.get(4).map(|_| step.parse_word(4)).transpose()?;
                match step.words.get(3) {
                    None => self.world.restart_worker(&name, cpu),
                    Some(down) => {
                        let down_us = parse_duration_ms(down)? * 1_000;
                        self.world.crash_worker(&name, down_us, cpu);
                    }
                }
            }
            "cpu" => worker.entry.capacity.cpu_milli = step.parse_word(3)?,
            "label" => worker.entry.labels = vec![Name::from(step.word(3)?)],
            "drains" => worker.entry.leaving = true,
            "gone" => worker.entry.address = Name::from(""),
            word => return Err(format!("unknown worker behaviour `{word}`")),
        }
        self.world.schedule_worker(&name);
        Ok(())
    }

    fn submit(&mut self, step: &Step<'_>) -> Result<(), String> {
        let times = step.number("times", 1)?;
        let every = step.duration_ms("every", 0)?;
        for number in 0..times {
            let suffix = if times == 1 { String::new() } else { format!("-{number}") };
            self.submit_one(step, &suffix)?;
            self.world.run(every);
        }
        Ok(())
    }

    fn submit_one(&mut self, step: &Step<'_>, suffix: &str) -> Result<(), String> {
        let name = format!("{}{suffix}", step.word(1)?);
        let front = Name::from(step.pairs.get("at").copied().ok_or("at=HOST is missing")?);
        let id = step.pairs.get("id").map_or_else(|| name.clone(), |id| format!("{id}{suffix}"));
        let work = step.number("ms", 100)?;
        let estimate = step.number("told", work)? as u32;
        let deadline = step.duration_ms("deadline", DEADLINE_MS)?;
        let need =
            Need { cpu_milli: step.number("cpu", 14_000)? as u32, memory_mb: 64, accelerators: 0 };
        let steps = (0..step.number("steps", 1)?).map(|number| JobStep {
            count: step.pairs.get("tasks").map_or(1, |tasks| tasks.parse().unwrap_or(1)),
            first_task: 0,
            number: number as u16,
            need,
            estimate_ms: estimate,
            after: (0..number as u16).collect(),
            required_label: step.pairs.get("label").map(|label| Name::from(*label)),
            near_label: step.pairs.get("near").map(|near| Name::from(*near)),
            max_per_worker: step.pairs.get("spread").map_or(0, |limit| limit.parse().unwrap_or(0)),
        });
        let job = Job {
            id: Name::from(id),
            request: Name::from(name.as_str()),
            spec: Name::from("work"),
            steps: steps.collect(),
            service: Name::from("service"),
            route: Name::from("route"),
            priority: 0,
            max_attempts: step.number("attempts", 3)? as u32,
            stretch_milli: 1_600,
            allowance_ms: 60,
            arrived: Time::ZERO,
            deadline: Time::ZERO.after_ms(deadline),
            run_base: 0,
            forwarded: false,
        };
        let id = job.id.clone();
        self.world.submit(&name, &front, job, work, step.number("again", 1)? == 1);
        let crash_us = step.pairs.get("crash").map(|after| parse_duration_ms(after)).transpose()?;
        if let Some(work) = self.world.job_work.get_mut(&id) {
            work.crash_us = work.crash_us.or(crash_us.map(|ms| ms * 1_000));
        }
        Ok(())
    }

    /// Prints the outcome of each call.
    fn answers(&mut self) {
        for call in self.world.calls.values() {
            let answer = match &call.ended {
                None => String::from("waits"),
                Some((_, None)) => String::from("connection ended"),
                Some((at, Some(end))) => {
                    let ms = (at - call.made_at) / 1_000;
                    format!("{} {ms} ms", end_label(end))
                }
            };
            let _ = writeln!(self.output, "{} {answer}", call.name);
        }
    }

    /// Prints the number of calls by outcome.
    fn counts(&mut self) {
        let mut counts = std::collections::BTreeMap::<String, u32>::new();
        for call in self.world.calls.values() {
            let answer = match &call.ended {
                None => String::from("waits"),
                Some((_, None)) => String::from("connection ended"),
                Some((_, Some(end))) => end_label(end),
            };
            *counts.entry(answer).or_default() += 1;
        }
        for (answer, count) in counts {
            let _ = writeln!(self.output, "{answer}: {count}");
        }
    }

    /// Prints how many calls took longer than `ms` milliseconds.
    fn later(&mut self, ms: u64) {
        let is_later = |call: &&super::calls::CallLog| {
            let end = call.ended.as_ref().map_or(self.world.now, |(at, _)| *at);
            end - call.made_at > ms * 1_000
        };
        let count = self.world.calls.values().filter(is_later).count();
        let _ = writeln!(self.output, "later than {ms} ms: {count}");
    }

    /// Prints the ownership records in the store; pools of a zone with equal records share a line.
    fn owners(&mut self) {
        let mut pools: BTreeMap<String, u32> = BTreeMap::new();
        for (key, (_, value)) in &self.world.store.keys {
            if let Some(pool) = key.strip_prefix(endivestile_kernel::fleet::POOL_KEY_PREFIX) {
                let zone = pool.split('/').next().unwrap_or(pool);
                let line = format!("{zone} {}", String::from_utf8_lossy(value));
                *pools.entry(line).or_default() += 1;
            }
        }
        for (line, count) in pools {
            let _ = writeln!(self.output, "{line} pools={count}");
        }
    }

    /// Prints the state of each host's process.
    fn hosts(&mut self) {
        for (name, host) in &self.world.hosts {
            let state = match (&host.fleet, &host.paused) {
                (None, _) => "ended",
                (Some(_), Some(_)) => "paused",
                (Some(_), None) => "running",
            };
            let _ = writeln!(self.output, "{name} {state}");
        }
    }

    /// Prints the number of task starts by worker.
    fn starts(&mut self) {
        for (worker, count) in &self.world.observed.starts {
            let _ = writeln!(self.output, "{worker} {count}");
        }
    }

    /// Prints the breaches of guarantees.
    fn check(&mut self) {
        for breach in self.world.breaches() {
            let _ = writeln!(self.output, "{breach}");
        }
        if self.world.breaches().is_empty() {
            self.output.push_str("every promise kept\n");
        }
    }

    /// Prints the open calls.
    fn settled(&mut self) {
        let open = self.world.unanswered();
        match open.as_slice() {
            [] => self.output.push_str("every call answered\n"),
            open => {
                let _ = writeln!(self.output, "no answer: {}", open.join(" "));
            }
        }
    }
}

/// Returns an outcome as stories print it.
fn end_label(end: &JobEnd) -> String {
    match end.reason() {
        None => end.label().to_owned(),
        Some(reason) => format!("{} {}", end.label(), reason.label()),
    }
}

/// Enables or disables the listed mechanisms.
fn change_policy(
    mut policy: Policy,
    list: Option<&&str>,
    change: impl Fn(Policy, Mechanism) -> Policy,
) -> Result<Policy, String> {
    for label in list.into_iter().flat_map(|list| list.split(',')) {
        let mechanism = Mechanism::by_label(label).ok_or(format!("not a mechanism: `{label}`"))?;
        policy = change(policy, mechanism);
    }
    Ok(policy)
}

/// Parses a comma-separated list of numbers.
fn numbers(list: &str) -> Result<Vec<u32>, String> {
    list.split(',')
        .map(|word| word.parse().map_err(|_| format!("not a number: `{word}`")))
        .collect()
}
