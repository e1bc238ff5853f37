//! The state machine of one host that serves jobs: consumes events, emits effects.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::Policy;
use endivestile_config::model::Name;

use crate::channel::Channel;
use crate::fleet::evacuation::{EvacuationState, Evacuations, Source};
use crate::fleet::front::Front;
use crate::fleet::hosts::config_lag::ConfigLag;
use crate::fleet::hosts::membership::{HostEntry, Membership};
use crate::fleet::job::{Job, JobEnd};
use crate::fleet::leases::Leases;
use crate::fleet::metrics::{Count, Gauge, Span};
use crate::fleet::msg::{HostReport, JobMsg};
use crate::fleet::ownership::balance::Transfer;
use crate::fleet::ownership::claim::Probe;
use crate::fleet::ownership::partition::host_capacity;
use crate::fleet::ownership::pools::Pools;
use crate::fleet::route_table::RouteTable;
use crate::fleet::scheduler::{Output, Scheduler};
use crate::fleet::workers::call::WorkerCall;
use crate::fleet::workers::protocol::{CallError, RenewReply, StartResult, WorkerEntry};
use crate::fleet::workers::run::RunId;
use crate::{CallId, Frame, Level, Note, Peer, StoreOp, StoreResult, Time};

/// Time between two ticks while there are jobs, in milliseconds.
const TICK_MS: u64 = 15;
/// Time between two ticks while there are no jobs, in milliseconds.
const IDLE_TICK_MS: u64 = 60;
/// Age up to which a peer's report of pending jobs is counted, in milliseconds.
const PENDING_MAX_AGE_MS: u64 = 2_000;

/// Age up to which the list of workers may be used to start tasks, in milliseconds: a
/// worker may have announced since then that it is leaving.
const LIST_MAX_AGE_MS: u64 = 300;
/// Longest wait of a new owner for a fresh list of workers, in milliseconds; bounded
/// because the store may become unreachable meanwhile.
const LIST_WAIT_MS: u64 = 1_000;

/// Settings that a fleet is created with.
#[derive(Debug, Clone)]
pub struct FleetSetup {
    /// This incarnation of the host.
    pub me: Peer,
    /// Availability zone of this host.
    pub zone: Name,
    /// Processor time that the host may use, in thousandths of a core; 0 if unknown.
    /// Hosts with more of it own workers first.
    pub cpu_milli: u32,
    /// Bandwidth of the host's network link, in kilobits per second; 0 if unknown.
    pub link_kbps: u32,
    /// Factor by which a task's run time grows on a worker without its data, in
    /// thousandths.
    pub remote_factor_milli: u32,
    /// Address at which this host accepts links from its peers, `IP:port`.
    pub address: Name,
    /// Duration of a worker's lease, in milliseconds; its runs stop when it expires.
    pub worker_lease_ms: u64,
    /// Lease of another host's jobs, in milliseconds: they are cancelled here if that host
    /// has echoed no frame that was sent within this time. Together with the workers' lease
    /// it has to stay below the time after which a caller without an answer resubmits its
    /// job.
    pub host_lease_ms: u64,
    /// Active scheduling mechanisms.
    pub policy: Policy,
}

impl FleetSetup {
    /// Returns how many workers this host has the capacity to own.
    pub(crate) fn capacity(&self) -> u32 {
        host_capacity(self.cpu_milli, self.link_kbps)
    }

    /// Returns the bounds that follow from the leases.
    pub(crate) fn leases(&self) -> Leases {
        Leases::new(self.host_lease_ms, self.worker_lease_ms)
    }
}

