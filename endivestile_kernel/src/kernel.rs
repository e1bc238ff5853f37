//! The kernel: handles events and returns effects.

mod forward;
mod frames;
mod liveness;
mod query;
mod reply;
mod shard_effect;
mod shutdown;
mod status;
mod submit;
mod task;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};

use crate::channel::Channel;
use crate::forwards::Forwards;
use crate::membership::{Membership, SeedHost};
use crate::mint::Mint;
use crate::retry_budget::RetryBudget;
use crate::routes::Routes;
use crate::runs::Runs;
use crate::{
    Effect, Event, Metric, Peer, PlaceEffect, Placer, PlacerSetup, Refusal, ShardEffect,
    ShardSetup, Shards, SubmissionId, TaskKey, Time,
};

pub use status::{HostStatus, Status};

/// Limit on the rounds of effects that one event may cause; exceeding it is a bug.
const MAX_SETTLE_ROUNDS: usize = 1_000_000;

/// Parameters of a kernel.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This incarnation.
    pub me: Peer,
    /// Availability zone of this host.
    pub zone: Name,
    /// Address of this host's links, `IP:port`.
    pub address: Name,
    /// Wall clock at [`Time::ZERO`], in seconds since 1970.
    pub wall_s: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Hosts from which to request the configuration while the store is unavailable.
    pub seed_hosts: Vec<SeedHost>,
}

/// State machine of one entry host.
#[derive(Debug)]
pub struct Kernel {
    setup: Setup,
    config: Option<Arc<Config>>,
    config_text: Bytes,
    config_request_due: Option<Time>,
    membership: Membership,
    channels: BTreeMap<Peer, Channel>,
    monitored: BTreeMap<Peer, Time>,
    peer_check_due: Time,
    /// When to recompute the load of the own share, and its last value.
    own_load: (Time, Arc<[crate::TargetLoad]>),
    shards: Shards,
    placer: Placer,
    runs: Runs,
    forwards: Forwards,
    backing_off: BTreeSet<(Time, TaskKey)>,
    mint: Mint,
    budget: RetryBudget,
    routes: Routes,
    totals: BTreeMap<Metric, u64>,
    stopping: Option<shutdown::DrainState>,
    leaving: bool,
    drained: bool,
    shard_effects: Vec<ShardEffect>,
    place_effects: Vec<PlaceEffect>,
    out: Vec<Effect>,
}

impl Kernel {
    /// Creates a kernel without a configuration: every submission is refused until one is adopted.
    pub fn new(setup: Setup) -> Self {
        let me = setup.me.clone();
        let shard_setup = ShardSetup {
            me: me.clone(),
            zone: setup.zone.clone(),
            wall_s: setup.wall_s,
            seed: setup.seed,
        };
        Self {
            config: None,
            config_text: Bytes::new(),
            config_request_due: None,
            membership: Membership::new(
                me.clone(),
                setup.zone.clone(),
                setup.address.clone(),
                &setup.seed_hosts,
            ),
            channels: BTreeMap::new(),
            monitored: BTreeMap::new(),
            peer_check_due: Time::ZERO,
            own_load: (Time::ZERO, Arc::from([])),
            shards: Shards::new(shard_setup),
            placer: Placer::new(PlacerSetup { me: me.clone(), seed: setup.seed }),
            runs: Runs::default(),
            forwards: Forwards::default(),
            backing_off: BTreeSet::new(),
            mint: Mint::new(me),
            budget: RetryBudget::new(),
            routes: Routes::default(),
            totals: BTreeMap::new(),
            stopping: None,
            leaving: false,
            drained: false,
            shard_effects: Vec::new(),
            place_effects: Vec::new(),
            out: Vec::new(),
            setup,
        }
    }

