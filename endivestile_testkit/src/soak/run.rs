//! Runs a soak test and checks what callers and workers observed.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::connection::Attempt;
use super::crowds::{Crowds, HOST_FILES, HOST_MEMORY_MB};
use super::fault::{
    Fault, PlannedFault, plan_crowds, plan_evacuations, plan_faults, plan_paired_losses,
    plan_reset_series,
};
use super::load::{ANSWER_GRACE, DEADLINE, LONG_JOBS, SHORT_JOBS, run_caller, send_once};
use super::relay::{FaultRelay, Impairment};
use crate::crowd::peak_mb;
use crate::deploy::{DaemonCommand, wait_for};
use crate::lock::lock;
use crate::platform::{PlatformHost, PlatformSignal, PlatformStandIn, WorkerFault};

/// Availability zones.
const ZONES: [&str; 2] = ["a", "b"];
/// Time limit for a host to serve jobs without faults, in seconds.
const RECOVERY_TIMEOUT_S: u64 = 20;
/// Number of jobs sent to each host at the end, all of which must complete.
const FINAL_JOBS: usize = 10;
/// Time limit for a graceful stop, in seconds: the limit in the settings and a few
/// seconds for a busy machine.
const STOP_TIMEOUT_S: u64 = 12;

/// Parameters of a soak test.
#[derive(Debug, Clone)]
pub struct Soak {
    /// Command that starts a host.
    pub daemon: DaemonCommand,
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Time during which faults begin, in milliseconds.
    pub faults_ms: u64,
    /// Number of hosts in each of the two zones.
    pub hosts: usize,
    /// Number of workers in each zone.
    pub workers: usize,
    /// Number of callers, each of which sends one job after the other.
    pub callers: usize,
    /// Whether zones are evacuated at random as well.
    pub evacuations: bool,
    /// Whether links are reset in series as well.
    pub reset_series: bool,
    /// Whether hosts on small machines get crowds of clients as well.
    pub crowds: bool,
    /// Whether the first zone is kept full, and the only faults are losses in pairs.
    pub paired_losses: bool,
}

/// Result of a soak test.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Violations of the service's promises.
    pub breaches: Vec<String>,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of jobs reported as completed.
    pub completed: usize,
    /// Number of attempts refused as not run.
    pub refused: usize,
    /// Number of attempts without an answer.
    pub unanswered: usize,
    /// Injected faults and, after a violation, the hosts' logs.
    pub trace: Vec<String>,
}

/// State of a running soak test.
struct Run {
    soak: Soak,
    platform: Arc<PlatformStandIn>,
    hosts: Vec<Arc<Mutex<PlatformHost>>>,
    /// Relays in front of the hosts' peer ports, by host.
    peer_relays: Vec<FaultRelay>,
    /// Relays from the hosts to the store, by host.
    store_relays: Vec<FaultRelay>,
    /// Names of the workers and the relays in front of them.
    workers: Vec<(String, FaultRelay)>,
    /// Hosts whose process is not running.
    down: Vec<bool>,
    crowds: Crowds,
    /// Paused hosts with the start and end of each pause.
    pauses: Vec<(usize, Instant, Option<Instant>)>,
    report: SoakReport,
}

impl Soak {
    /// Runs the soak test.
    ///
    /// # Errors
    /// Returns the errors of processes and sockets. Broken promises are not errors
    /// but part of the report.
    pub fn run(self) -> io::Result<SoakReport> {
        let mut run = Run::start(self)?;
        run.wait_serving("at the start");
        let attempts = run.run_under_load();
        run.wait_serving("after the faults");
        run.run_final_jobs();
        run.check_attempts(&attempts);
        run.check_memory();
        run.stop_all();
        Ok(run.finish())
    }
}

