//! Injected faults and actions of operators.

use std::sync::Arc;

use endivestile_config::model::{Config, Name};
use endivestile_kernel::{Event, PlatformState};

use super::World;
use super::backend::BackendMode;

impl World {
    /// Cuts the network between two ends, each a host, a backend server, a worker, a zone or the
    /// store.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.net.cut(a, b);
        self.faulty = true;
        self.reconnect();
    }

    /// Repairs the network: ends all cuts, frame loss and jitter.
    pub fn heal(&mut self) {
        self.net.heal();
        self.net.loss_percent = 0;
        self.net.jitter_us = 0;
        self.faulty = self.platform.down;
        self.reconnect();
    }

    /// Sets the share of frames lost between hosts, in percent.
    pub fn set_frame_loss(&mut self, percent: u32) {
        self.net.loss_percent = percent;
        self.faulty = true;
    }

    /// Sets the maximum additional delay of messages, in milliseconds.
    pub fn set_jitter(&mut self, millis: u64) {
        self.net.jitter_us = millis * 1_000;
    }

    /// Takes the store down or up.
    pub fn set_store_down(&mut self, down: bool) {
        self.platform.down = down;
        self.faulty |= down;
        self.reconnect();
    }

    /// Sets the delay of store calls in each direction, in milliseconds.
    pub fn set_store_delay(&mut self, millis: u64) {
        self.platform.delay_us = millis * 1_000;
    }

    /// Loses the answers to the next store calls; their writes take effect.
    pub fn lose_store_answers(&mut self, calls: u32) {
        self.platform.answers_to_lose = calls;
    }

    /// Returns the number of store calls of all hosts so far.
    pub fn store_calls(&self) -> u64 {
        self.platform.calls
    }

    /// Sets the behaviour of a backend server or worker.
    pub fn set_mode(&mut self, server: &str, mode: BackendMode) {
        let Some(backend) = self.backends.get_mut(server) else { return };
        backend.mode = mode;
        backend.leaving = (mode == BackendMode::Leaving).then_some(self.now);
    }

    /// Sets the run time of tasks at a backend server or worker, in milliseconds.
    pub fn set_task_duration(&mut self, server: &str, millis: u64) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.task_ms = millis;
        }
    }

    /// Sets the state of a host, backend server or worker in the platform's list.
    pub fn set_listed_state(&mut self, name: &str, state: PlatformState) {
        let name = Name::from(name);
        self.platform.listed_states.insert(name.clone(), state);
        if let Some(backend) = self.backends.get_mut(&name) {
            backend.leaving = (state != PlatformState::Live).then_some(self.now);
        }
        self.broadcast(Event::PlatformChange { name, state: Some(state) });
    }

    /// Plans a stop of a host, backend server or worker, or withdraws it.
    pub fn set_planned_stop(&mut self, name: &str, stop: bool) {
        let name = Name::from(name);
        self.platform.planned_stops.insert(name.clone(), stop);
        if let Some(backend) = self.backends.get_mut(&name) {
            backend.leaving = stop.then_some(self.now);
        }
        self.broadcast(Event::PlannedStop { name, stop });
    }

    /// Accepts a changed configuration, as operators do.
    pub fn accept_config(&mut self, change: impl FnOnce(&mut Config)) {
        let mut config = Config::clone(&self.config());
        config.revision += 1;
        change(&mut config);
        let revision = config.revision;
        self.configs.insert(revision, Arc::new(config));
        self.platform.revision = revision;
        self.platform.accepted = Some(self.now);
        self.broadcast(self.config_event(revision));
    }

    /// Offers the oldest configuration to a host, as a slow peer would.
    pub fn offer_oldest_config(&mut self, host: &str) {
        let Some(oldest) = self.configs.keys().next().copied() else { return };
        let Some(incarnation) = self.sim_hosts.get(host).map(|sim_host| sim_host.incarnation)
        else {
            return;
        };
        let event = self.config_event(oldest);
        self.deliver_in(0, &Name::from(host), incarnation, event);
    }

    /// Returns the home in the record of an id's shard.
    pub fn home_of(&self, id: &endivestile_kernel::SubmissionId) -> Option<Name> {
        let shards = self.config().rules.shards;
        let shard = id.shard(shards);
        let value = self.platform.shard_home(shard)?;
        Some(Name::from(value))
    }
}
