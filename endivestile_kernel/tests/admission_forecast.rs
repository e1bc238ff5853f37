//! The admission decision and the guaranteed shares, under the loads that they answer.

use std::collections::BTreeMap;

use endivestile_config::model::Name;
use endivestile_kernel::Time;
use endivestile_kernel::fleet::{Ahead, Demand, Grounds, Shares, Snapshot, Verdict, delay_class};
use test_case::test_case;

/// Cores of the workers.
const CORES: f64 = 1_000.0;
/// Rate at which the workers do work in these tests, in cores.
const RATE: f64 = 800.0;
const SECOND_US: f64 = 1e6;

fn at_ms(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

/// Two seconds into a burst of this many times the capacity, a quarter of it of priority 0, half
/// of priority 1 and a quarter of priority 2.
fn burst(times: f64) -> Snapshot {
    let offered = RATE * times;
    Snapshot {
        taken: at_ms(9_990),
        recorded_since: at_ms(1_000),
        contended_since: Some(at_ms(8_000)),
        capacity: CORES,
        free: 30.0,
        on_time: BTreeMap::from([((1, at_ms(10_100)), RATE * 0.02 * SECOND_US)]),
        late: BTreeMap::new(),
        running: RATE * 0.1 * SECOND_US,
        started: RATE,
        ended: RATE,
        offered: BTreeMap::from([
            ((0, delay_class(280e3)), offered / 4.0),
            ((1, delay_class(240e3)), offered / 2.0),
            ((2, delay_class(2_100e3)), offered / 4.0),
        ]),
        transit_us: 2_000.0,
        rejected: RATE * SECOND_US,
    }
}

/// A job of four tasks that arrives at 10 s, with the objective and deadline of the users' jobs.
fn job(priority: u32, path_ms: u64, rank_ms: u64) -> Demand {
    let now = at_ms(10_000);
    Demand {
        work: 4.0 * 30.0 * (path_ms * 1_000) as f64,
        width: 4,
        priority,
        rank: now.after_ms(rank_ms),
        path_us: (path_ms * 1_000) as f64,
        objective: now.after_ms(path_ms * 1_600 / 1_000 + 60),
        deadline: now.after_ms(3 * (path_ms * 1_600 / 1_000 + 60)),
        worker_free: false,
    }
}

fn decide(load: &Snapshot, demand: &Demand) -> Verdict {
    load.decide(at_ms(10_000), demand)
}

/// Long jobs of the lowest priority would wait behind all others until their deadline. Their
/// callers learn this on arrival, while the jobs that can be done are accepted.
#[test]
fn forecast_burst() {
    let load = burst(2.4);
    assert_eq!(decide(&load, &job(0, 60, 280)), Verdict::Accept(Grounds::OnTime));
    assert_eq!(decide(&load, &job(1, 200, 200)), Verdict::Accept(Grounds::OnTime));
    assert_eq!(decide(&load, &job(2, 900, 2_100)), Verdict::Reject(Time::NEVER));
}

/// Among jobs of one priority the shortage falls on the largest, which the queue would start
/// last; small ones are accepted as long as those ahead of them leave time.
#[test]
fn forecast_burst_rank() {
    let mut load = burst(2.4);
    load.on_time.insert((1, at_ms(10_200)), RATE * 0.5 * SECOND_US);
    assert!(decide(&load, &job(1, 100, 120)).accepts());
    assert!(!decide(&load, &job(1, 300, 400)).accepts());
}

/// Jobs are not rejected for a queue that will be done in time: not at the usual load, and not
/// without any waiting task, whatever the other figures.
#[test_case(burst(0.7), Grounds::OnTime; "usual_load")]
#[test_case(Snapshot { contended_since: None, ..burst(2.4) }, Grounds::Uncontended; "no_queue")]
fn forecast_no_contention(load: Snapshot, grounds: Grounds) {
    assert_eq!(decide(&load, &job(2, 900, 2_100)), Verdict::Accept(grounds));
}

/// A job that is late, but before its deadline, is accepted once the burst is over and the queue
/// drains.
#[test]
fn forecast_late_after_burst() {
    let mut load = burst(0.6);
    load.on_time.insert((0, at_ms(9_500)), RATE * SECOND_US);
    assert_eq!(decide(&load, &job(2, 900, 2_100)), Verdict::Accept(Grounds::BeforeDeadline));
}

/// A worker that is free for the first step means that the forecast is wrong: the measured
/// rejections beside free workers were 1,323 of 4,331.
#[test]
fn forecast_worker_free() {
    let demand = Demand { worker_free: true, ..job(2, 900, 2_100) };
    assert_eq!(decide(&burst(2.4), &demand), Verdict::Accept(Grounds::WorkerFree));
}

/// After a takeover, the successor has the whole zone's jobs in its queue and no rates. It
/// rejects nothing before it has half a second of history.
#[test_case(9_600, true; "after_400_ms")]
#[test_case(9_400, false; "after_600_ms")]
fn forecast_takeover(since_ms: u64, accepts: bool) {
    let load = Snapshot { recorded_since: at_ms(since_ms), ..burst(2.4) };
    assert_eq!(decide(&load, &job(2, 900, 2_100)).accepts(), accepts);
}

/// Estimates that are all three times too long also make the measured rate three times too high,
/// so the same jobs are accepted.
#[test]
fn forecast_estimates_long() {
    let (load, mut long) = (burst(2.4), burst(2.4));
    long.on_time.values_mut().for_each(|work| *work *= 3.0);
    long.offered.values_mut().for_each(|rate| *rate *= 3.0);
    (long.started, long.ended) = (3.0 * load.started, 3.0 * load.ended);
    for demand in [job(0, 60, 280), job(1, 200, 200), job(2, 900, 2_100)] {
        let tripled = Demand { work: demand.work * 3.0, ..demand };
        assert_eq!(decide(&long, &tripled), decide(&load, &demand));
    }
}

/// A waiting job keeps its place while the forecast is about as good as on arrival, and is
/// rejected at once when the work ahead of it grows beyond doubt.
#[test]
fn forecast_worse_while_waiting() {
    let (load, demand) = (burst(2.4), job(1, 200, 200));
    let now = at_ms(10_000);
    let ahead = load.ahead(&demand);
    assert!(load.reconsider(now, &demand, ahead).accepts());
    let grown = Ahead { on_time: RATE * SECOND_US, late: RATE * SECOND_US };
    assert_eq!(load.reconsider(now, &demand, grown), Verdict::Reject(Time::NEVER));
}

/// Callers that all returned at the same time would be rejected again: the retry times start
/// after the queue has drained and are spread over the time that the rejected work takes.
#[test]
fn retry_spread() {
    let mut load = burst(2.4);
    load.on_time.insert((1, at_ms(10_500)), RATE * 1.5 * SECOND_US);
    load.rejected = RATE * 4.0 * SECOND_US;
    let now = at_ms(10_000);
    let delays: Vec<u128> =
        (0..400).map(|n| load.retry_at(now, &format!("job-{n}")).since(now).as_millis()).collect();
    let (first, last) = (delays.iter().min().copied(), delays.iter().max().copied());
    assert!(first.is_some_and(|first| (1_600..1_800).contains(&first)), "{first:?}");
    assert!(last.is_some_and(|last| (5_400..5_700).contains(&last)), "{last:?}");
    let early = delays.iter().filter(|delay| **delay < 3_600).count();
    assert!((150..250).contains(&early), "{early} of 400 return in the first half");
    assert_eq!(load.retry_at(now, "job-1"), load.retry_at(now, "job-1"));
}

/// Offers jobs of 10 ms apart and admits those that `accepts` or the guarantee admits; returns
/// the number of offered and admitted jobs of each kind.
fn offer(
    shares: &mut Shares,
    jobs: impl Iterator<Item = (&'static str, f64)>,
    accepts: impl Fn(&str, f64) -> bool,
) -> BTreeMap<(&'static str, bool), (f64, f64)> {
    let mut counts: BTreeMap<(&'static str, bool), (f64, f64)> = BTreeMap::new();
    for (number, (route, work)) in (0..).zip(jobs) {
        let (now, name) = (at_ms(number * 10), Name::from(route));
        let largest = shares.record_arrival(now, &name, work);
        let admitted = accepts(route, work) || shares.guarantees(&name, largest);
        if admitted {
            shares.record_accepted(now, &name, largest);
        }
        for key in [(route, false), (route, true)] {
            if !key.1 || largest {
                let count = counts.entry(key).or_default();
                count.0 += 1.0;
                count.1 += f64::from(u8::from(admitted));
            }
        }
        shares.decay(10.0);
    }
    counts
}

/// Of a burst in which the forecast accepts no long job, every second as of all jobs is still
/// served, and not many more: the priorities decide about the rest.
#[test]
fn share_route() {
    let jobs = (0..4_000).map(|n| if n % 20 == 0 { ("long", 3e6) } else { ("short", 1e5) });
    let counts = offer(&mut Shares::default(), jobs, |route, _| route == "short");
    let (offered, served) = counts[&("long", false)];
    assert!((0.5..0.8).contains(&(served / offered)), "{served} of {offered}");
}

/// The forecast favours small jobs within a kind. The largest tenth is served half as often as
/// all jobs nevertheless.
#[test]
fn share_largest() {
    let work = |n: u64| 1e5 * (1.0 + ((n * 7_919) % 1_000) as f64 / 200.0);
    let jobs = (0..6_000).map(|n| ("medium", work(n)));
    let counts = offer(&mut Shares::default(), jobs, |_, work| work < 4e5);
    let (offered, served) = counts[&("medium", false)];
    let (large, large_served) = counts[&("medium", true)];
    assert!((0.05..0.15).contains(&(large / offered)), "{large} of {offered} are large");
    let (all, largest) = (served / offered, large_served / large);
    assert!(largest >= 0.5 * all, "{largest:.2} of the largest, {all:.2} of all");
}

/// A job that was admitted and rejected later counts as not served; otherwise a kind whose jobs
/// are all rejected while they wait would seem to have its share.
#[test]
fn share_unserved() {
    let mut shares = Shares::default();
    let (long, short) = (Name::from("long"), Name::from("short"));
    for _ in 0..10 {
        for route in [&long, &short] {
            let largest = shares.record_arrival(Time::ZERO, route, 1e6);
            shares.record_accepted(Time::ZERO, route, largest);
        }
    }
    assert!(!shares.guarantees(&long, false));
    for _ in 0..8 {
        shares.record_unserved(&long, false);
    }
    assert!(shares.guarantees(&long, false));
    assert!(!shares.guarantees(&short, false));
}

/// With estimates that are far too long every job of a route is predicted to end too late, also
/// at the highest priority. One job per second is tried, so that the estimates are corrected.
#[test]
fn share_try() {
    let mut shares = Shares::default();
    let route = Name::from("long");
    let mut tried = Vec::new();
    for ms in (0..4_000).step_by(50) {
        let largest = shares.record_arrival(at_ms(ms), &route, 1e9);
        if shares.due_for_try(at_ms(ms), &route) {
            shares.record_accepted(at_ms(ms), &route, largest);
            tried.push(ms);
        }
    }
    assert_eq!(tried, [1_000, 2_000, 3_000]);
}