impl Run {
    fn start(soak: Soak) -> io::Result<Self> {
        let platform = Arc::new(PlatformStandIn::start(&ZONES, soak.workers));
        platform.configure(1);
        let mut workers = Vec::new();
        for (name, address) in platform.worker_addresses() {
            let relay = FaultRelay::start(Some(address))?;
            platform.set_address(&name, relay.address);
            workers.push((name, relay));
        }
        let (mut hosts, mut peer_relays, mut store_relays) = (Vec::new(), Vec::new(), Vec::new());
        for zone in ZONES {
            for index in 1..=soak.hosts {
                let (peers, store) =
                    (FaultRelay::start(None)?, FaultRelay::start(Some(platform.store_address()))?);
                let mut settings = vec![format!("host.advertise={}", peers.address)];
                if soak.crowds {
                    settings.push(format!("host.memory-mb={HOST_MEMORY_MB}"));
                    settings.push(format!("host.files={HOST_FILES}"));
                }
                let name = format!("{zone}{index}");
                let host =
                    PlatformHost::start(&soak.daemon, store.address, &name, zone, &settings)?;
                hosts.push(Arc::new(Mutex::new(host)));
                peer_relays.push(peers);
                store_relays.push(store);
            }
        }
        let down = vec![false; hosts.len()];
        let report = SoakReport::default();
        let run = Self {
            soak,
            platform,
            hosts,
            peer_relays,
            store_relays,
            workers,
            down,
            crowds: Crowds::default(),
            pauses: Vec::new(),
            report,
        };
        run.connect_peer_relays()?;
        Ok(run)
    }

    /// Points each peer relay at the current peer port of its host.
    fn connect_peer_relays(&self) -> io::Result<()> {
        for (host, peer_relay) in self.hosts.iter().zip(&self.peer_relays) {
            if !wait_for(RECOVERY_TIMEOUT_S, || lock(host).link_address().is_some()) {
                return Err(io::Error::other("a host did not log its peer address"));
            }
            peer_relay.set_target(lock(host).link_address());
        }
        Ok(())
    }

    fn add_breach(&mut self, description: String) {
        self.report.breaches.push(description);
    }

    /// Waits until every host completes a job, and reports a breach for each that does not.
    fn wait_serving(&mut self, when: &str) {
        for at in 0..self.hosts.len() {
            let host = Arc::clone(&self.hosts[at]);
            let mut probes = 0;
            let serves = wait_for(RECOVERY_TIMEOUT_S, || {
                probes += 1;
                let id = format!("{:016x}", (0xaaaa_u64 << 48) | (at as u64) << 32 | probes);
                send_once(&host, at, &id, 1, 1).is_some_and(|attempt| attempt.status == Some(200))
            });
            if !serves {
                self.add_breach(format!("host {at} does not serve jobs {when}"));
            }
        }
    }

    /// Injects the faults while callers submit jobs. Returns the callers' attempts.
    fn run_under_load(&mut self) -> Vec<Attempt> {
        let stop = Arc::new(AtomicBool::new(false));
        let next_id = Arc::new(AtomicU64::new(1));
        let callers: Vec<_> = (0..self.soak.callers)
            .map(|number| {
                let seed = self.soak.seed.wrapping_mul(1_009).wrapping_add(number as u64);
                let mut hosts = self.hosts.clone();
                if self.soak.paired_losses {
                    hosts.truncate(self.soak.hosts);
                }
                let sizes = if self.soak.paired_losses { LONG_JOBS } else { SHORT_JOBS };
                let (stop, next_id) = (Arc::clone(&stop), Arc::clone(&next_id));
                thread::spawn(move || run_caller(&hosts, seed, &sizes, &stop, &next_id))
            })
            .collect();
        self.inject_faults();
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect()
    }

