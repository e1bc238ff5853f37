//! Choice of a zone for a job, replayed on the loads that it answers.

use std::collections::BTreeMap;

use endivestile_config::model::Name;
use endivestile_kernel::fleet::{
    HomeZone, HostReport, Job, JobShape, OtherZone, ServiceCapacity, StayReason, Step, ZoneFigures,
    ZoneLayout, ZoneVerdict, choose_zone,
};
use endivestile_kernel::{Need, Peer, Time};

/// Zones of the replayed loads.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Hosts of each zone.
const HOSTS: u32 = 5;
/// Tasks that a zone's workers run at the same time.
const SLOTS: f64 = 100.0;
/// Run time of a task, in milliseconds.
const TASK_MS: f64 = 200.0;
/// Interval between two reports, in milliseconds.
const REPORT_MS: u64 = 300;
/// Step of a replay, in milliseconds.
const STEP_MS: u64 = 10;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn job(id: &str) -> Job {
    let step = Step {
        count: 2,
        first_task: 0,
        number: 0,
        need: Need { cpu_milli: 1_000, memory_mb: 64, accelerators: 0 },
        estimate_ms: TASK_MS as u32,
        after: Vec::new(),
        required_label: None,
        near_label: None,
        max_per_worker: 0,
    };
    Job {
        id: name(id),
        request: name(id),
        spec: name("work"),
        steps: vec![step],
        service: name("service"),
        route: name("route"),
        priority: 0,
        max_attempts: 3,
        stretch_milli: 1_600,
        allowance_ms: 60,
        arrived: Time::ZERO,
        deadline: Time::ZERO.after_ms(1_000_000),
        run_base: 0,
        forwarded: false,
    }
}

fn report(zone: &str, free: u32, waiting: u32) -> HostReport {
    let capacity = vec![ServiceCapacity { service: name("service"), free, waiting }];
    HostReport { zone: name(zone), pools: 1, capacity, ..HostReport::default() }
}

fn peer(zone: &str) -> Peer {
    Peer::new(format!("{zone}1"), 1)
}

/// Figures of a host in zone `a` that has seen a job; zones have one owner each.
fn figures(now: Time) -> ZoneFigures {
    let mut figures = ZoneFigures::default();
    let cpu = (SLOTS / 0.8 * 1_000.0) as u64;
    let layout = ZoneLayout {
        hosts: HOSTS,
        owners: 1,
        cpu_milli: BTreeMap::from([(name("service"), cpu)]),
        ..ZoneLayout::default()
    };
    figures.set_layouts(now, ZONES.iter().map(|zone| (name(zone), layout.clone())).collect());
    figures.record_job(now, &job("first"));
    figures
}

/// Returns how many of `count` jobs are sent to zone `b` at `now`; they are recorded as sent.
fn sent_to_b(figures: &mut ZoneFigures, now: Time, count: u32) -> u32 {
    let mut sent = 0;
    for number in 0..count {
        let job = job(&format!("job-{number}"));
        let Some(choice) = figures.choose(now, &name("a"), &job, 2.0, false, |_| true) else {
            continue;
        };
        assert_eq!(&*choice.zone, "b");
        figures.record_sent(&choice.owner, &choice.zone, &job.service, 2);
        sent += 1;
    }
    sent
}

