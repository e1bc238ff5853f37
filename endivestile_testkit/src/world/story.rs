//! Stories: scripted scenarios, one step per line.
//!
//! `docs/SCENARIOS.md` lists the steps. The output of a story is that of its steps such as
//! `answers`, `starts`, `hosts` and `check`.

use std::collections::BTreeMap;
use std::fmt::Write;

use endivestile_config::model::{Config, Host, Name, Rules, Server, Service, Team, Worker, Zone};
use endivestile_kernel::{Ask, Need, PlatformState, SubmissionId};

use super::call::millis;
use super::{BackendMode, SubmitCall, WALL_S, World};
use crate::step::{Step, parse_duration_ms};

/// Default time until a submission's deadline, in milliseconds.
const DEADLINE_MS: u64 = 30_000;
/// Time for the hosts of a new world to find each other, in milliseconds.
const SETTLE_MS: u64 = 3_000;

/// A story in progress.
struct Story {
    world: World,
    /// Numbers of the calls by their names in the story.
    call_numbers: BTreeMap<String, u64>,
    /// Submission ids by their keys in the story.
    ids: BTreeMap<String, SubmissionId>,
    output: String,
    /// Number of store calls when the story last printed it.
    printed_calls: u64,
}

/// Runs a story and returns its output.
///
/// # Errors
/// Returns the first line that is not a valid step, with the reason.
pub fn run_story(text: &str) -> Result<String, String> {
    let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let first = Step::from_line(lines.next().unwrap_or_default());
    if first.words.first() != Some(&"world") {
        return Err(format!("first line is not a `world` step: {}", first.line));
    }
    let mut world =
        World::new(first.config()?, first.number("seed", 1)?, first.number("seeds", 1)? == 1);
    for server in world.server_names() {
        world.set_task_duration(&server, first.number("ms", 100)?);
    }
    world.run(SETTLE_MS);
    let mut story = Story {
        world,
        call_numbers: BTreeMap::new(),
        ids: BTreeMap::new(),
        output: String::new(),
        printed_calls: 0,
    };
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
            "ask" => self.ask(step, Ask::Fetch)?,
            "cancel" => self.ask(step, Ask::Cancel)?,
            "mint" => self.mint(step)?,
            "answers" => self.answers(),
            "starts" => self.starts(),
            "servers" => self.servers(),
            "check" => self.check(),
            "settled" => self.settled(),
            "slower" => self.slower(step)?,
            "hosts" => self.hosts(),
            "calls" => self.store_calls(),
            _ => self.change_world(step)?,
        }
        Ok(())
    }

    /// Executes a step that changes the world.
    fn change_world(&mut self, step: &Step<'_>) -> Result<(), String> {
        match step.words[0] {
            "kill" => {
                let host = self.host(step, 1)?;
                self.world.kill(&host);
            }
            "start" => {
                let host = self.host(step, 1)?;
                self.world.start(&host);
            }
            "pause" => {
                let host = self.host(step, 1)?;
                self.world.pause(&host);
            }
            "resume" => self.resume(step)?,
            "shutdown" => {
                let host = self.host(step, 1)?;
                self.world.shutdown(&host);
            }
            "cut" => self.world.cut(step.word(1)?, step.word(2)?),
            "heal" => self.world.heal(),
            "lose" => self.world.set_frame_loss(step.parse_word(1)?),
            "jitter" => self.world.set_jitter(parse_duration_ms(step.word(1)?)?),
            "store" => self.store(step)?,
            "server" => self.server(step)?,
            "list" => self.world.set_listed_state(step.word(1)?, platform_state(step.word(2)?)?),
            "stop" => self.world.set_planned_stop(step.word(1)?, true),
            "unstop" => self.world.set_planned_stop(step.word(1)?, false),
            "accept" => self.accept(step)?,
            "offer-old" => self.world.offer_oldest_config(step.word(1)?),
            verb => return Err(format!("unknown step `{verb}`")),
        }
        Ok(())
    }

    fn resume(&mut self, step: &Step<'_>) -> Result<(), String> {
        let hosts = match step.word(1)? {
            "all" => self.world.paused_hosts(),
            host => vec![Name::from(host)],
        };
        for host in hosts {
            self.world.resume(&host);
        }
        Ok(())
    }

    /// Returns the host named at a word, or the home of an id for `home ID`.
    fn host(&self, step: &Step<'_>, at: usize) -> Result<String, String> {
        let word = step.word(at)?;
        if word != "home" {
            return Ok(word.to_owned());
        }
        let id = self.ids.get(step.word(at + 1)?).ok_or("unknown id")?;
        let home = self.world.home_of(id).ok_or("the shard has no record")?;
        Ok(home.to_string())
    }

    fn submit(&mut self, step: &Step<'_>) -> Result<(), String> {
        let name = step.word(1)?.to_owned();
        let key = step.pairs.get("id").copied();
        let word = step.pairs.get("work").copied().or(key).unwrap_or(&name);
        let every = step.duration_ms("every", 0)?;
        for suffix in step.suffixes()? {
            let id = key.map(|key| self.id(&format!("{key}{suffix}"))).transpose()?;
            let submit = SubmitCall {
                host: Name::from(*step.pairs.get("at").ok_or("at=HOST is missing")?),
                id,
                work_name: format!("{word}{suffix}"),
                team: Name::from(*step.pairs.get("team").unwrap_or(&"m")),
                tasks: step.number("tasks", 1)? as usize,
                deadline_ms: step.duration_ms("deadline", DEADLINE_MS)?,
                declared_ms: step.duration_ms("declared", 0)? as u32,
                need: step.need()?,
            };
            let call = self.world.submit(submit);
            self.call_numbers.insert(format!("{name}{suffix}"), call);
            self.world.run(every);
        }
        Ok(())
    }

    /// Returns the submission id for a key of the story, created at its first use.
    fn id(&mut self, key: &str) -> Result<SubmissionId, String> {
        if let Some(id) = self.ids.get(key) {
            return Ok(id.clone());
        }
        let wall = WALL_S + self.world.now() / 1_000_000;
        let text = format!("{wall}:{key}");
        let id = SubmissionId::parse(&text).map_err(|error| error.to_string())?;
        self.ids.insert(key.to_owned(), id.clone());
        Ok(id)
    }

    fn mint(&mut self, step: &Step<'_>) -> Result<(), String> {
        let host = step.pairs.get("at").ok_or("at=HOST is missing")?;
        let id = self.world.mint(host).ok_or("the host does not run")?;
        self.ids.insert(step.word(1)?.to_owned(), id);
        Ok(())
    }

    fn ask(&mut self, step: &Step<'_>, ask: Ask) -> Result<(), String> {
        let name = step.word(1)?.to_owned();
        let key = *step.pairs.get("id").ok_or("id=KEY is missing")?;
        let host = step.pairs.get("at").ok_or("at=HOST is missing")?;
        for suffix in step.suffixes()? {
            let id = self.id(&format!("{key}{suffix}"))?;
            let call = self.world.ask(host, &id, ask);
            self.call_numbers.insert(format!("{name}{suffix}"), call);
        }
        Ok(())
    }

    /// Prints the answer of each call; calls of one `times=` step are counted by answer.
    fn answers(&mut self) {
        let mut groups: BTreeMap<(&str, String), usize> = BTreeMap::new();
        for (name, call) in &self.call_numbers {
            let label = self.world.calls()[call].label();
            match name.split_once('-') {
                Some((group, _)) => *groups.entry((group, label)).or_default() += 1,
                None => {
                    let _ = writeln!(self.output, "{name} {label}");
                }
            }
        }
        for ((group, label), count) in groups {
            let _ = writeln!(self.output, "{group}: {count} {label}");
        }
    }

    /// Prints the number of task starts by work; work of one `times=` step is counted together.
    fn starts(&mut self) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for start in self.world.starts() {
            let word = start.work.rsplit_once('/').map_or(start.work.as_str(), |(word, _)| word);
            let word = word.split_once('-').map_or(word, |(group, _)| group);
            *counts.entry(word).or_default() += 1;
        }
        for (word, count) in counts {
            let _ = writeln!(self.output, "{word} started {count}");
        }
    }

    /// Prints the number of task starts by backend server or worker.
    fn servers(&mut self) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for start in self.world.starts() {
            *counts.entry(&start.server).or_default() += 1;
        }
        for (server, count) in counts {
            let _ = writeln!(self.output, "{server} ran {count}");
        }
    }

    /// Prints the breaches of guarantees.
    fn check(&mut self) {
        let breaches = self.world.check();
        if breaches.is_empty() {
            self.output.push_str("every promise kept\n");
        }
        for breach in breaches {
            let _ = writeln!(self.output, "{breach}");
        }
    }

    /// Prints how many calls took longer than a span.
    fn slower(&mut self, step: &Step<'_>) -> Result<(), String> {
        let span = parse_duration_ms(step.word(1)?)?;
        let took = self.call_numbers.values().filter_map(|call| self.world.duration_ms(*call));
        let count = took.filter(|took| *took > span).count();
        let _ = writeln!(self.output, "{count} calls took longer than {span} ms");
        Ok(())
    }

    /// Prints the open calls.
    fn settled(&mut self) {
        let mut open = 0;
        for (name, call) in &self.call_numbers {
            if self.world.calls()[call].status() == "open" {
                let _ = writeln!(self.output, "{name} has no answer");
                open += 1;
            }
        }
        if open == 0 {
            self.output.push_str("every call answered\n");
        }
    }

    /// Prints the state and the configuration revision of each host.
    fn hosts(&mut self) {
        for (name, revision, state) in self.world.host_states() {
            let _ = writeln!(self.output, "{name} {state} revision {revision}");
        }
    }

    /// Prints the number of store calls since this step last ran.
    fn store_calls(&mut self) {
        let calls = self.world.store_calls();
        let _ = writeln!(self.output, "{} calls to the store", calls - self.printed_calls);
        self.printed_calls = calls;
    }

    fn store(&mut self, step: &Step<'_>) -> Result<(), String> {
        match step.word(1)? {
            "down" => self.world.set_store_down(true),
            "up" => self.world.set_store_down(false),
            "slow" => self.world.set_store_delay(parse_duration_ms(step.word(2)?)?),
            "loses" => self.world.lose_store_answers(step.parse_word(2)?),
            word => return Err(format!("expected store down, up, slow or loses, found `{word}`")),
        }
        Ok(())
    }

    fn server(&mut self, step: &Step<'_>) -> Result<(), String> {
        let name = step.word(1)?;
        match step.word(2)? {
            "good" => self.world.set_mode(name, BackendMode::Good),
            "refuses" => self.world.set_mode(name, BackendMode::Refuse),
            "closes" => self.world.set_mode(name, BackendMode::Close),
            "fails" => self.world.set_mode(name, BackendMode::Fail),
            "hangs" => self.world.set_mode(name, BackendMode::Hang),
            "leaves" => self.world.set_mode(name, BackendMode::Leaving),
            "takes" => self.world.set_task_duration(name, parse_duration_ms(step.word(3)?)?),
            word => return Err(format!("unknown server behaviour `{word}`")),
        }
        Ok(())
    }

    fn accept(&mut self, step: &Step<'_>) -> Result<(), String> {
        let limit: u32 = step.number("limit", 1_000)? as u32;
        let policy = step.pairs.get("policy").copied();
        let without = step.pairs.get("without").copied().unwrap_or_default();
        self.world.accept_config(|config| {
            config.hosts.retain(|name, _| !without.split(',').any(|gone| **name == *gone));
            for team in config.teams.values_mut() {
                team.limit = limit;
            }
            if let Some(policy) = policy {
                config.rules.policy = Name::from(policy);
            }
        });
        Ok(())
    }
}

