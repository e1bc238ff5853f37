//! One run of the soak.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::connection::Attempt;
use super::fault::{Fault, PlannedFault, plan_evacuations, plan_faults};
use super::load::{ANSWER_GRACE, DEADLINE, run_caller, send_once};
use super::relay::{FaultRelay, Impairment};
use crate::deploy::{DaemonCommand, wait_for};
use crate::lock::lock;
use crate::platform::{PlatformHost, PlatformSignal, PlatformStandIn, WorkerFault};

/// Availability zones.
const ZONES: [&str; 2] = ["a", "b"];
/// Longest wait for all hosts to serve once nothing is wrong any more, in seconds.
const RECOVERY_S: u64 = 20;
/// Jobs that are sent to each host at the end, all of which have to be served.
const LAST_JOBS: usize = 10;
/// Longest wait for a host that was asked to stop, in seconds: the time that the
/// settings grant, and a few for a busy machine.
const STOP_S: u64 = 12;

/// How a run is made up.
#[derive(Debug, Clone)]
pub struct Soak {
    /// How hosts are started.
    pub daemon: DaemonCommand,
    /// Decides the faults and the load.
    pub seed: u64,
    /// For how long faults come, in milliseconds.
    pub faults_ms: u64,
    /// Hosts in each of the two zones.
    pub hosts: usize,
    /// Workers in each zone.
    pub workers: usize,
    /// Callers that send one job after the other.
    pub callers: usize,
    /// Whether operators evacuate zones meanwhile.
    pub evacuations: bool,
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Promises that were broken.
    pub breaches: Vec<String>,
    /// Jobs handed in.
    pub jobs: usize,
    /// Jobs told to be completed.
    pub completed: usize,
    /// Sendings refused as not run.
    pub refused: usize,
    /// Sendings without an answer.
    pub unanswered: usize,
    /// What was done to the hosts, and what they logged; for a run that failed.
    pub trace: Vec<String>,
}

/// A run under way.
struct Run {
    soak: Soak,
    platform: Arc<PlatformStandIn>,
    hosts: Vec<Arc<Mutex<PlatformHost>>>,
    links: Vec<FaultRelay>,
    stores: Vec<FaultRelay>,
    workers: Vec<(String, FaultRelay)>,
    down: Vec<bool>,
    /// Hosts that were paused, from when until when.
    pauses: Vec<(usize, Instant, Option<Instant>)>,
    report: SoakReport,
}

impl Soak {
    /// Makes the run.
    ///
    /// # Errors
    /// Those of the processes and sockets; a broken promise is no error.
    pub fn run(self) -> io::Result<SoakReport> {
        let mut run = Run::start(self)?;
        run.wait_serving("at the start");
        let sendings = run.under_load();
        run.wait_serving("after the faults");
        run.last_jobs();
        run.judge(&sendings);
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
        let (mut hosts, mut links, mut stores) = (Vec::new(), Vec::new(), Vec::new());
        for zone in ZONES {
            for index in 1..=soak.hosts {
                let (link, store) =
                    (FaultRelay::start(None)?, FaultRelay::start(Some(platform.store_address()))?);
                let more = [format!("host.advertise={}", link.address)];
                let name = format!("{zone}{index}");
                let host = PlatformHost::start(&soak.daemon, store.address, &name, zone, &more)?;
                hosts.push(Arc::new(Mutex::new(host)));
                links.push(link);
                stores.push(store);
            }
        }
        let down = vec![false; hosts.len()];
        let report = SoakReport::default();
        let run = Self {
            soak,
            platform,
            hosts,
            links,
            stores,
            workers,
            down,
            pauses: Vec::new(),
            report,
        };
        run.aim_links()?;
        Ok(run)
    }

    /// Leads each relay of links to where its host listens now.
    fn aim_links(&self) -> io::Result<()> {
        for (host, link) in self.hosts.iter().zip(&self.links) {
            if !wait_for(RECOVERY_S, || lock(host).link_address().is_some()) {
                return Err(io::Error::other("a host did not start"));
            }
            link.set_target(lock(host).link_address());
        }
        Ok(())
    }