/// An input to the fleet from the network, the store, the workers or the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEvent {
    /// A caller submits a job.
    Call {
        /// The open call.
        call: CallId,
        /// The job.
        job: Job,
    },
    /// The caller of a job disconnected or cancelled it.
    Cancel(CallId),
    /// The operator's configuration was read or changed.
    Routes(Arc<RouteTable>),
    /// The evacuation of a zone was requested or cancelled by an operator.
    Evacuation(EvacuationState),
    /// All evacuations that the store held at this revision have been delivered.
    EvacuationsRead(u64),
    /// All workers that are registered.
    Workers(Vec<WorkerEntry>),
    /// A host's registration changed or ended.
    Host {
        /// Name of the host.
        name: Name,
        /// Revision of the store at the change.
        revision: u64,
        /// The registration; `None` if it ended.
        entry: Option<HostEntry>,
    },
    /// The ownership record of a pool was read or changed.
    Record {
        /// Name of the pool, from the record's key.
        pool: Name,
        /// Revision of the store at which the record changed.
        revision: u64,
        /// Encoded record; empty if it was deleted.
        value: Bytes,
    },
    /// The store became reachable or unreachable.
    StoreAvailable(bool),
    /// A [`FleetEffect::StoreCall`] ended.
    StoreCallEnded {
        /// Number of the call.
        op_id: u64,
        /// Its outcome.
        result: StoreResult,
    },
    /// A start call to a worker ended.
    StartEnded {
        /// Worker.
        worker: Name,
        /// Name of the task.
        task: Name,
        /// Number of the run.
        run: u32,
        /// Its outcome.
        end: StartResult,
    },
    /// A stop call to a worker ended.
    StopEnded {
        /// Worker.
        worker: Name,
        /// Name of the task.
        task: Name,
        /// Number of the run.
        run: u32,
        /// The worker's clock when the run had stopped, in milliseconds, or the error.
        end: Result<u64, CallError>,
    },
    /// A lease renewal ended.
    RenewalEnded {
        /// Worker.
        worker: Name,
        /// Number of the renewal.
        number: u64,
        /// The worker's answer, or the error.
        end: Result<RenewReply, CallError>,
    },
    /// A frame from a peer arrived.
    Frame(Box<Frame>),
    /// The link to a peer broke or could not be established.
    LinkDown(Peer),
    /// A graceful stop was requested.
    Shutdown,
}

/// An output of the fleet, carried out by its surroundings.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEffect {
    /// Answer a caller.
    Answer {
        /// The open call.
        call: CallId,
        /// How its job ended.
        end: JobEnd,
    },
    /// Send a frame, at most once.
    Send {
        /// Address of the peer's links.
        address: Name,
        /// The frame.
        frame: Frame,
    },
    /// Replace the link to an address, which no longer delivers frames.
    Reconnect(Name),
    /// Call a worker.
    WorkerCall(WorkerCall),
    /// Call the store; answered with [`FleetEvent::StoreCallEnded`].
    StoreCall {
        /// Number of the call.
        op_id: u64,
        /// The operation.
        op: StoreOp,
    },
    /// Read the operators' keys now instead of waiting for a watch.
    ReadOperatorKeys,
    /// Update this host's registration to say that it is leaving.
    RegisterLeaving,
    /// Write a log line.
    Log(Note),
    /// Increment a counter.
    Count(Count),
    /// Record a duration in microseconds.
    Time(Span, u64),
    /// Set a gauge.
    Gauge(Gauge, u64),
    /// Nothing is left to do: the process may exit.
    Drained,
}

/// The state of one host that serves jobs.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) setup: FleetSetup,
    pub(crate) route_table: Option<Arc<RouteTable>>,
    pub(crate) evacuations: Evacuations,
    pub(crate) config_lag: ConfigLag,
    pub(crate) members: Membership,
    /// Message queues to and from each peer.
    pub(crate) channels: BTreeMap<Peer, Channel>,
    pub(crate) pools: Pools,
    /// All registered workers, each with its pool.
    pub(crate) workers: Vec<(WorkerEntry, Name)>,
    /// When the list of workers was received.
    pub(crate) listed_at: Time,
    /// Until when no task is started because the list of workers is out of date.
    list_wait_end: Option<Time>,
    /// Pools that have a worker, sorted.
    pub(crate) pool_names: Arc<[Name]>,
    /// Next check for pools without a live owner.
    pub(crate) claim_due: Time,
    /// Next choice of the hosts in other zones to which heartbeats are kept up.
    pub(crate) standby_due: Time,
    /// Next check whether a pool of the zone should be transferred.
    pub(crate) balance_due: Time,
    /// The ownership transfer in progress.
    pub(crate) transfer: Option<Transfer>,
    pub(crate) front: Front,
    pub(crate) scheduler: Scheduler,
    /// Latest probe of each worker, by worker id.
    pub(crate) probes: BTreeMap<Name, Probe>,
    /// Fronts whose jobs were cancelled because frames no longer reach them.
    pub(crate) lost_fronts: BTreeSet<Peer>,
    /// Incarnations that have ended, each with the time at which that was detected.
    pub(crate) ended: BTreeMap<Peer, Time>,
    /// The report sent to peers, and when it has to be recomputed.
    pub(crate) report: (Time, Arc<HostReport>),
    /// Since when the store has been reachable; `None` while it is not.
    pub(crate) store_since: Option<Time>,
    /// Hosts that received pools by direct transfer, each with the time until which this
    /// host waits for the grant to be delivered.
    pub(crate) grants: BTreeMap<Peer, Time>,
    /// Whether a graceful stop was requested.
    pub(crate) leaving: bool,
    /// Whether [`FleetEffect::Drained`] was emitted.
    pub(crate) drained: bool,
    /// When the next tick is due.
    pub(crate) next_tick: Time,
    pub(crate) out: Vec<FleetEffect>,
}

