//! Sequence of an experiment: warm-up, then slices of all loads, rounds and policies.

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

/// Timeout for all hosts to adopt a configuration, in seconds.
const ADOPT_TIMEOUT_S: u64 = 20;
/// Timeout for running tasks to end after the last answer, in seconds.
const DRAIN_TIMEOUT_S: u64 = 60;
/// Factor of the arrival rate in a burst.
const BURST_FACTOR: f64 = 5.0;
/// Index of the team that submits the additional load of a flood.
const FLOOD_TEAM: usize = 2;

/// One replay of a trace, with one policy at one load.
#[derive(Debug, Clone)]
pub(crate) struct Slice {
    /// Placement policy.
    pub(crate) policy: String,
    /// Load in percent of capacity.
    pub(crate) load: u32,
    /// The trace.
    pub(crate) arrivals: Vec<Arrival>,
    /// Response times of the ideal schedule in milliseconds, by index in `arrivals`.
    pub(crate) ideal_ms: Vec<f64>,
    /// Outcomes of the submissions.
    pub(crate) outcomes: Vec<Outcome>,
    /// Increase of each counter.
    pub(crate) counts: Counts,
    /// Length of the slice, until all tasks have ended, in seconds.
    pub(crate) span_s: f64,
    /// Works that were started more than once, not counting those of idempotent requests.
    pub(crate) doubled: usize,
    /// Largest number of tasks that ran at once on one backend server.
    pub(crate) peak: usize,
}

/// Runs all slices. In each round of a load, every policy gets the same trace.
pub(crate) fn run(spec: &Spec, daemon: &Path) -> Result<Vec<Slice>, Box<dyn Error>> {
    let mut deployment = Deployment::start(spec.plan(), &DaemonCommand::new(daemon))?;
    let base_caller = Caller::new(deployment.hosts[0].address(), TEAMS[0]);
    let base_caller = base_caller.deadline_ms(spec.deadline_ms);
    warm_up(spec, &mut deployment, &base_caller)?;
    let mut slices = Vec::new();
    for load in &spec.loads {
        for round in 0..spec.rounds {
            let arrivals = draw_arrivals(spec, *load, round);
            for n in 0..spec.policies.len() {
                // Each round starts with another policy, so that the order does not favour one.
                let policy = &spec.policies[(n + round) % spec.policies.len()];
                adopt(&mut deployment, &base_caller, policy)?;
                let name = format!("{load}-{round}-{policy}");
                let mut slice =
                    run_slice(spec, &mut deployment, &base_caller, &name, arrivals.clone())?;
                (slice.policy, slice.load) = (policy.clone(), *load);
                eprintln!("event=slice load={load} round={round} policy={policy}");
                slices.push(slice);
            }
        }
    }
    Ok(slices)
}

/// Runs an unmeasured slice, in which hosts learn speeds and open connections.
fn warm_up(
    spec: &Spec,
    deployment: &mut Deployment,
    base_caller: &Caller,
) -> Result<(), Box<dyn Error>> {
    const LOAD: u32 = 60;
    adopt(deployment, base_caller, &spec.policies[0])?;
    let faultless = Spec { fault: FaultKind::None, ..spec.clone() };
    let arrivals = draw_arrivals(&faultless, LOAD, usize::MAX >> 1);
    run_slice(&faultless, deployment, base_caller, "warm", arrivals).map(|_| ())
}

/// Generates the arrivals of a round; each round has its own seed.
fn draw_arrivals(spec: &Spec, load: u32, round: usize) -> Vec<Arrival> {
    let (from_us, to_us) = (spec.from_ms * 1_000, spec.to_ms * 1_000);
    let burst = Burst { from_us, to_us, factor: BURST_FACTOR };
    let load = Load {
        seed: spec.seed + round as u64,
        work_rate: spec.capacity() * f64::from(load) / 100.0,
        span_us: spec.slice_ms * 1_000,
        burst: (spec.fault == FaultKind::Burst).then_some(burst),
    };
    let mut arrivals = generate_trace(&load, &spec.mix());
    if spec.fault == FaultKind::Flood {
        let mut team_weights = [0; 3];
        team_weights[FLOOD_TEAM] = 1;
        let flood = Load { seed: !load.seed, work_rate: spec.capacity(), ..load };
        let extra = generate_trace(&flood, &Mix { team_weights, ..spec.mix() });
        arrivals
            .extend(extra.into_iter().filter(|arrival| (from_us..to_us).contains(&arrival.at_us)));
        arrivals.sort_by_key(|arrival| arrival.at_us);
    }
    arrivals
}

/// Configures a policy and waits until all hosts have adopted it.
fn adopt(
    deployment: &mut Deployment,
    base_caller: &Caller,
    policy: &str,
) -> Result<(), Box<dyn Error>> {
    let revision = deployment.reconfigure(|config| config.rules.policy = policy.into());
    let in_force = || {
        deployment
            .hosts
            .iter()
            .all(|host| adopted_revision(base_caller, host.address()) >= revision)
    };
    if wait_for(ADOPT_TIMEOUT_S, in_force) {
        Ok(())
    } else {
        Err("not all hosts adopted the configuration".into())
    }
}

/// Replays arrivals with the policy in force, and returns the slice without policy and load.
fn run_slice(
    spec: &Spec,
    deployment: &mut Deployment,
    base_caller: &Caller,
    name: &str,
    arrivals: Vec<Arrival>,
) -> Result<Slice, Box<dyn Error>> {
    deployment.servers.clear_starts();
    let addresses: Vec<_> = deployment.hosts.iter().map(|host| host.address()).collect();
    let replayer = Replayer::new(spec, base_caller, &addresses, name, &arrivals)?;
    let before = read_counters(deployment, base_caller);
    let started = Instant::now();
    let outcomes = thread::scope(|scope| {
        let replay = scope.spawn(|| replayer.replay(spec, &arrivals, started));
        fault::inject(spec, deployment, started);
        replay.join().map_err(|_| "the replay panicked")
    })?;
    if !wait_for(DRAIN_TIMEOUT_S, || deployment.servers.running() == 0) {
        return Err("tasks keep running after the last answer".into());
    }
    let counts = difference(&before, &read_counters(deployment, base_caller));
    let once = |(work, _): &(String, usize)| is_once(work, &arrivals);
    Ok(Slice {
        policy: String::new(),
        load: 0,
        ideal_ms: ideal_ms(&arrivals, &spec.slot_groups()),
        outcomes,
        counts,
        span_s: started.elapsed().as_secs_f64(),
        doubled: deployment.servers.duplicate_starts().iter().filter(|work| once(work)).count(),
        peak: (0..spec.servers)
            .map(|n| deployment.servers.peak_running(&server(n)))
            .max()
            .unwrap_or(0),
        arrivals,
    })
}

/// Returns whether a work, keyed `<slice>-<index>-<task>`, must not start more than once.
fn is_once(work: &str, arrivals: &[Arrival]) -> bool {
    let index = work.rsplit('-').nth(1).and_then(|text| text.parse::<usize>().ok());
    let arrival = index.and_then(|index| arrivals.get(index));
    arrival.is_none_or(|arrival| arrival.kind != endivestile_lab::Kind::Idempotent)
}
