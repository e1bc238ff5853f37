//! Simulated hosts: kernels that start, pause and end.

use std::collections::VecDeque;

use endivestile_config::model::{Config, Name};
use endivestile_kernel::{Effect, Event, Kernel, Peer, SeedHost, Setup, Time};

use super::{ScheduledEvent, WALL_S, World};

/// Time for which a host collects events before it sends frames, in microseconds.
const FLUSH_DELAY_US: u64 = 100;

/// A simulated entry host.
#[derive(Debug)]
pub(super) struct SimHost {
    pub(super) incarnation: u64,
    /// State machine under test; `None` while the process is dead.
    pub(super) kernel: Option<Kernel>,
    pub(super) paused: bool,
    /// Whether the host watches the store.
    pub(super) connected: bool,
    /// Virtual time at which the host's clock read zero, in microseconds.
    clock_zero: u64,
    /// Events that arrived during a pause.
    queued: VecDeque<Event>,
    /// Virtual time of the scheduled timer.
    wake_at: Option<u64>,
    /// Revision of the adopted configuration.
    revision: u64,
    flush_scheduled: bool,
}

impl SimHost {
    /// Returns the time on the host's own clock.
    pub(super) fn clock(&self, now: u64) -> Time {
        Time::from_micros(now - self.clock_zero)
    }

    /// Returns whether the kernel reports that it is leaving.
    pub(super) fn leaving(&self, now: u64) -> bool {
        self.kernel.as_ref().is_some_and(|kernel| kernel.status(self.clock(now)).leaving)
    }

    /// Returns whether the process runs and is not paused.
    pub(super) fn is_running(&self) -> bool {
        self.kernel.is_some() && !self.paused
    }
}

impl World {
    /// Starts a new incarnation of a host; one that still runs is killed.
    pub fn start(&mut self, name: &str) {
        self.kill(name);
        self.incarnations += 1;
        let config = self.config();
        let Some(host) = config.hosts.get(name) else { return };
        let me = Peer::new(name, self.incarnations);
        let setup = Setup {
            me,
            zone: host.zone.clone(),
            address: host.address.clone(),
            wall_s: WALL_S + self.now / 1_000_000,
            seed: self.incarnations,
            seed_hosts: if self.seeded { all_seed_hosts(&config) } else { Vec::new() },
        };
        let sim_host = SimHost {
            incarnation: self.incarnations,
            kernel: Some(Kernel::new(setup)),
            paused: false,
            connected: false,
            clock_zero: self.now,
            queued: VecDeque::new(),
            wake_at: None,
            revision: 0,
            flush_scheduled: false,
        };
        let name = Name::from(name);
        self.sim_hosts.insert(name.clone(), sim_host);
        self.connect(&name);
        self.deliver(&name, self.incarnations, Event::Tick);
    }

    /// Kills a host's process; its callers see a broken connection.
    pub fn kill(&mut self, name: &str) {
        let Some(sim_host) = self.sim_hosts.get_mut(name) else { return };
        sim_host.kernel = None;
        sim_host.connected = false;
        sim_host.queued.clear();
        for call in self.calls.values_mut().filter(|call| *call.host == *name) {
            call.broken |= call.answer.is_none();
        }
    }

    /// Pauses a host's process.
    pub fn pause(&mut self, name: &str) {
        if let Some(sim_host) = self.sim_hosts.get_mut(name) {
            sim_host.paused = true;
        }
    }

    /// Resumes a paused process, which then handles the events of the pause.
    pub fn resume(&mut self, name: &str) {
        let Some(sim_host) = self.sim_hosts.get_mut(name) else { return };
        sim_host.paused = false;
        let queued = std::mem::take(&mut sim_host.queued);
        let incarnation = sim_host.incarnation;
        let name = Name::from(name);
        // A resumed process handles overdue timers before it reads its sockets.
        self.deliver(&name, incarnation, Event::Tick);
        for event in queued {
            self.deliver(&name, incarnation, event);
        }
    }

    /// Requests a graceful shutdown of a host.
    pub fn shutdown(&mut self, name: &str) {
        if let Some(sim_host) = self.sim_hosts.get(name) {
            let incarnation = sim_host.incarnation;
            self.deliver_in(0, &Name::from(name), incarnation, Event::Shutdown);
        }
    }

