//! All decisions of one host that serves jobs: takes events in, gives effects out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::Policy;
use endivestile_config::model::Name;

use crate::channel::Channel;
use crate::fleet::evacuation::{EvacuationState, Evacuations, Source};
use crate::fleet::front::Front;
use crate::fleet::hosts::membership::{HostEntry, Membership};
use crate::fleet::job::{Job, JobEnd};
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

/// Time between two looks at everything that is due, in milliseconds, while
/// there is work.
const TICK_MS: u64 = 15;
/// The same while there is none.
const REST_MS: u64 = 60;

/// Age up to which a peer's word on waiting jobs counts, in milliseconds.
const PENDING_MS: u64 = 2_000;

/// Age up to which the list of workers is fresh enough to start tasks by, in milliseconds:
/// a worker may have said since that it is leaving.
const FRESH_LIST_MS: u64 = 300;
/// Longest wait of a host that comes to own workers for a fresh list of them, in
/// milliseconds: the store may be lost meanwhile.
const LIST_WAIT_MS: u64 = 1_000;

/// What a fleet is told once.
#[derive(Debug, Clone)]
pub struct FleetSetup {
    /// This incarnation.
    pub me: Peer,
    /// Availability zone of this host.
    pub zone: Name,
    /// Processor time that it may use, in thousandths of a core; 0 when that is
    /// not known. Hosts with more of it own workers first.
    pub cpu_milli: u32,
    /// Bandwidth of its link, in kilobits a second; 0 when that is not known.
    pub link_kbps: u32,
    /// How many times longer a task takes away from its data, in thousandths.
    pub remote_factor_milli: u32,
    /// Address of this host's links, `IP:port`.
    pub address: Name,
    /// Lease of a worker's runs, in milliseconds.
    pub worker_lease_ms: u64,
    /// Lease of another host's tasks, in milliseconds. Together with that of
    /// the workers it has to stay below the time after which a caller without
    /// an answer sends its job again.
    pub host_lease_ms: u64,
    /// Policies in force.
    pub policy: Policy,
}

impl FleetSetup {
    /// Returns how many workers this host can drive.
    pub(crate) fn capacity(&self) -> u32 {
        host_capacity(self.cpu_milli, self.link_kbps)
    }
}

/// Everything that the edges tell the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEvent {
    /// A caller hands in a job.
    Call {
        /// The open call.
        call: CallId,
        /// The job.
        job: Job,
    },
    /// A caller went away, or cancelled its job.
    Cancel(CallId),
    /// The operator's routes changed.
    Routes(Arc<RouteTable>),
    /// Operators ask for a zone to be evacuated, or no longer do.
    Evacuation(EvacuationState),
    /// Everything that operators had written at this revision of the store has been told.
    EvacuationsRead(u64),
    /// All workers as the store lists them.
    Workers(Vec<WorkerEntry>),
    /// A host's registration, none when it ended.
    Host {
        /// Name of the host.
        name: Name,
        /// The registration.
        entry: Option<HostEntry>,
    },
    /// A pool's record.
    Record {
        /// The pool, as its key names it.
        pool: Name,
        /// Revision of the record.
        revision: u64,
        /// Value; empty when it was deleted.
        value: Bytes,
    },
    /// The store answers again, or does not.
    StoreAvailable(bool),
    /// A change of a record ended.
    StoreResult {
        /// Number of the call.
        op_id: u64,
        /// How.
        result: StoreResult,
    },
    /// An order to start ended.
    StartResult {
        /// Worker.
        worker: Name,
        /// Name of the task.
        task: Name,
        /// Number of the run.
        run: u32,
        /// How.
        end: StartResult,
    },
    /// An order to stop ended.
    StopResult {
        /// Worker.
        worker: Name,
        /// Name of the task.
        task: Name,
        /// Number of the run.
        run: u32,
        /// The worker's clock in milliseconds, or the fault.
        end: Result<u64, CallError>,
    },
    /// A hold ended.
    RenewalResult {
        /// Worker.
        worker: Name,
        /// Number of the hold.
        number: u64,
        /// What the worker said.
        end: Result<RenewReply, CallError>,
    },
    /// A frame arrived.
    Frame(Box<Frame>),
    /// The link to a peer broke or could not be made.
    LinkDown(Peer),
    /// The process was told to stop gracefully.
    Shutdown,
}

/// Everything that the fleet tells the edges.
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
    /// Make the link to an address anew: it seems to carry nothing.
    Reconnect(Name),
    /// Call a worker.
    WorkerCall(WorkerCall),
    /// Call the store.
    StoreCall {
        /// Number of the call.
        op_id: u64,
        /// The call.
        op: StoreOp,
    },
    /// Register this host anew, as leaving.
    RegisterLeaving,
    /// Write a log line.
    Log(Note),
    /// Count an event.
    Count(Count),
    /// Note how long something took, in microseconds.
    Time(Span, u64),
    /// Show another value of a gauge.
    Gauge(Gauge, u64),
    /// Everything is drained: the process may end.
    Drained,
}

