//! The course of an experiment.

use std::error::Error;
use std::path::Path;
use std::thread;
use std::time::Instant;

use endivestile_lab::{Arrival, Burst, Load, Mix, generate_trace, ideal_ms};
use endivestile_testkit::{Caller, DaemonCommand, Deployment, wait_for};

use crate::counters::{Counts, adopted_revision, difference, read_counters};
use crate::fault::{self, FaultKind};
use crate::replay::{Outcome, Replayer};
use crate::spec::{Spec, TEAMS, server};

/// Seconds that all hosts have to adopt a configuration.
const ADOPT_S: u64 = 20;
/// Seconds that machines have to finish after the last answer.
const DRAIN_S: u64 = 60;
/// Factor of a burst.
const BURST: f64 = 5.0;
/// Team that floods.
const FLOODER: usize = 2;

/// One policy at one load, once.
#[derive(Debug, Clone)]
pub(crate) struct Slice {
    /// Policy.
    pub(crate) policy: String,
    /// Load in percent of capacity.
    pub(crate) load: u32,
    /// What arrived.
    pub(crate) arrivals: Vec<Arrival>,
    /// What the ideal gives, by index in `arrivals`.
    pub(crate) ideal_ms: Vec<f64>,
    /// What came back.
    pub(crate) outcomes: Vec<Outcome>,
    /// What was counted.
    pub(crate) counts: Counts,
    /// Length of the slice with its drain, in seconds.
    pub(crate) span_s: f64,
    /// Works that were started more than once, idempotent requests apart.
    pub(crate) doubled: usize,
    /// Most tasks at once on one server.
    pub(crate) peak: usize,
}

/// Runs all slices: for each load, rounds in which each policy gets the same trace.
pub(crate) fn run(spec: &Spec, daemon: &Path) -> Result<Vec<Slice>, Box<dyn Error>> {
    let mut deployment = Deployment::start(spec.plan(), &DaemonCommand::new(daemon))?;
    let agent = Caller::new(deployment.hosts[0].address(), TEAMS[0]);
    let agent = agent.deadline_ms(spec.deadline_ms);
    warm(spec, &mut deployment, &agent)?;
    let mut slices = Vec::new();
    for load in &spec.loads {
        for round in 0..spec.rounds {
            let arrivals = draw_arrivals(spec, *load, round);
            for n in 0..spec.policies.len() {
                // Another policy begins each round, so that none always follows the same one.
                let policy = &spec.policies[(n + round) % spec.policies.len()];
                adopt(&mut deployment, &agent, policy)?;
                let name = format!("{load}-{round}-{policy}");
                let mut slice = replay(spec, &mut deployment, &agent, &name, arrivals.clone())?;
                (slice.policy, slice.load) = (policy.clone(), *load);
                eprintln!("event=slice load={load} round={round} policy={policy}");
                slices.push(slice);
            }
        }
    }
    Ok(slices)
}

/// Runs a slice that is not counted, so that speeds are learnt and connections open.
fn warm(spec: &Spec, deployment: &mut Deployment, agent: &Caller) -> Result<(), Box<dyn Error>> {
    const LOAD: u32 = 60;
    adopt(deployment, agent, &spec.policies[0])?;
    let calm = Spec { fault: FaultKind::None, ..spec.clone() };
    let arrivals = draw_arrivals(&calm, LOAD, usize::MAX >> 1);
    replay(&calm, deployment, agent, "warm", arrivals).map(|_| ())
}

/// Draws the arrivals of a round; each round has a seed of its own.
fn draw_arrivals(spec: &Spec, load: u32, round: usize) -> Vec<Arrival> {
    let (from_us, to_us) = (spec.from_ms * 1_000, spec.to_ms * 1_000);
    let burst = Burst { from_us, to_us, factor: BURST };
    let load = Load {
        seed: spec.seed + round as u64,
        work_rate: spec.capacity() * f64::from(load) / 100.0,
        span_us: spec.slice_ms * 1_000,
        burst: (spec.fault == FaultKind::Burst).then_some(burst),
    };
    let mut arrivals = generate_trace(&load, &spec.mix());
    if spec.fault == FaultKind::Flood {
        let mut team_weights = [0; 3];
        team_weights[FLOODER] = 1;
        let flood = Load { seed: !load.seed, work_rate: spec.capacity(), ..load };
        let extra = generate_trace(&flood, &Mix { team_weights, ..spec.mix() });
        arrivals
            .extend(extra.into_iter().filter(|arrival| (from_us..to_us).contains(&arrival.at_us)));
        arrivals.sort_by_key(|arrival| arrival.at_us);
    }
    arrivals
}

/// Puts a policy in force at all hosts.
fn adopt(deployment: &mut Deployment, agent: &Caller, policy: &str) -> Result<(), Box<dyn Error>> {
    let wanted = deployment.reconfigure(|config| config.rules.policy = policy.into());
    let in_force =
        || deployment.hosts.iter().all(|host| adopted_revision(agent, host.address()) >= wanted);
    if wait_for(ADOPT_S, in_force) { Ok(()) } else { Err("a configuration was not adopted".into()) }
}

fn replay(
    spec: &Spec,
    deployment: &mut Deployment,
    agent: &Caller,
    name: &str,
    arrivals: Vec<Arrival>,
) -> Result<Slice, Box<dyn Error>> {
    deployment.servers.clear_starts();
    let addresses: Vec<_> = deployment.hosts.iter().map(|host| host.address()).collect();
    let replayer = Replayer::new(spec, agent, &addresses, name, &arrivals)?;
    let before = read_counters(deployment, agent);
    let began = Instant::now();
    let outcomes = thread::scope(|scope| {
        let replay = scope.spawn(|| replayer.replay(spec, &arrivals, began));
        fault::inject(spec, deployment, began);
        replay.join().map_err(|_| "the replay panicked")
    })?;
    if !wait_for(DRAIN_S, || deployment.servers.running() == 0) {
        return Err("tasks still run long after the last answer".into());
    }
    let counts = difference(&before, &read_counters(deployment, agent));
    let once = |(work, _): &(String, usize)| is_once(work, &arrivals);
    Ok(Slice {
        policy: String::new(),
        load: 0,
        ideal_ms: ideal_ms(&arrivals, &spec.slot_groups()),
        outcomes,
        counts,
        span_s: began.elapsed().as_secs_f64(),
        doubled: deployment.servers.duplicate_starts().iter().filter(|work| once(work)).count(),
        peak: (0..spec.servers)
            .map(|n| deployment.servers.peak_running(&server(n)))
            .max()
            .unwrap_or(0),
        arrivals,
    })
}

/// Tells whether a work, keyed `<slice>-<index>-<task>`, may start only once.
fn is_once(work: &str, arrivals: &[Arrival]) -> bool {
    let index = work.rsplit('-').nth(1).and_then(|text| text.parse::<usize>().ok());
    let arrival = index.and_then(|index| arrivals.get(index));
    arrival.is_none_or(|arrival| arrival.kind != endivestile_lab::Kind::Idempotent)
}