impl Step<'_> {
    /// Returns the suffixes that `times=` adds to a name: an empty one for a single call.
    fn suffixes(&self) -> Result<Vec<String>, String> {
        let times = self.number("times", 1)?;
        if times == 1 {
            return Ok(vec![String::new()]);
        }
        Ok((0..times).map(|number| format!("-{number}")).collect())
    }

    /// Returns the resources that a task needs; `None` for a task of the service.
    fn need(&self) -> Result<Option<Need>, String> {
        if !self.pairs.contains_key("cpu") {
            return Ok(None);
        }
        let cpu_milli = self.number("cpu", 0)? as u32;
        let memory_mb = self.number("memory", 0)? as u32;
        let accelerators = self.number("accelerators", 0)? as u16;
        Ok(Some(Need { cpu_milli, memory_mb, accelerators }))
    }

    /// Creates the configuration of `world zones=a,b hosts=N servers=N …`: hosts `a1`, `a2`…,
    /// backend servers `a-s1`… and workers `a-w1`… in every zone.
    fn config(&self) -> Result<Config, String> {
        let mut config = Config { revision: 1, ..Config::default() };
        let zones = self.pairs.get("zones").copied().unwrap_or("a");
        let slots = self.number("slots", 4)? as u32;
        let mut service = Service { servers: Vec::new(), path: Name::from("/") };
        for (number, zone) in zones.split(',').enumerate() {
            let zone = Name::from(zone);
            config.zones.insert(zone.clone(), Zone { region: Name::from("r") });
            for index in 1..=self.number("hosts", 2)? {
                let address = Name::from(format!("10.0.{number}.{index}:1"));
                let host = Host { zone: zone.clone(), address, weight: 1 };
                config.hosts.insert(Name::from(format!("{zone}{index}")), host);
            }
            for index in 1..=self.number("servers", 2)? {
                let name = Name::from(format!("{zone}-s{index}"));
                let address = Name::from(format!("10.1.{number}.{index}:1"));
                let rack = Name::from(format!("{zone}-r{}", index / 2));
                let server = Server { zone: zone.clone(), rack, address, slots, connections: 64 };
                service.servers.push(name.clone());
                config.servers.insert(name, server);
            }
            for index in 1..=self.number("workers", 0)? {
                let name = Name::from(format!("{zone}-w{index}"));
                let worker = Worker {
                    zone: zone.clone(),
                    rack: Name::from(format!("{zone}-r{}", index / 2)),
                    address: Name::from(format!("10.2.{number}.{index}:1")),
                    cpu_milli: 4_000,
                    memory_mb: 8_192,
                    accelerators: if index == 1 { 1 } else { 0 },
                };
                config.workers.insert(name, worker);
            }
        }
        config.services.insert(Name::from("service"), service);
        for team in self.pairs.get("teams").copied().unwrap_or("m").split(',') {
            let limit = self.number("limit", 10_000)? as u32;
            config.teams.insert(Name::from(team), Team { limit, weight: 1 });
        }
        let rules = Rules::default();
        let shards = self.number("shards", 8)? as u32;
        let window_s = self.duration_ms("window", rules.window_s * 1_000)? / 1_000;
        config.rules = Rules { shards, window_s, ..rules };
        Ok(config)
    }
}