impl Fleet {
    /// Creates a fleet without configuration and workers.
    pub fn new(setup: FleetSetup) -> Self {
        Self {
            route_table: None,
            evacuations: Evacuations::default(),
            config_lag: ConfigLag::default(),
            members: Membership::new(setup.me.clone()),
            channels: BTreeMap::new(),
            pools: Pools::default(),
            workers: Vec::new(),
            listed_at: Time::ZERO,
            list_wait_end: None,
            pool_names: Arc::from([]),
            claim_due: Time::ZERO,
            standby_due: Time::ZERO,
            balance_due: Time::ZERO,
            transfer: None,
            front: Front::default(),
            scheduler: Scheduler::new(&setup),
            probes: BTreeMap::new(),
            lost_fronts: BTreeSet::new(),
            ended: BTreeMap::new(),
            report: (Time::ZERO, Arc::default()),
            store_since: None,
            grants: BTreeMap::new(),
            leaving: false,
            drained: false,
            next_tick: Time::ZERO,
            out: Vec::new(),
            setup,
        }
    }

    /// Processes one event. Frames are not sent before [`Self::flush`].
    pub fn handle(&mut self, now: Time, event: FleetEvent) {
        match event {
            FleetEvent::Call { call, job } => self.submit_call(now, call, job),
            FleetEvent::Cancel(call) => self.cancel_call(now, call),
            FleetEvent::Routes(table) => self.adopt_config(table),
            FleetEvent::Evacuation(state) => self.set_evacuation(now, &state, Source::Store),
            FleetEvent::EvacuationsRead(revision) => self.handle_evacuations_read(now, revision),
            FleetEvent::Workers(workers) => self.apply_worker_list(now, workers),
            FleetEvent::Host { name, revision, entry } => {
                self.apply_registration(now, &name, revision, entry.as_ref());
            }
            FleetEvent::Record { pool, revision, value } => {
                self.apply_record(now, &pool, revision, &value);
            }
            FleetEvent::StoreAvailable(up) => self.set_store_available(now, up),
            FleetEvent::StoreCallEnded { op_id, result } => {
                self.apply_swap_result(now, op_id, &result)
            }
            FleetEvent::StartEnded { worker, task, run, end } => {
                self.scheduler.handle_start(now, &worker, &RunId { task, run }, end);
            }
            FleetEvent::StopEnded { worker, task, run, end } => {
                self.scheduler.handle_stop(now, &worker, &RunId { task, run }, end);
            }
            FleetEvent::RenewalEnded { worker, number, end } => {
                self.handle_renewal(now, &worker, number, end)
            }
            FleetEvent::Frame(frame) => self.handle_frame(now, *frame),
            FleetEvent::LinkDown(peer) => self.handle_link_down(now, &peer),
            FleetEvent::Shutdown => self.shutdown(now),
        }
    }

    /// Ends a batch of events: runs a tick if one is due, starts tasks, sends frames and
    /// moves all effects to `out`. Also called when [`Self::deadline`] has passed.
    pub fn flush(&mut self, now: Time, out: &mut Vec<FleetEffect>) {
        if self.next_tick <= now {
            self.tick(now);
        }
        if self.may_start(now) {
            self.scheduler.dispatch(now);
        }
        self.apply_output(now);
        self.send_frames(now);
        out.append(&mut self.out);
    }

    /// Returns whether tasks may be started: the operators' configuration and evacuations,
    /// which are read together, are loaded and the list of workers is up to date.
    fn may_start(&mut self, now: Time) -> bool {
        self.list_wait_end = self.list_wait_end.filter(|until| *until > now);
        self.route_table.is_some() && self.list_wait_end.is_none()
    }

    /// Holds back new tasks until the list of workers has been read again, unless it is
    /// fresh or the store is unreachable. Called when this host has become an owner.
    pub(crate) fn await_worker_list(&mut self, now: Time) {
        if self.store_since.is_some() && self.listed_at.after_ms(LIST_MAX_AGE_MS) <= now {
            self.list_wait_end = Some(now.after_ms(LIST_WAIT_MS));
        }
    }

    /// Records that an up-to-date list of workers was received.
    pub(crate) fn worker_list_received(&mut self, now: Time) {
        self.listed_at = now;
        self.list_wait_end = None;
    }