    /// Handles one event. Frames to peers wait for [`Self::flush`], so that one frame carries the
    /// messages of several events.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        self.handle_event(now, event);
        self.settle(now);
        out.append(&mut self.out);
    }

    /// Sends the frames that are due to peers; to be called after a batch of events.
    pub fn flush(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.send_frames(now);
        out.append(&mut self.out);
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn deadline(&self) -> Option<Time> {
        let channels = self.channels.values().filter_map(Channel::deadline).min();
        let drain = self.drain_due();
        [
            channels,
            drain,
            self.runs.deadline(),
            self.forwards.deadline(),
            self.backing_off.first().map(|&(due, _)| due),
            self.shards.deadline(),
            self.placer.next_timer(),
            Some(self.peer_check_due),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the revision of the configuration in force, 0 for none.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Returns whether the platform's load balancer may send calls to this host.
    pub fn ready(&self) -> bool {
        self.config.is_some() && !self.leaving
    }

    /// Issues ids that only this incarnation may start.
    pub fn mint(&mut self, now: Time, count: usize) -> Vec<SubmissionId> {
        let window_s = self.config.as_ref().map_or(0, |config| config.rules.window_s);
        self.mint.issue(now, count, window_s)
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Submitted { call, submission } => self.handle_submit(now, call, submission),
            Event::Ask { call, id, ask } => self.handle_ask(now, call, id, ask),
            Event::Frame(frame) => self.handle_frame(now, frame),
            Event::LinkDown(peer) => self.handle_link_down(now, &peer),
            Event::AttemptEnded { attempt, end } => {
                self.placer.handle_end(now, attempt, end, &mut self.place_effects);
            }
            Event::StoreCallEnded { op_id, result } => {
                let view = self.membership.view();
                self.shards.handle_store_reply(now, view, op_id, result, &mut self.shard_effects);
            }
            Event::ShardRecordChange { shard, revision, value } => {
                let view = self.membership.view();
                let out = &mut self.shard_effects;
                self.shards.handle_watch_event(now, view, shard, revision, &value, out);
            }
            Event::HostRegistration { host, registration } => {
                let changed = self.membership.apply_registration(now, &host, registration.as_ref());
                self.apply_view_change(now, changed);
            }
            Event::PlatformChange { name, state } => self.handle_platform_change(now, &name, state),
            Event::PlannedStop { name, stop } => self.handle_planned_stop(now, &name, stop),
            Event::StoreAvailable(up) => {
                self.membership.set_store_available(up);
                self.apply_view_change(now, true);
            }
            Event::Config { config, text } => self.adopt_config(now, config, text),
            Event::Shutdown => self.handle_shutdown(now),
            Event::Tick => self.tick(now),
        }
    }

    fn tick(&mut self, now: Time) {
        self.check_peers(now);
        self.resume_forwards(now);
        self.place_due_tasks(now);
        let view = self.membership.view();
        self.shards.tick(now, view, &mut self.shard_effects);
        self.placer.tick(now, &mut self.place_effects);
        // At their deadline the placer drops the tasks that still wait and reports them as not run.
        // Runs that end before these reports are handled would be answered as failed.
        self.settle(now);
        self.end_due_runs(now);
        self.check_drained(now);
    }

    /// Handles the effects of the shards and the placer until none is left.
    fn settle(&mut self, now: Time) {
        for _ in 0..MAX_SETTLE_ROUNDS {
            let shard_effects = std::mem::take(&mut self.shard_effects);
            let place_effects = std::mem::take(&mut self.place_effects);
            if shard_effects.is_empty() && place_effects.is_empty() {
                return;
            }
            for effect in shard_effects {
                self.handle_shard_effect(now, effect);
            }
            for effect in place_effects {
                self.handle_place_effect(now, effect);
            }
        }
        unreachable!("effects of one event not settled after {MAX_SETTLE_ROUNDS} rounds");
    }

    fn adopt_config(&mut self, now: Time, config: Arc<Config>, text: Bytes) {
        // A slow peer or a lagging watch may deliver an older revision. Adopting it would put rules
        // back in force that operators have replaced.
        if self.config.as_ref().is_some_and(|own| own.revision >= config.revision) {
            return;
        }
        self.config_text = text;
        self.budget.configure(config.rules.retry_percent);
        self.membership.configure(now, &config);
        self.shards.configure(&config.rules);
        self.config = Some(config.clone());
        let view = self.membership.view();
        self.placer.configure(now, &config, view, &mut self.place_effects);
        self.log_info("config_adopted", vec![("revision", config.revision.to_string())]);
        self.apply_view_change(now, true);
    }

    fn count(&mut self, metric: Metric, count: u64) {
        *self.totals.entry(metric).or_default() += count;
        self.out.push(Effect::Count(metric, count));
    }

    fn refusal(&self, now: Time, class: crate::Class, cause: crate::Cause) -> Refusal {
        Refusal { class, cause, retry: self.retry_after(now, cause) }
    }
}