fn platform_state(word: &str) -> Result<PlatformState, String> {
    match word {
        "live" => Ok(PlatformState::Live),
        "leaving" => Ok(PlatformState::Leaving),
        "gone" => Ok(PlatformState::Gone),
        _ => Err(format!("expected live, leaving or gone, found `{word}`")),
    }
}

impl World {
    fn server_names(&self) -> Vec<Name> {
        self.backends.keys().cloned().collect()
    }

    fn paused_hosts(&self) -> Vec<Name> {
        let paused = self.sim_hosts.iter().filter(|(_, sim_host)| sim_host.paused);
        paused.map(|(name, _)| name.clone()).collect()
    }

    fn host_states(&self) -> Vec<(Name, u64, &'static str)> {
        let states = self.sim_hosts.iter().map(|(name, sim_host)| {
            let state = match (&sim_host.kernel, sim_host.paused) {
                (None, _) => "ended",
                (Some(_), true) => "paused",
                (Some(_), false) => "running",
            };
            (name.clone(), self.revision(name), state)
        });
        states.collect()
    }

    /// Returns how long a call took, in milliseconds.
    pub fn duration_ms(&self, call: u64) -> Option<u64> {
        let log = self.calls.get(&call)?;
        Some(millis(log.ended? - log.made_at))
    }
}