    /// Returns when [`Self::flush`] has to be called if no event arrives before.
    pub fn deadline(&self) -> Time {
        let channels = self.channels.values().filter_map(Channel::deadline).min();
        channels.map_or(self.next_tick, |at| at.min(self.next_tick))
    }

    /// Changes the duration of leases, in milliseconds, for calls made from now on.
    pub fn set_leases(&mut self, worker_ms: u64, host_ms: u64) {
        self.setup.worker_lease_ms = worker_ms;
        self.setup.host_lease_ms = host_ms;
        self.scheduler.set_leases(self.setup.leases());
    }

    /// Returns whether this host owns workers.
    pub fn owns_workers(&self) -> bool {
        self.scheduler.owns_workers()
    }

    /// Returns the current configuration.
    pub fn route_table(&self) -> Option<&Arc<RouteTable>> {
        self.route_table.as_ref()
    }

    /// Returns the open call whose job has this id.
    pub fn find(&self, id: &str) -> Option<CallId> {
        self.front.find(id)
    }

    /// Returns how many jobs callers of this host wait for.
    pub fn open_calls(&self) -> usize {
        self.front.open.len()
    }

    /// Returns how many accepted jobs of a route have no task started, from this host's
    /// own count and its peers' latest reports.
    pub fn pending(&self, now: Time, route: &str) -> u32 {
        let own = self.scheduler.pending().get(route).copied().unwrap_or(0);
        let reported = |report: &HostReport| {
            let row = report.pending.iter().find(|(name, _)| &**name == route);
            row.map_or(0, |(_, count)| *count)
        };
        let fresh = self.members.all().filter(|member| member.is_alive(now, PENDING_MAX_AGE_MS));
        own + fresh.map(|member| reported(&member.report)).sum::<u32>()
    }

    /// Carries out the scheduler's outputs until none is left.
    pub(crate) fn apply_output(&mut self, now: Time) {
        while !self.scheduler.out.is_empty() {
            for out in std::mem::take(&mut self.scheduler.out) {
                match out {
                    Output::Call(call) => self.out.push(FleetEffect::WorkerCall(call)),
                    Output::Message(peer, msg) => self.deliver_job_msg(now, &peer, msg),
                    Output::Log(note) => self.out.push(FleetEffect::Log(note)),
                    Output::Count(count) => self.out.push(FleetEffect::Count(count)),
                    Output::Time(span, took) => self.out.push(FleetEffect::Time(span, took)),
                    Output::Gauge(gauge, it) => self.out.push(FleetEffect::Gauge(gauge, it)),
                }
            }
        }
    }

    /// Sends a message about a job; one to this host is handled at once.
    pub(crate) fn deliver_job_msg(&mut self, now: Time, peer: &Peer, msg: JobMsg) {
        if *peer == self.setup.me {
            self.handle_job_msg(now, &peer.clone(), msg);
        } else {
            self.send_job_msg(peer, msg);
        }
    }

    fn adopt_config(&mut self, table: Arc<RouteTable>) {
        // A delayed read may deliver an earlier version after a later one.
        if self.route_table.as_ref().is_some_and(|own| own.version >= table.version) {
            return;
        }
        let pairs = vec![
            ("version", table.version.to_string()),
            ("routes", table.routes.len().to_string()),
        ];
        self.log(Level::Info, "config_adopted", pairs);
        self.route_table = Some(table);
    }

    fn set_store_available(&mut self, now: Time, up: bool) {
        if self.store_since.is_some() != up {
            self.store_since = up.then_some(now);
            for pool in self.pools.by_name.values_mut() {
                pool.vacant_since = None;
            }
            let event = if up { "store_up" } else { "store_down" };
            self.log(Level::Info, event, Vec::new());
        }
    }

    fn tick(&mut self, now: Time) {
        self.check_members(now);
        self.claim_pools(now);
        self.balance(now);
        self.scheduler.tick(now);
        self.apply_output(now);
        self.reassign_lost(now);
        self.expire_deadlines(now);
        self.check_drained(now);
        self.report_evacuations();
        let busy = !self.front.open.is_empty() || !self.scheduler.jobs.is_empty();
        let pause = if busy { TICK_MS } else { IDLE_TICK_MS };
        self.next_tick = now.after_ms(pause);
    }

    /// Writes a log line that concerns no job.
    pub(crate) fn log(
        &mut self,
        level: Level,
        event: &'static str,
        pairs: Vec<(&'static str, String)>,
    ) {
        self.out.push(FleetEffect::Log(Note { level, event, id: None, pairs }));
    }
}