/// What a host needs the list of workers for, the least urgent need first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolRole {
    /// Others own the workers of its zone.
    Observer,
    /// Nobody owns workers of its zone: it may claim them.
    Candidate,
    /// It owns workers, and starts nothing on those that are leaving.
    Owner,
}

/// All decisions of one host.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) setup: FleetSetup,
    pub(crate) route_table: Option<Arc<RouteTable>>,
    pub(crate) evacuations: Evacuations,
    pub(crate) members: Membership,
    pub(crate) channels: BTreeMap<Peer, Channel>,
    pub(crate) pools: Pools,
    /// All workers, each with its pool.
    pub(crate) workers: Vec<(WorkerEntry, Name)>,
    /// When the list of them came.
    pub(crate) listed_at: Time,
    /// Until when nothing is started for want of a fresh list.
    list_due: Option<Time>,
    /// Pools that have a worker, in order.
    pub(crate) pool_names: Arc<[Name]>,
    /// When the pools' owners are looked at again.
    pub(crate) claim_due: Time,
    /// When the hosts of other zones that are kept in touch are chosen again.
    pub(crate) standby_due: Time,
    /// When the zone's pools are looked at for a transfer again.
    pub(crate) balance_due: Time,
    /// The planned transfer that is under way.
    pub(crate) transfer: Option<Transfer>,
    pub(crate) front: Front,
    pub(crate) scheduler: Scheduler,
    pub(crate) probes: BTreeMap<Name, Probe>,
    pub(crate) lost_fronts: BTreeSet<Peer>,
    /// Incarnations that have ended, and when that was noticed.
    pub(crate) ended: BTreeMap<Peer, Time>,
    pub(crate) report: (Time, Arc<HostReport>),
    /// Since when the store answers.
    pub(crate) store_since: Option<Time>,
    /// Hosts that were given pools by word, and until when it matters that they hear.
    pub(crate) grants: BTreeMap<Peer, Time>,
    pub(crate) leaving: bool,
    pub(crate) drained: bool,
    pub(crate) due: Time,
    pub(crate) out: Vec<FleetEffect>,
}

impl Fleet {
    /// Starts without a configuration and without workers.
    pub fn new(setup: FleetSetup) -> Self {
        Self {
            route_table: None,
            evacuations: Evacuations::default(),
            members: Membership::new(setup.me.clone()),
            channels: BTreeMap::new(),
            pools: Pools::default(),
            workers: Vec::new(),
            listed_at: Time::ZERO,
            list_due: None,
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
            due: Time::ZERO,
            out: Vec::new(),
            setup,
        }
    }

    /// Takes one event in. Frames wait for [`Self::flush`].
    pub fn handle(&mut self, now: Time, event: FleetEvent) {
        match event {
            FleetEvent::Call { call, job } => self.submit_call(now, call, job),
            FleetEvent::Cancel(call) => self.cancel_call(now, call),
            FleetEvent::Routes(table) => self.adopt(table),
            FleetEvent::Evacuation(state) => self.set_evacuation(now, &state, Source::Store),
            FleetEvent::EvacuationsRead(revision) => self.evacuations_read(now, revision),
            FleetEvent::Workers(workers) => self.apply_worker_list(now, workers),
            FleetEvent::Host { name, entry } => self.apply_registration(now, &name, entry.as_ref()),
            FleetEvent::Record { pool, revision, value } => {
                self.apply_record(now, &pool, revision, &value);
            }
            FleetEvent::StoreAvailable(up) => self.store(now, up),
            FleetEvent::StoreResult { op_id: token, result: stored } => {
                self.apply_swap_result(now, token, &stored)
            }
            FleetEvent::StartResult { worker, task, run, end } => {
                self.scheduler.handle_start(now, &worker, &RunId { task, run }, end);
            }
            FleetEvent::StopResult { worker, task, run, end } => {
                self.scheduler.handle_stop(now, &worker, &RunId { task, run }, end);
            }
            FleetEvent::RenewalResult { worker, number, end } => {
                self.renewal_ended(now, &worker, number, end)
            }
            FleetEvent::Frame(frame) => self.receive_frame(now, *frame),
            FleetEvent::LinkDown(peer) => {
                if let Some(channel) = self.channels.get_mut(&peer) {
                    channel.resend_unacked(now);
                }
            }
            FleetEvent::Shutdown => self.shutdown(now),
        }
    }