    fn broken(&mut self, what: String) {
        self.report.breaches.push(what);
    }

    /// Waits until every host serves a job; that it does not is a breach.
    fn wait_serving(&mut self, when: &str) {
        for at in 0..self.hosts.len() {
            let host = Arc::clone(&self.hosts[at]);
            let mut tries = 0;
            let serves = wait_for(RECOVERY_S, || {
                tries += 1;
                let id = format!("{:016x}", (0xaaaa_u64 << 48) | (at as u64) << 32 | tries);
                send_once(&host, at, &id, 1, 1).is_some_and(|sending| sending.status == Some(200))
            });
            if !serves {
                self.broken(format!("host {at} serves nothing {when}"));
            }
        }
    }

    /// Lets the faults come while callers call; returns what these saw.
    fn under_load(&mut self) -> Vec<Attempt> {
        let over = Arc::new(AtomicBool::new(false));
        let serial = Arc::new(AtomicU64::new(1));
        let callers: Vec<_> = (0..self.soak.callers)
            .map(|number| {
                let seed = self.soak.seed.wrapping_mul(1_009).wrapping_add(number as u64);
                let hosts = self.hosts.clone();
                let (over, serial) = (Arc::clone(&over), Arc::clone(&serial));
                thread::spawn(move || run_caller(&hosts, seed, &over, &serial))
            })
            .collect();
        self.play();
        over.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect()
    }

