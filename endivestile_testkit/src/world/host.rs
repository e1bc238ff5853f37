//! Hosts: kernels that live, pause and die.

use std::collections::VecDeque;

use endivestile_config::model::{Config, Name};
use endivestile_kernel::{Effect, Event, Kernel, Peer, SeedHost, Setup, Time};

use super::{Happening, WALL_S, World};

/// Time in which a host's loop takes in events before it sends frames, in microseconds.
const TURN_US: u64 = 100;

/// One entry host.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) birth: u64,
    pub(super) kernel: Option<Kernel>,
    pub(super) paused: bool,
    pub(super) connected: bool,
    born: u64,
    held: VecDeque<Event>,
    wake: Option<u64>,
    revision: u64,
    turning: bool,
}

impl Machine {
    /// Returns the host's own clock.
    pub(super) fn clock(&self, now: u64) -> Time {
        Time::from_micros(now - self.born)
    }

    /// Returns whether the kernel says that it is leaving.
    pub(super) fn leaving(&self, now: u64) -> bool {
        self.kernel.as_ref().is_some_and(|kernel| kernel.status(self.clock(now)).leaving)
    }

    /// Returns whether the process runs and is not paused.
    pub(super) fn awake(&self) -> bool {
        self.kernel.is_some() && !self.paused
    }
}

impl World {
    /// Starts a new incarnation of a host; one that still runs is killed.
    pub fn start(&mut self, name: &str) {
        self.kill(name);
        self.births += 1;
        let config = self.config();
        let Some(host) = config.hosts.get(name) else { return };
        let me = Peer::new(name, self.births);
        let setup = Setup {
            me,
            zone: host.zone.clone(),
            address: host.address.clone(),
            wall_s: WALL_S + self.now / 1_000_000,
            seed: self.births,
            seed_hosts: if self.seeded { seeds(&config) } else { Vec::new() },
        };
        let machine = Machine {
            birth: self.births,
            kernel: Some(Kernel::new(setup)),
            paused: false,
            connected: false,
            born: self.now,
            held: VecDeque::new(),
            wake: None,
            revision: 0,
            turning: false,
        };
        let name = Name::from(name);
        self.machines.insert(name.clone(), machine);
        self.connect(&name);
        self.deliver(&name, self.births, Event::Tick);
    }

    /// Ends a host's process at once; its callers see a broken connection.
    pub fn kill(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.kernel = None;
        machine.connected = false;
        machine.held.clear();
        for call in self.calls.values_mut().filter(|call| *call.host == *name) {
            call.broken |= call.answer.is_none();
        }
    }

    /// Stops a host's process where it stands.
    pub fn pause(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.paused = true;
        }
    }

    /// Lets a paused process go on: everything that came meanwhile is waiting.
    pub fn resume(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.paused = false;
        let held = std::mem::take(&mut machine.held);
        let birth = machine.birth;
        let name = Name::from(name);
        // A woken process finds its timers overdue before it reads its sockets.
        self.deliver(&name, birth, Event::Tick);
        for event in held {
            self.deliver(&name, birth, event);
        }
    }

    /// Tells a host's process to shut down gracefully.
    pub fn shutdown(&mut self, name: &str) {
        if let Some(machine) = self.machines.get(name) {
            let birth = machine.birth;
            self.event_in(0, &Name::from(name), birth, Event::Shutdown);
        }
    }

    pub(super) fn deliver(&mut self, name: &Name, birth: u64, event: Event) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.birth != birth {
            return;
        }
        if machine.paused {
            if event != Event::Tick {
                machine.held.push_back(event);
            }
            return;
        }
        let clock = machine.clock(now);
        let Some(kernel) = &mut machine.kernel else { return };
        let mut effects = Vec::new();
        kernel.handle(clock, event, &mut effects);
        let due = !std::mem::replace(&mut machine.turning, true);
        for effect in effects {
            self.carry_out(name, birth, effect);
        }
        self.watch_revision(name);
        if due {
            self.at(now + TURN_US, Happening::Flush { host: name.clone(), birth });
        }
    }

    /// Ends a turn of the host's loop: frames carry what its events caused.
    pub(super) fn flush(&mut self, name: &Name, birth: u64) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        if machine.birth != birth {
            return;
        }
        machine.turning = false;
        if machine.paused {
            return;
        }
        let clock = machine.clock(now);
        let Some(kernel) = &mut machine.kernel else { return };
        let mut effects = Vec::new();
        kernel.flush(clock, &mut effects);
        for effect in effects {
            self.carry_out(name, birth, effect);
        }
        self.plan_wake(name, birth);
    }

    pub(super) fn wake(&mut self, name: &Name, birth: u64) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.wake = None;
        }
        self.deliver(name, birth, Event::Tick);
    }

    fn plan_wake(&mut self, name: &Name, birth: u64) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        let Some(kernel) = &machine.kernel else { return };
        let Some(due) = kernel.deadline() else { return };
        let at = machine.born.saturating_add(due.as_micros()).max(now + 1);
        if machine.wake.is_some_and(|planned| planned <= at && planned > now) {
            return;
        }
        machine.wake = Some(at);
        self.at(at, Happening::Wake { host: name.clone(), birth });
    }

    fn watch_revision(&mut self, name: &Name) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let Some(kernel) = &machine.kernel else { return };
        let revision = kernel.revision();
        if revision < machine.revision {
            let breach = format!("promise 8: {name} went back to revision {revision}");
            self.breaches.push(breach);
        }
        machine.revision = revision;
    }

    pub(super) fn revision(&self, name: &str) -> u64 {
        self.machines.get(name).map_or(0, |machine| machine.revision)
    }

    /// Ends a host that has drained.
    pub(super) fn ended(&mut self, name: &Name) {
        let open = self.calls.values().any(|call| call.host == *name && call.status() == "open");
        if open {
            self.breaches.push(format!("promise 7: {name} stopped with a call open"));
        }
        self.kill(name);
        self.platform.registered.remove(name);
        self.tell_all(Event::HostRegistration { host: name.clone(), registration: None });
    }
}

/// Returns every host as one to ask.
fn seeds(config: &Config) -> Vec<SeedHost> {
    let hosts = config.hosts.iter();
    hosts.map(|(name, it)| SeedHost { host: name.clone(), address: it.address.clone() }).collect()
}

/// Returns whether an effect needs its process to stay alive.
pub(super) fn is_drained(effect: &Effect) -> bool {
    matches!(effect, Effect::Drained)
}