    /// Passes an event to a host's kernel and applies its effects, or queues it during a pause.
    pub(super) fn deliver(&mut self, name: &Name, incarnation: u64, event: Event) {
        let now = self.now;
        let Some(sim_host) = self.sim_hosts.get_mut(name) else { return };
        if sim_host.incarnation != incarnation {
            return;
        }
        if sim_host.paused {
            if event != Event::Tick {
                sim_host.queued.push_back(event);
            }
            return;
        }
        let clock = sim_host.clock(now);
        let Some(kernel) = &mut sim_host.kernel else { return };
        let mut effects = Vec::new();
        kernel.handle(clock, event, &mut effects);
        let needs_flush = !std::mem::replace(&mut sim_host.flush_scheduled, true);
        for effect in effects {
            self.apply_effect(name, incarnation, effect);
        }
        self.check_revision(name);
        if needs_flush {
            self.schedule_at(
                now + FLUSH_DELAY_US,
                ScheduledEvent::Flush { host: name.clone(), incarnation },
            );
        }
    }

    /// Flushes a host's kernel: sends frames with what the events since the last flush caused.
    pub(super) fn flush(&mut self, name: &Name, incarnation: u64) {
        let now = self.now;
        let Some(sim_host) = self.sim_hosts.get_mut(name) else { return };
        if sim_host.incarnation != incarnation {
            return;
        }
        sim_host.flush_scheduled = false;
        if sim_host.paused {
            return;
        }
        let clock = sim_host.clock(now);
        let Some(kernel) = &mut sim_host.kernel else { return };
        let mut effects = Vec::new();
        kernel.flush(clock, &mut effects);
        for effect in effects {
            self.apply_effect(name, incarnation, effect);
        }
        self.schedule_wake(name, incarnation);
    }

    /// Handles a timer of a host.
    pub(super) fn wake(&mut self, name: &Name, incarnation: u64) {
        if let Some(sim_host) = self.sim_hosts.get_mut(name) {
            sim_host.wake_at = None;
        }
        self.deliver(name, incarnation, Event::Tick);
    }

    /// Schedules the kernel's next timer, unless an earlier one is scheduled.
    fn schedule_wake(&mut self, name: &Name, incarnation: u64) {
        let now = self.now;
        let Some(sim_host) = self.sim_hosts.get_mut(name) else { return };
        let Some(kernel) = &sim_host.kernel else { return };
        let Some(due) = kernel.deadline() else { return };
        let at = sim_host.clock_zero.saturating_add(due.as_micros()).max(now + 1);
        if sim_host.wake_at.is_some_and(|planned| planned <= at && planned > now) {
            return;
        }
        sim_host.wake_at = Some(at);
        self.schedule_at(at, ScheduledEvent::Wake { host: name.clone(), incarnation });
    }

    /// Checks that a host never returns to an older configuration.
    fn check_revision(&mut self, name: &Name) {
        let Some(sim_host) = self.sim_hosts.get_mut(name) else { return };
        let Some(kernel) = &sim_host.kernel else { return };
        let revision = kernel.revision();
        if revision < sim_host.revision {
            let breach = format!("promise 8: {name} returned to revision {revision}");
            self.breaches.push(breach);
        }
        sim_host.revision = revision;
    }

    /// Returns the revision of a host's adopted configuration.
    pub(super) fn revision(&self, name: &str) -> u64 {
        self.sim_hosts.get(name).map_or(0, |sim_host| sim_host.revision)
    }

    /// Ends a host that has drained; it must have no open call.
    pub(super) fn handle_drained(&mut self, name: &Name) {
        let open = self.calls.values().any(|call| call.host == *name && call.status() == "open");
        if open {
            self.breaches.push(format!("promise 7: {name} stopped with an open call"));
        }
        self.kill(name);
        self.platform.registered.remove(name);
        self.broadcast(Event::HostRegistration { host: name.clone(), registration: None });
    }
}

/// Returns every host of the configuration as a seed host.
fn all_seed_hosts(config: &Config) -> Vec<SeedHost> {
    let hosts = config.hosts.iter();
    hosts.map(|(name, it)| SeedHost { host: name.clone(), address: it.address.clone() }).collect()
}

/// Returns whether an effect ends the host's process.
pub(super) fn is_drained(effect: &Effect) -> bool {
    matches!(effect, Effect::Drained)
}