    /// Begins and ends the planned faults at their times.
    fn play(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.soak.seed);
        let mut faults =
            plan_faults(&mut rng, self.soak.faults_ms, self.hosts.len(), self.workers.len());
        if self.soak.evacuations {
            faults.extend(plan_evacuations(&mut rng, self.soak.faults_ms, ZONES.len()));
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
            self.report.trace.push(format!("{at} ms: {} {:?}", word(begins), planned.fault));
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
            Fault::Links(at, harm) => self.links[at].set_impairment(harm),
            Fault::Store(at, harm) => self.stores[at].set_impairment(harm),
            Fault::Worker(at, harm) => self.workers[at].1.set_impairment(harm),
            Fault::Errors(at) => self.platform.set_fault(&self.workers[at].0, WorkerFault::Errors),
            Fault::Hangs(at) => self.platform.set_fault(&self.workers[at].0, WorkerFault::Hangs),
            Fault::Refuse => self.platform.set_refusing(true),
            Fault::Evacuate(zone) => self.platform.set_evacuated(ZONES[zone], true),
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(at) => {
                self.signal(at, PlatformSignal::Resume);
                let open = self.pauses.iter_mut().filter(|pause| pause.0 == at);
                open.for_each(|pause| pause.2 = Some(Instant::now()));
            }
            Fault::Kill(at) | Fault::Stop(at) => self.restart(at),
            Fault::Reload(_) => {}
            Fault::Links(at, _) => self.links[at].set_impairment(Impairment::None),
            Fault::Store(at, _) => self.stores[at].set_impairment(Impairment::None),
            Fault::Worker(at, _) => self.workers[at].1.set_impairment(Impairment::None),
            Fault::Errors(at) | Fault::Hangs(at) => {
                self.platform.set_fault(&self.workers[at].0, WorkerFault::None);
            }
            Fault::Refuse => self.platform.set_refusing(false),
            Fault::Evacuate(zone) => self.platform.set_evacuated(ZONES[zone], false),
        }
    }

    /// Signals a host, unless its process has been ended by an earlier fault.
    fn signal(&mut self, at: usize, signal: PlatformSignal) {
        let mut host = lock(&self.hosts[at]);
        if host.is_running() {
            host.signal(signal);
        } else if !self.down[at] {
            drop(host);
            self.broken(format!("the process of host {at} ended by itself"));
            self.down[at] = true;
        }
    }

    fn restart(&mut self, at: usize) {
        let mut host = lock(&self.hosts[at]);
        let before = host.count_lines("event=started");
        if let Err(e) = host.restart() {
            drop(host);
            return self.broken(format!("host {at} was not started again: {e}"));
        }
        drop(host);
        self.down[at] = false;
        let host = Arc::clone(&self.hosts[at]);
        wait_for(RECOVERY_S, || lock(&host).count_lines("event=started") > before);
        self.links[at].set_target(lock(&host).link_address());
    }

    /// Ends everything that is still wrong.
    fn heal(&mut self) {
        let relays = self.links.iter().chain(&self.stores);
        relays
            .chain(self.workers.iter().map(|(_, relay)| relay))
            .for_each(|it| it.set_impairment(Impairment::None));
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

    /// Sends jobs while nothing is wrong: all have to be served.
    fn last_jobs(&mut self) {
        for number in 0..LAST_JOBS * self.hosts.len() {
            let at = number % self.hosts.len();
            let id = format!("{:016x}", (0xbbbb_u64 << 48) | number as u64);
            let sending = send_once(&self.hosts[at], at, &id, 3, 20);
            if sending.as_ref().is_none_or(|sending| !sending.completed) {
                // The first says as much as all.
                return self.broken(format!("a job after the faults was not served: {sending:?}"));
            }
        }
    }

    /// Holds what callers saw against what workers saw.
    fn judge(&mut self, sendings: &[Attempt]) {
        let mut ids: Vec<&str> = sendings.iter().map(|sending| &*sending.id).collect();
        ids.dedup();
        self.report.jobs = ids.len();
        let told = self.platform.breaches();
        self.report.breaches.extend(told);
        for id in ids {
            let of: Vec<&Attempt> = sendings.iter().filter(|sending| sending.id == id).collect();
            self.judge_job(id, &of);
        }
    }

    fn judge_job(&mut self, id: &str, sendings: &[&Attempt]) {
        let completed = sendings.iter().any(|sending| sending.completed);
        let refused = |sending: &&&Attempt| matches!(sending.status, Some(429 | 503));
        self.report.completed += usize::from(completed);
        self.report.refused += sendings.iter().filter(refused).count();
        self.report.unanswered += sendings.iter().filter(|s| s.status.is_none()).count();
        let (tasks, done) = (sendings[0].tasks, self.platform.tasks_done(id));
        if completed && done < tasks {
            self.broken(format!("{id} was told completed with {done} of {tasks} tasks done"));
        }
        if sendings.iter().all(|sending| refused(&sending)) && self.platform.starts_of(id) > 0 {
            self.broken(format!("{id} was refused as not run, and had run: {sendings:?}"));
        }
        for sending in sendings {
            if sending.status.is_some()
                && sending.ended > sending.begun + DEADLINE + ANSWER_GRACE
                && !self.paused(sending)
            {
                self.broken(format!("{id} was answered after its deadline: {sending:?}"));
            }
        }
    }

    /// Returns whether the host that took a job was paused meanwhile: it could
    /// not answer then.
    fn paused(&self, sending: &Attempt) -> bool {
        let end = sending.ended;
        self.pauses.iter().any(|(at, from, until)| {
            *at == sending.host && *from < end && until.is_none_or(|until| until > sending.begun)
        })
    }

    /// Stops every host gracefully.
    fn stop_all(&mut self) {
        for at in 0..self.hosts.len() {
            self.signal(at, PlatformSignal::Stop);
        }
        for at in 0..self.hosts.len() {
            let status = lock(&self.hosts[at]).wait_exit(STOP_S);
            if !status.is_some_and(|status| status.success()) {
                self.broken(format!("host {at} did not stop: {status:?}"));
            }
        }
    }

    fn finish(mut self) -> SoakReport {
        if !self.report.breaches.is_empty() {
            for host in &self.hosts {
                self.report.trace.extend(lock(host).log());
            }
        }
        self.report
    }
}

fn word(begins: bool) -> &'static str {
    if begins { "begin" } else { "end" }
}