fn time(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

fn crowded_home() -> HomeZone {
    HomeZone { waiting: 250, tasks_per_s: 500.0, ..HomeZone::default() }
}

fn idle_zone() -> OtherZone {
    OtherZone {
        free: 80,
        tasks_per_s: 500.0,
        limit_ms: 90.0,
        share: 1.0,
        run_factor: 1.0,
        ..OtherZone::default()
    }
}

fn shape() -> JobShape {
    JobShape {
        tasks: 2,
        run_ms: TASK_MS,
        slack_ms: 180.0,
        left_ms: 2_000.0,
        bytes: 200,
        arriving: 10.0,
        ..JobShape::default()
    }
}

fn sends(verdict: ZoneVerdict) -> bool {
    matches!(verdict, ZoneVerdict::Send { .. })
}

/// Guards against sending jobs away that their own zone could start at once, whatever the trend.
#[test]
fn choose_home_free() {
    let home = HomeZone { free: 1, trend: -500.0, tasks_per_s: 500.0, ..HomeZone::default() };
    let verdict = choose_zone(&home, &[idle_zone()], &shape());
    assert_eq!(verdict, ZoneVerdict::Stay(StayReason::ShortQueue));
}

/// Guards against waiting until the objective is lost: a job is sent while it can still meet it.
#[test]
fn choose_before_objective_lost() {
    let wait = |tasks: u32| HomeZone { waiting: tasks, tasks_per_s: 500.0, ..HomeZone::default() };
    assert!(!sends(choose_zone(&wait(40), &[idle_zone()], &shape())));
    // 50 tasks take 100 ms, more than half of the slack.
    assert!(sends(choose_zone(&wait(50), &[idle_zone()], &shape())));
}

/// Guards against turns between sending and not sending while a queue stays about equal.
#[test]
fn choose_hysteresis() {
    let home = HomeZone { waiting: 30, tasks_per_s: 500.0, ..HomeZone::default() };
    assert!(!sends(choose_zone(&home, &[idle_zone()], &shape())));
    assert!(sends(choose_zone(&HomeZone { sending: true, ..home }, &[idle_zone()], &shape())));
}

/// Guards against sending jobs around in a burst in which all zones have the same queue.
#[test]
fn choose_burst_everywhere() {
    let other = OtherZone { free: 0, waiting: 250, ..idle_zone() };
    let verdict = choose_zone(&crowded_home(), &[other, other, other], &shape());
    assert_eq!(verdict, ZoneVerdict::Stay(StayReason::NoRoom));
}

/// Guards against taking the room that a zone's own growing demand needs before its next report.
#[test]
fn choose_other_zone_fills_up() {
    let steady = OtherZone { free: 20, age_ms: 100, ..idle_zone() };
    let growing = OtherZone { trend: -500.0, ..steady };
    assert!(sends(choose_zone(&crowded_home(), &[steady], &shape())));
    let verdict = choose_zone(&crowded_home(), &[growing], &shape());
    assert_eq!(verdict, ZoneVerdict::Stay(StayReason::NoRoom));
    // Demand of one and a half times its capacity takes 100 tasks until the next report.
    let idle = OtherZone { trend: -500.0, age_ms: 100, ..idle_zone() };
    assert_eq!(idle.allowance(90.0), (45.0 - (100.0 - 80.0)) / 2.0);
}

/// Guards against a zone that takes no jobs for a second because the usual size of its tasks has
/// changed, in which its free capacity is counted.
#[test]
fn choose_usual_size_changed() {
    let other = OtherZone { free: 80, trend: -10_000.0, ..idle_zone() };
    assert!(other.allowance(90.0) > 0.0);
}

/// Guards against sending a job away from its data, or with a long description, when it takes
/// longer than the wait that it saves.
#[test]
fn choose_gain_too_small() {
    let home = HomeZone { waiting: 100, tasks_per_s: 500.0, ..HomeZone::default() };
    let far = OtherZone { run_factor: 2.0, ..idle_zone() };
    let no_gain = ZoneVerdict::Stay(StayReason::NoGain);
    assert!(sends(choose_zone(&home, &[idle_zone()], &shape())));
    assert_eq!(choose_zone(&home, &[far], &shape()), no_gain);
    let large = JobShape { bytes: 100 * 1_024, ..shape() };
    assert_eq!(choose_zone(&home, &[idle_zone()], &large), no_gain);
}

/// Guards against a job that is sent to a second owner although it cannot end there before its
/// deadline.
#[test]
fn choose_returned() {
    let home = HomeZone::default();
    let returned = JobShape { returned: true, ..shape() };
    assert!(sends(choose_zone(&home, &[idle_zone()], &returned)));
    let late = JobShape { left_ms: 210.0, ..returned };
    assert!(!sends(choose_zone(&home, &[idle_zone()], &late)));
}

/// Guards against rejecting a job in its own zone while another zone ends it in time, in a burst
/// in which owners reject on arrival and no zone has a queue: the share of a zone's room that its
/// reports allow is used up by the first jobs.
#[test]
fn choose_returned_beyond_share() {
    let other = OtherZone { free: 3, sent: 40, share: 0.05, ..idle_zone() };
    let busier = OtherZone { waiting: 200, ..other };
    let returned = JobShape { returned: true, draw: 0.99, ..shape() };
    match choose_zone(&HomeZone::default(), &[busier, other], &returned) {
        ZoneVerdict::Send { zone, .. } => assert_eq!(zone, 1),
        stay => panic!("{stay:?}"),
    }
}

/// Guards against many hosts that fill a zone on the same report: together they use no more than
/// half of its room.
#[test]
fn choose_many_hosts() {
    let hosts = 20;
    let other = OtherZone { share: 1.0 / f64::from(hosts), ..idle_zone() };
    let mut tasks = 0;
    for host in 0..hosts {
        let mut other = other;
        for number in 0..50_u32 {
            let draw = f64::from((number * 37 + host * 11) % 50) / 50.0;
            let job = JobShape { draw, arriving: 100.0, ..shape() };
            if sends(choose_zone(&crowded_home(), &[other], &job)) {
                other.sent += job.tasks;
                tasks += job.tasks;
            }
        }
    }
    // Free capacity for 80 tasks and a queue of 45 are the room.
    assert!((20..=63 + 2 * hosts).contains(&tasks), "{tasks} tasks");
}

/// Guards against deciding on the figure of a host that froze or was cut off.
#[test]
fn figures_old() {
    let mut figures = figures(time(0));
    figures.record_report(time(0), &peer("b"), &report("b", 90, 0), &name("a"));
    figures.record_report(time(500), &peer("a"), &report("a", 0, 300), &name("a"));
    assert!(sent_to_b(&mut figures, time(599), 20) > 0);
    figures.record_report(time(600), &peer("a"), &report("a", 0, 300), &name("a"));
    assert_eq!(sent_to_b(&mut figures, time(600), 20), 0);
}

/// Guards against an owner that reports free capacity and returns the jobs: it gets none for a
/// second.
#[test]
fn figures_lying() {
    let mut figures = figures(time(0));
    let report_all = |figures: &mut ZoneFigures, now: Time| {
        figures.record_report(now, &peer("a"), &report("a", 0, 300), &name("a"));
        figures.record_report(now, &peer("b"), &report("b", 90, 0), &name("a"));
    };
    report_all(&mut figures, time(0));
    assert!(sent_to_b(&mut figures, time(0), 20) > 0);
    figures.exclude(time(10), &peer("b"), "b");
    for ms in [300, 600, 900] {
        report_all(&mut figures, time(ms));
        assert_eq!(sent_to_b(&mut figures, time(ms), 20), 0);
    }
    report_all(&mut figures, time(1_010));
    assert!(sent_to_b(&mut figures, time(1_010), 20) > 0);
}

/// Guards against sending jobs to an owner that lags behind with its own work.
#[test]
fn figures_owner_overloaded() {
    let mut figures = figures(time(0));
    figures.record_report(time(0), &peer("a"), &report("a", 0, 300), &name("a"));
    let lagging = HostReport { lag_ms: 60, ..report("b", 90, 0) };
    figures.record_report(time(0), &peer("b"), &lagging, &name("a"));
    assert_eq!(sent_to_b(&mut figures, time(0), 20), 0);
}

/// Guards against sending jobs to a zone without the labels that they require.
#[test]
fn figures_label_missing() {
    let mut figures = figures(time(0));
    figures.record_report(time(0), &peer("a"), &report("a", 0, 300), &name("a"));
    figures.record_report(time(0), &peer("b"), &report("b", 90, 0), &name("a"));
    let mut job = job("labelled");
    job.steps[0].required_label = Some(name("gpu"));
    for number in 0..50 {
        job.id = name(&format!("labelled-{number}"));
        assert!(figures.choose(time(0), &name("a"), &job, 2.0, false, |_| true).is_none());
    }
}

/// Outcome of a replay in which each zone is a queue in front of its slots.
#[derive(Debug, Default)]
struct Replay {
    /// Sum over all steps of the tasks queued, by zone.
    queued: [f64; 4],
    /// Jobs sent away, by the zone that they left.
    away: [u32; 4],
    /// Jobs sent to a zone that had a longer wait than their own.
    wrong_way: u32,
    jobs: u32,
}

/// Replays demand, in tasks per second, on four zones of five hosts each for some seconds. Tasks
/// arrive at all hosts in turn and end at the rate of the slots.
fn replay(balanced: bool, seconds: u64, demand: impl Fn(usize, f64) -> f64) -> Replay {
    let mut out = Replay::default();
    let mut hosts: Vec<Vec<ZoneFigures>> =
        ZONES.iter().map(|_| (0..HOSTS).map(|_| figures(time(0))).collect()).collect();
    let mut loads = [0.0_f64; 4];
    let mut due = [0.0_f64; 4];
    let mut number = 0_u64;
    for ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        let now = time(ms);
        for load in &mut loads {
            // A task in a slot ends at the rate of one per run time.
            *load -= load.min(SLOTS) * STEP_MS as f64 / TASK_MS;
        }
        if ms % REPORT_MS == 0 {
            for (at, zone) in ZONES.iter().enumerate() {
                let (free, waiting) = (SLOTS - loads[at], loads[at] - SLOTS);
                let report = report(zone, free.max(0.0) as u32, waiting.max(0.0) as u32);
                for (home, figures) in ZONES.iter().zip(&mut hosts) {
                    for figures in figures {
                        figures.record_report(now, &peer(zone), &report, &name(home));
                    }
                }
            }
        }
        for home in 0..ZONES.len() {
            due[home] += demand(home, ms as f64 / 1_000.0) * STEP_MS as f64 / 1_000.0;
            while due[home] >= 2.0 {
                due[home] -= 2.0;
                number += 1;
                out.jobs += 1;
                let job = job(&format!("job-{number}"));
                let figures = &mut hosts[home][(number % u64::from(HOSTS)) as usize];
                figures.record_job(now, &job);
                let choice = figures.choose(now, &name(ZONES[home]), &job, 2.0, false, |_| true);
                let choice = choice.filter(|_| balanced);
                let to = choice.as_ref().map_or(home, |choice| {
                    ZONES.iter().position(|zone| **zone == *choice.zone).expect("a zone")
                });
                figures.record_sent(&peer(ZONES[to]), ZONES[to], &job.service, 2);
                loads[to] += 2.0;
                out.away[home] += u32::from(to != home);
                out.wrong_way += u32::from(loads[to] > loads[home] && to != home);
            }
        }
        for (queued, load) in out.queued.iter_mut().zip(loads) {
            *queued += (load - SLOTS).max(0.0);
        }
    }
    out
}