    /// Ends a batch of events, or is called when the deadline has passed: does
    /// what is due, places what can be placed, and sends frames.
    pub fn flush(&mut self, now: Time, out: &mut Vec<FleetEffect>) {
        if self.due <= now {
            self.tick(now);
        }
        if self.may_start(now) {
            self.scheduler.dispatch(now);
        }
        self.apply_output(now);
        self.send_frames(now);
        out.append(&mut self.out);
    }

    /// Returns whether enough is known to start tasks: the operators' configuration and
    /// evacuations, which are read together, and which workers are leaving.
    fn may_start(&mut self, now: Time) -> bool {
        self.list_due = self.list_due.filter(|due| *due > now);
        self.route_table.is_some() && self.list_due.is_none()
    }

    /// Notes that this host has come to own workers: it reads their list anew, unless the
    /// store is away.
    pub(crate) fn await_worker_list(&mut self, now: Time) {
        if self.store_since.is_some() && self.listed_at.after_ms(FRESH_LIST_MS) <= now {
            self.list_due = Some(now.after_ms(LIST_WAIT_MS));
        }
    }

    /// Notes that the list of workers has come.
    pub(crate) fn worker_list_received(&mut self, now: Time) {
        self.listed_at = now;
        self.list_due = None;
    }

    /// Returns when the fleet wants [`Self::flush`] without an event.
    pub fn deadline(&self) -> Time {
        let channels = self.channels.values().filter_map(Channel::deadline).min();
        channels.map_or(self.due, |due| due.min(self.due))
    }

    /// Puts other leases in force, in milliseconds, for orders from now on.
    pub fn set_leases(&mut self, worker: u64, host: u64) {
        self.setup.worker_lease_ms = worker;
        self.setup.host_lease_ms = host;
        self.scheduler.set_worker_lease(worker);
    }

    /// Returns whether this host owns workers.
    pub fn owns_workers(&self) -> bool {
        self.scheduler.owns_workers()
    }

    /// Returns what this host needs the list of workers for.
    pub fn pool_role(&self) -> PoolRole {
        if self.scheduler.owns_workers() {
            PoolRole::Owner
        } else if self.pools.owners(&self.setup.zone).is_empty() {
            PoolRole::Candidate
        } else {
            PoolRole::Observer
        }
    }

    /// Returns the routes in force.
    pub fn route_table(&self) -> Option<&Arc<RouteTable>> {
        self.route_table.as_ref()
    }

    /// Returns the open call that an id's job was handed in by.
    pub fn find(&self, id: &str) -> Option<CallId> {
        self.front.find(id)
    }

    /// Returns how many jobs this host has open for callers.
    pub fn open_calls(&self) -> usize {
        self.front.open.len()
    }

    /// Returns how many accepted jobs of a route wait with no task started, by
    /// this host's own count and its peers' latest reports.
    pub fn pending(&self, now: Time, route: &str) -> u32 {
        let own = self.scheduler.pending().get(route).copied().unwrap_or(0);
        let told = |report: &HostReport| {
            let row = report.pending.iter().find(|(name, _)| &**name == route);
            row.map_or(0, |(_, count)| *count)
        };
        let fresh = self.members.all().filter(|member| member.is_alive(now, PENDING_MS));
        own + fresh.map(|member| told(&member.report)).sum::<u32>()
    }

    /// Carries out what the scheduler wants until nothing is left.
    pub(crate) fn apply_output(&mut self, now: Time) {
        while !self.scheduler.out.is_empty() {
            for out in std::mem::take(&mut self.scheduler.out) {
                match out {
                    Output::Call(call) => self.out.push(FleetEffect::WorkerCall(call)),
                    Output::Message(peer, msg) => self.deliver_job_msg(now, &peer, msg),
                    Output::Log(note) => self.out.push(FleetEffect::Log(note)),
                    Output::Count(count) => self.out.push(FleetEffect::Count(count)),
                    Output::Time(span, took) => self.out.push(FleetEffect::Time(span, took)),
                }
            }
        }
    }

    /// Sends a message about a job; to this host itself it goes at once.
    pub(crate) fn deliver_job_msg(&mut self, now: Time, peer: &Peer, msg: JobMsg) {
        if *peer == self.setup.me {
            self.handle_job_msg(now, &peer.clone(), msg);
        } else {
            self.send_job_msg(peer, msg);
        }
    }

    fn adopt(&mut self, table: Arc<RouteTable>) {
        // A read that lagged may bring an earlier version after a later one.
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

    fn store(&mut self, now: Time, up: bool) {
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
        let pause = if busy { TICK_MS } else { REST_MS };
        self.due = now.after_ms(pause);
    }

    /// Writes a line that concerns no job.
    pub(crate) fn log(
        &mut self,
        level: Level,
        event: &'static str,
        pairs: Vec<(&'static str, String)>,
    ) {
        self.out.push(FleetEffect::Log(Note { level, event, id: None, pairs }));
    }
}