    /// Begins and ends the scheduled faults at their times, then ends all faults.
    fn inject_faults(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.soak.seed);
        let (ms, hosts, workers) = (self.soak.faults_ms, self.hosts.len(), self.workers.len());
        let mut faults = if self.soak.paired_losses {
            plan_paired_losses(&mut rng, ms, self.soak.hosts, self.soak.workers)
        } else {
            plan_faults(&mut rng, ms, hosts, workers)
        };
        if self.soak.evacuations {
            faults.extend(plan_evacuations(&mut rng, ms, ZONES.len()));
        }
        if self.soak.reset_series {
            faults.extend(plan_reset_series(&mut rng, ms, hosts));
        }
        if self.soak.crowds {
            faults.extend(plan_crowds(&mut rng, ms, hosts));
        }
        let mut steps: Vec<(u64, bool, PlannedFault)> = Vec::new();
        for planned in faults {
            steps.push((planned.from, true, planned));
            steps.push((planned.until, false, planned));
        }
        steps.sort_by_key(|(at, begins, _)| (*at, *begins));
        let start = Instant::now();
        for (at, begins, planned) in steps {
            thread::sleep(
                (start + Duration::from_millis(at)).saturating_duration_since(Instant::now()),
            );
            self.report.trace.push(format!("{at} ms: {} {:?}", phase(begins), planned.fault));
            if begins { self.begin(planned.fault) } else { self.end(planned.fault) }
        }
        self.heal();
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(at) => {
                self.pauses.push((at, Instant::now(), None));
                self.signal(at, PlatformSignal::Pause);
            }
            Fault::Kill(at) => {
                lock(&self.hosts[at]).kill();
                self.down[at] = true;
            }
            Fault::Stop(at) => {
                self.signal(at, PlatformSignal::Stop);
                self.down[at] = true;
            }
            Fault::Reload(at) => self.signal(at, PlatformSignal::Reload),
            Fault::Links(at, impairment) => self.peer_relays[at].set_impairment(impairment),
            Fault::Store(at, impairment) => self.store_relays[at].set_impairment(impairment),
            Fault::Worker(at, impairment) => self.workers[at].1.set_impairment(impairment),
            Fault::Errors(at) => self.platform.set_fault(&self.workers[at].0, WorkerFault::Errors),
            Fault::Hangs(at) => self.platform.set_fault(&self.workers[at].0, WorkerFault::Hangs),
            Fault::Refuse => self.platform.set_refusing(true),
            Fault::Evacuate(zone) => self.platform.set_evacuated(ZONES[zone], true),
            Fault::Crowd(at, kind) => {
                if let Some(address) = lock(&self.hosts[at]).http_address() {
                    self.crowds.begin(at, kind, address);
                }
            }
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(at) => {
                self.signal(at, PlatformSignal::Resume);
                let of_host = self.pauses.iter_mut().filter(|pause| pause.0 == at);
                of_host.for_each(|pause| pause.2 = Some(Instant::now()));
            }
            Fault::Kill(at) | Fault::Stop(at) => self.restart(at),
            Fault::Reload(_) => {}
            Fault::Links(at, _) => self.peer_relays[at].set_impairment(Impairment::None),
            Fault::Store(at, _) => self.store_relays[at].set_impairment(Impairment::None),
            Fault::Worker(at, _) => self.workers[at].1.set_impairment(Impairment::None),
            Fault::Errors(at) | Fault::Hangs(at) => {
                self.platform.set_fault(&self.workers[at].0, WorkerFault::None);
            }
            Fault::Refuse => self.platform.set_refusing(false),
            Fault::Evacuate(zone) => self.platform.set_evacuated(ZONES[zone], false),
            Fault::Crowd(at, kind) => self.crowds.end(at, kind),
        }
    }

    /// Signals a host. A process that exited without a fault is reported as a breach.
    fn signal(&mut self, at: usize, signal: PlatformSignal) {
        let mut host = lock(&self.hosts[at]);
        if host.is_running() {
            host.signal(signal);
        } else if !self.down[at] {
            drop(host);
            self.add_breach(format!("the process of host {at} exited unexpectedly"));
            self.down[at] = true;
        }
    }

    fn restart(&mut self, at: usize) {
        let mut host = lock(&self.hosts[at]);
        let starts_before = host.count_lines("event=started");
        if let Err(e) = host.restart() {
            drop(host);
            return self.add_breach(format!("host {at} could not be restarted: {e}"));
        }
        drop(host);
        self.down[at] = false;
        let host = Arc::clone(&self.hosts[at]);
        wait_for(RECOVERY_TIMEOUT_S, || lock(&host).count_lines("event=started") > starts_before);
        self.peer_relays[at].set_target(lock(&host).link_address());
    }

    /// Ends all faults.
    fn heal(&mut self) {
        let relays = self.peer_relays.iter().chain(&self.store_relays);
        relays
            .chain(self.workers.iter().map(|(_, relay)| relay))
            .for_each(|any_relay| any_relay.set_impairment(Impairment::None));
        self.platform.set_refusing(false);
        ZONES.iter().for_each(|zone| self.platform.set_evacuated(zone, false));
        for (name, _) in &self.workers {
            self.platform.set_fault(name, WorkerFault::None);
        }
        for at in 0..self.hosts.len() {
            if self.down[at] {
                self.restart(at);
            }
            self.signal(at, PlatformSignal::Resume);
        }
    }

    /// Sends jobs without faults, all of which must complete.
    fn run_final_jobs(&mut self) {
        for number in 0..FINAL_JOBS * self.hosts.len() {
            let at = number % self.hosts.len();
            let id = format!("{:016x}", (0xbbbb_u64 << 48) | number as u64);
            let attempt = send_once(&self.hosts[at], at, &id, 3, 20);
            if attempt.as_ref().is_none_or(|attempt| !attempt.completed) {
                // Report only the first failure.
                return self
                    .add_breach(format!("a job after the faults did not complete: {attempt:?}"));
            }
        }
    }

    /// Compares what callers observed with what workers observed.
    fn check_attempts(&mut self, attempts: &[Attempt]) {
        let mut ids: Vec<&str> = attempts.iter().map(|attempt| &*attempt.id).collect();
        ids.dedup();
        self.report.jobs = ids.len();
        let worker_breaches = self.platform.breaches();
        self.report.breaches.extend(worker_breaches);
        for id in ids {
            let of_job: Vec<&Attempt> =
                attempts.iter().filter(|attempt| attempt.id == id).collect();
            self.check_job(id, &of_job);
        }
    }

    /// Checks one job: a completed job has run all its tasks, a job refused as not
    /// run has started none, and no answer is later than its deadline.
    fn check_job(&mut self, id: &str, attempts: &[&Attempt]) {
        let completed = attempts.iter().any(|attempt| attempt.completed);
        let refused = |attempt: &&&Attempt| matches!(attempt.status, Some(429 | 503));
        self.report.completed += usize::from(completed);
        self.report.refused += attempts.iter().filter(refused).count();
        self.report.unanswered += attempts.iter().filter(|a| a.status.is_none()).count();
        let (tasks, done) = (attempts[0].tasks, self.platform.tasks_done(id));
        if completed && done < tasks {
            self.add_breach(format!(
                "{id} was reported completed with {done} of {tasks} tasks done"
            ));
        }
        if attempts.iter().all(|attempt| refused(&attempt)) && self.platform.starts_of(id) > 0 {
            self.add_breach(format!(
                "{id} was refused as not run but had started runs: {attempts:?}"
            ));
        }
        for attempt in attempts {
            if attempt.status.is_some()
                && attempt.ended > attempt.started + DEADLINE + ANSWER_GRACE
                && !self.overlaps_pause(attempt)
            {
                self.add_breach(format!("{id} was answered after its deadline: {attempt:?}"));
            }
        }
    }

    /// Returns whether the called host was paused during an attempt, when it could
    /// not answer.
    fn overlaps_pause(&self, attempt: &Attempt) -> bool {
        let end = attempt.ended;
        self.pauses.iter().any(|(at, from, until)| {
            *at == attempt.host && *from < end && until.is_none_or(|until| until > attempt.started)
        })
    }

    /// Checks that no host has held more memory than its machine has.
    fn check_memory(&mut self) {
        for at in 0..self.hosts.len() {
            let peak = peak_mb(lock(&self.hosts[at]).pid());
            if self.soak.crowds && peak.is_some_and(|peak| peak > HOST_MEMORY_MB) {
                self.add_breach(format!("host {at} held {peak:?} of {HOST_MEMORY_MB} MB"));
            }
        }
    }

    /// Stops every host gracefully and checks its exit status.
    fn stop_all(&mut self) {
        for at in 0..self.hosts.len() {
            self.signal(at, PlatformSignal::Stop);
        }
        for at in 0..self.hosts.len() {
            let status = lock(&self.hosts[at]).wait_exit(STOP_TIMEOUT_S);
            if !status.is_some_and(|status| status.success()) {
                self.add_breach(format!("host {at} did not stop cleanly: {status:?}"));
            }
        }
    }

    /// Returns the report, with the hosts' logs if there was a breach.
    fn finish(mut self) -> SoakReport {
        if !self.report.breaches.is_empty() {
            for host in &self.hosts {
                self.report.trace.extend(lock(host).log());
            }
        }
        self.report
    }
}

fn phase(begins: bool) -> &'static str {
    if begins { "begin" } else { "end" }
}