/// Capacity of a zone, in tasks per second.
fn capacity() -> f64 {
    SLOTS * 1_000.0 / TASK_MS
}

fn total(values: &[f64]) -> f64 {
    values.iter().sum()
}

/// A swing of 55% within 13 s at different times in four zones: the queues are far shorter, and
/// jobs leave only the zones with the highest demand.
#[test]
fn replay_swing() {
    let demand = |zone: usize, at_s: f64| {
        let phase = at_s / 13.0 + zone as f64 / 4.0;
        capacity() * 0.85 * (1.0 + 0.55 * (phase * std::f64::consts::TAU).sin())
    };
    let (without, with) = (replay(false, 26, demand), replay(true, 26, demand));
    println!("without {without:?}\nwith {with:?}");
    assert!(total(&with.queued) < total(&without.queued) / 2.0);
    assert!(with.wrong_way * 50 < with.jobs, "{} wrong of {}", with.wrong_way, with.jobs);
}

/// Callers that move: 60% of one zone's callers come to another zone, which then has 1.4 times
/// the demand that it can serve.
#[test]
fn replay_callers_move() {
    let demand = |zone: usize, _| capacity() * [1.4, 0.36, 0.9, 0.9][zone];
    let (without, with) = (replay(false, 8, demand), replay(true, 8, demand));
    println!("without {without:?}\nwith {with:?}");
    assert!(with.queued[0] < without.queued[0] / 2.0);
    // The zones that take the jobs keep capacity for their own.
    assert!(total(&with.queued[1..]) < without.queued[0] / 10.0);
}

/// A burst of twice the capacity everywhere: nothing gains from moving, and hardly a job moves.
#[test]
fn replay_burst_everywhere() {
    let demand = |_, _| capacity() * 2.0;
    let with = replay(true, 8, demand);
    println!("{with:?}");
    assert!(with.away.iter().sum::<u32>() * 100 < with.jobs);
}

/// Two zones that are about equally loaded, a little above their capacity in turns of a second:
/// jobs do not go back and forth.
#[test]
fn replay_oscillation() {
    let demand = |zone: usize, at_s: f64| {
        let high = (at_s as usize + zone).is_multiple_of(2);
        capacity() * if high { 1.15 } else { 0.85 }
    };
    let with = replay(true, 10, demand);
    println!("{with:?}");
    assert!(with.away.iter().sum::<u32>() * 20 < with.jobs);
}
