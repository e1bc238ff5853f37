//! Processor time of the kernel alone.

use std::time::{Duration, Instant};

use endivestile_config::{check, parse};
use endivestile_kernel::{SubmissionId, Time};

use crate::harness::{KernelHarness, WALL_S};
use crate::inventory::{self, Size};
use crate::pair::KernelPair;
use crate::result::{MeasureResult, median};

/// Number of requests or tasks per sample.
const REQUESTS: u32 = 5_000;
/// Number of samples, of which the median is printed.
const SAMPLES: usize = 5;
/// Number of open requests.
const OPEN_REQUESTS: usize = 200;
/// Zones of the target deployment.
const ZONES: usize = 26;

/// Prints the tables of requests, of tasks under a caller's id, and of changes of membership
/// and configuration.
pub(crate) fn measure() -> MeasureResult {
    print_requests();
    print_dated();
    print_changes()
}

/// Prints the time of a request by the numbers of hosts, of load reports from other hosts and of
/// workers.
fn print_requests() {
    println!(
        "| hosts | heard | workers | request without id, us | of this frames and deadline, us |"
    );
    println!("|---|---|---|---|---|");
    for (zones, hosts, load_reports) in [(1, 1, 0), (ZONES, 208, 7), (ZONES, 208, 207)] {
        for workers in [50, 500, 4_400] {
            let mut harness = start(Size { zones, hosts, workers });
            let reporting = (1..hosts).filter(|at| load_reports == 207 || at % zones == 0);
            reporting.for_each(|at| harness.receive_load(at, 0));
            // This host's share of the workers may be too small to run all of them; the rest wait.
            for _ in 0..OPEN_REQUESTS {
                harness.submit(None, 1);
            }
            harness.flush_time = Duration::ZERO;
            let times_us = (0..SAMPLES).map(|_| request_us(&mut harness)).collect();
            let requests = f64::from(REQUESTS) * SAMPLES as f64;
            let flush_us = harness.flush_time.as_secs_f64() * 1e6 / requests;
            let us = median(times_us);
            println!("| {hosts} | {load_reports} | {workers} | {us:.1} | {flush_us:.1} |");
        }
    }
}

/// Starts the kernel of host 0 in a deployment whose hosts are all registered.
fn start(size: Size) -> KernelHarness {
    let mut harness = KernelHarness::new(0, size.zones);
    harness.configure(&inventory::config(size));
    (1..size.hosts).for_each(|at| harness.register(at, size.zones, false));
    harness
}

/// Returns the microseconds of one request, its answer included.
fn request_us(harness: &mut KernelHarness) -> f64 {
    harness.kernel_time = Duration::ZERO;
    for _ in 0..REQUESTS {
        harness.now = harness.now.after_us(2);
        harness.submit(None, 1);
        harness.finish_attempt();
        harness.outgoing.clear();
    }
    harness.kernel_time.as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

/// Prints time and frames per task under a caller's id, by the number of tasks of a job.
fn print_dated() {
    println!();
    println!("| 2 hosts, 50 workers | both kernels, us per task | frames per task |");
    println!("|---|---|---|");
    for tasks in [1, 20, 200] {
        let mut pair = KernelPair::new(50);
        let mut serial = 0;
        let mut frames = 0;
        let times_us = (0..SAMPLES).map(|_| {
            frames = pair.harnesses.iter().map(|harness| harness.frames).sum();
            let us = dated_us(&mut pair, tasks, &mut serial);
            frames = pair.harnesses.iter().map(|harness| harness.frames).sum::<u64>() - frames;
            us
        });
        let us = median(times_us.collect());
        let each = frames as f64 / f64::from(REQUESTS);
        println!("| caller's id, {tasks} tasks | {us:.1} | {each:.3} |");
    }
}

/// Returns the microseconds per task of both kernels, for submissions under a caller's id.
fn dated_us(pair: &mut KernelPair, tasks: usize, serial: &mut u64) -> f64 {
    pair.harnesses.iter_mut().for_each(|harness| harness.kernel_time = Duration::ZERO);
    for _ in 0..REQUESTS as usize / tasks {
        *serial += 1;
        let now = pair.harnesses[0].now.after_us(10);
        pair.advance_to(now);
        pair.harnesses[0]
            .submit(SubmissionId::parse(&format!("{WALL_S}:key-{serial}")).ok(), tasks);
        pair.deliver_all();
        while pair.harnesses[0].finish_attempt() || pair.harnesses[1].finish_attempt() {
            pair.deliver_all();
        }
    }
    let kernel_time: Duration = pair.harnesses.iter().map(|harness| harness.kernel_time).sum();
    kernel_time.as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

/// Prints the times of a configuration, of a host that leaves and of a tick.
fn print_changes() -> MeasureResult {
    println!();
    println!("| hosts | workers | bytes | check, ms | adopt, ms | host leaves, ms | tick, us |");
    println!("|---|---|---|---|---|---|---|");
    for (hosts, workers) in [(8, 50), (52, 1_000), (208, 1_000), (208, 4_400)] {
        let size = Size { zones: ZONES.min(hosts), hosts, workers };
        let mut config = inventory::config(size);
        let mut harness = start(size);
        let text = config.canonical();
        let checked: Result<Vec<f64>, _> = (0..SAMPLES).map(|_| check_ms(&text)).collect();
        let check_ms = median(checked?);
        let adopt_ms = median((0..SAMPLES).map(|_| adopt_ms(&mut harness, &mut config)).collect());
        let leave = |n| {
            kernel_ms(&mut harness, |harness| harness.register(hosts - 1, size.zones, n % 2 == 0))
        };
        let leave_ms = median((0..SAMPLES).map(leave).collect());
        let ticks = (0..20).map(|n| {
            harness.now = Time::ZERO.after_ms(500 * (n + 1));
            kernel_ms(&mut harness, |harness| harness.handle_event(endivestile_kernel::Event::Tick))
                * 1e3
        });
        let tick_us = median(ticks.collect());
        let bytes = text.len();
        println!(
            "| {hosts} | {workers} | {bytes} | {check_ms:.1} | {adopt_ms:.1} | {leave_ms:.2} | \
             {tick_us:.0} |"
        );
    }
    Ok(())
}

/// Returns the milliseconds to parse and check a configuration.
fn check_ms(text: &str) -> MeasureResult<f64> {
    let started = Instant::now();
    let config = parse(text, "slopes")?;
    check(&config).map_err(|errors| format!("{errors:?}"))?;
    Ok(started.elapsed().as_secs_f64() * 1e3)
}

/// Returns the milliseconds that the kernel takes to adopt a new configuration.
fn adopt_ms(harness: &mut KernelHarness, config: &mut endivestile_config::model::Config) -> f64 {
    config.revision += 1;
    config.rules.price_us += 1;
    kernel_ms(harness, |harness| harness.configure(config))
}

/// Returns the milliseconds that the kernel takes for `action`.
fn kernel_ms(harness: &mut KernelHarness, action: impl FnOnce(&mut KernelHarness)) -> f64 {
    harness.kernel_time = Duration::ZERO;
    action(harness);
    harness.kernel_time.as_secs_f64() * 1e3
}
