//! Model checker of the leases under which a forwarded task runs: a front, the owner that has the
//! job, the owner that helps it, and a worker of the latter.
//!
//! Hosts freeze, wake and die, links break in one direction and heal, and stops get no answer, at
//! any heartbeat and up to three of them. One host takes over all workers of a lost owner at once.
//! No task may run at a worker when it may be started elsewhere: by the front, or for its caller,
//! which submits the job again after the front has died.

use std::collections::BTreeSet;

use endivestile_config::PlatformSettings;
use endivestile_kernel::Time;
use endivestile_kernel::fleet::{ForwardNotice, ForwardStep, Leases, LostOwner};
use pathfinding::directed::bfs::bfs_reach;
use test_case::test_case;

/// Time between two heartbeats, in milliseconds.
const STEP_MS: u64 = 110;
/// Number of heartbeats: enough for three losses one after the other and all leases.
const STEPS: u64 = 34;
/// Most disturbances.
const DISTURBANCES: u8 = 3;
/// Time after which a stop without an answer ends the renewals, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 200;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Condition {
    Running,
    Frozen,
    Dead,
}

/// A link in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Link {
    FrontToOwner,
    OwnerToFront,
    OwnerToHelper,
    HelperToOwner,
    /// Stops of the helper to the worker; renewals arrive, or a stop would not be needed.
    Stops,
}

/// How far the task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Task {
    /// At the owner, which wants to forward it.
    Waiting,
    /// On its way to the helper, sent with this echo.
    Sent(Time),
    /// At the worker.
    Running,
    /// Ended, or refused by the helper.
    Gone,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Time,
    /// Front, owner, helper.
    hosts: [Condition; 3],
    cut: BTreeSet<Link>,
    disturbances: u8,
    task: Task,
    notice: ForwardNotice,
    /// Whether the notice has reached the front.
    may_forward: bool,
    /// When the front died.
    front_died: Option<Time>,
    /// The front's last frame from the owner.
    front_contact: Time,
    /// The owner's frame that the front echoed last, as the owner knows it.
    owner_echo: Time,
    /// The latest frame of the helper that the owner has.
    helper_clock: Time,
    /// The helper's frame that the owner echoed last, as the helper knows it.
    helper_echo: Time,
    /// The contact of the fronts of forwarded tasks as the helper knows it.
    contact: Time,
    /// That contact when the run was not being stopped yet.
    held: Time,
    /// Whether the owner has dropped the job.
    dropped: bool,
    /// Whether the helper knows that.
    cancelled: bool,
    /// When the helper first sent a stop.
    stopping: Option<Time>,
    /// When the worker's lease ends at the latest.
    lease_end: Time,
}

const FRONT: usize = 0;
const OWNER: usize = 1;
const HELPER: usize = 2;

impl State {
    fn initial() -> Self {
        let now = Time::ZERO.after_ms(10 * STEP_MS);
        let before = Time::ZERO.after_ms(9 * STEP_MS);
        Self {
            now,
            hosts: [Condition::Running; 3],
            cut: BTreeSet::new(),
            disturbances: 0,
            task: Task::Waiting,
            notice: ForwardNotice::Unsent,
            may_forward: false,
            front_died: None,
            front_contact: now,
            owner_echo: before,
            helper_clock: now,
            helper_echo: before,
            contact: Time::ZERO,
            held: Time::ZERO,
            dropped: false,
            cancelled: false,
            stopping: None,
            lease_end: Time::ZERO,
        }
    }

    fn runs(&self, host: usize) -> bool {
        self.hosts[host] == Condition::Running
    }

    fn carries(&self, link: Link, from: usize, to: usize) -> bool {
        self.runs(from) && self.runs(to) && !self.cut.contains(&link)
    }

    /// Returns the states after one disturbance at this instant.
    fn disturbed(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.disturbances == DISTURBANCES {
            return next;
        }
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            state.disturbances += 1;
            change(&mut state);
            next.push(state);
        };
        for host in [FRONT, OWNER, HELPER] {
            match self.hosts[host] {
                Condition::Running => {
                    add(&|state| state.hosts[host] = Condition::Dead);
                    if host == FRONT {
                        continue;
                    }
                    add(&|state| state.hosts[host] = Condition::Frozen);
                }
                Condition::Frozen => add(&|state| state.hosts[host] = Condition::Running),
                Condition::Dead => {}
            }
        }
        let links = [
            Link::FrontToOwner,
            Link::OwnerToFront,
            Link::OwnerToHelper,
            Link::HelperToOwner,
            Link::Stops,
        ];
        for link in links {
            add(&|state| {
                if !state.cut.remove(&link) {
                    state.cut.insert(link);
                }
            });
        }
        for state in &mut next {
            if state.hosts[FRONT] == Condition::Dead {
                state.front_died.get_or_insert(state.now);
            }
        }
        next
    }

    /// Returns the state one heartbeat later.
    fn stepped(&self, leases: Leases) -> Self {
        let mut next = self.clone();
        next.now = self.now.after_ms(STEP_MS);
        next.exchange_frames(self, leases);
        next.check_owner(leases);
        next.check_helper(leases);
        if next.task == Task::Running && next.lease_end <= next.now {
            next.task = Task::Gone;
        }
        next
    }

    /// Exchanges one frame in each direction; those that cross do not know each other.
    fn exchange_frames(&mut self, before: &Self, leases: Leases) {
        let now = self.now;
        if self.carries(Link::OwnerToFront, OWNER, FRONT) {
            self.front_contact = now;
            self.may_forward |= before.notice == ForwardNotice::Sent;
        }
        if self.carries(Link::FrontToOwner, FRONT, OWNER) {
            self.owner_echo = self.owner_echo.max(before.front_contact);
            if before.may_forward && before.notice == ForwardNotice::Sent {
                self.notice = ForwardNotice::Acknowledged;
            }
        }
        if self.carries(Link::HelperToOwner, HELPER, OWNER) {
            self.helper_clock = now;
        }
        if self.carries(Link::OwnerToHelper, OWNER, HELPER) {
            let echo = before.helper_clock;
            self.helper_echo = self.helper_echo.max(echo);
            self.cancelled = before.dropped;
            let forwards = before.task != Task::Waiting && !before.dropped;
            let contact = if forwards { before.owner_echo } else { now };
            self.contact = contact.rebase(now, echo);
            if let Task::Sent(echo) = self.task {
                self.receive_task(echo, leases);
            }
        }
    }

    fn receive_task(&mut self, echo: Time, leases: Leases) {
        let stale = echo.after_ms(leases.host_ms()) <= self.now;
        let covered = leases.covers_start(self.now, leases.hold_end(self.contact));
        self.task = if stale || self.cancelled || !covered {
            Task::Gone
        } else {
            // The worker may have a full lease for another run.
            self.held = self.contact;
            self.lease_end = self.now.after_ms(leases.worker_end_ms());
            Task::Running
        };
    }

    /// Lets the owner drop the job of a front that it lost, or forward the task.
    fn check_owner(&mut self, leases: Leases) {
        if !self.runs(OWNER) {
            return;
        }
        self.dropped |= self.owner_echo.after_ms(leases.host_ms()) <= self.now;
        if self.task != Task::Waiting || self.dropped {
            return;
        }
        match self.notice.step(false) {
            ForwardStep::Notify => self.notice = ForwardNotice::Sent,
            ForwardStep::Wait => {}
            ForwardStep::Forward => self.task = Task::Sent(self.helper_clock),
        }
    }

    /// Lets the helper stop the run if it has lost the owner, or else renew its lease.
    fn check_helper(&mut self, leases: Leases) {
        if !self.runs(HELPER) || self.task != Task::Running {
            return;
        }
        let lost = self.helper_echo.after_ms(leases.host_ms()) <= self.now;
        if lost || self.cancelled {
            self.stopping.get_or_insert(self.now);
            if !self.cut.contains(&Link::Stops) {
                self.task = Task::Gone;
                return;
            }
        }
        if self.stopping.is_none() {
            self.held = self.contact;
        }
        let withheld = self.stopping.is_some_and(|at| at.after_ms(STOP_TIMEOUT_MS) <= self.now);
        let lease_ms = leases.grant_ms(self.now, leases.hold_end(self.held));
        if !withheld {
            // The worker's clock is slow by as much as is allowed for.
            let end = self.now.after_ms(lease_ms + lease_ms * 4 / 100);
            self.lease_end = self.lease_end.max(end);
        }
    }

    /// Returns whether the task runs while it may be started elsewhere.
    fn runs_twice(&self, leases: Leases, resend_ms: u64) -> bool {
        if self.task != Task::Running {
            return false;
        }
        if let Some(died) = self.front_died {
            return died.after_ms(resend_ms) <= self.now;
        }
        let owner = LostOwner {
            last_contact: self.front_contact,
            succeeded: !self.runs(OWNER),
            may_forward: self.may_forward,
        };
        leases.may_reassign(self.now, owner)
    }

    fn successors(&self, leases: Leases) -> Vec<Self> {
        let mut next = self.disturbed();
        if self.now < Time::ZERO.after_ms((10 + STEPS) * STEP_MS) && self.task != Task::Gone {
            next.push(self.stepped(leases));
        }
        next
    }
}

/// Guards against a task that runs twice at the same time because an owner and the owner that helps
/// it are lost one after the other, or because leases add up along the chain of hosts.
#[test]
fn lease_chain_exhaustive() {
    let settings = PlatformSettings::default();
    let leases = Leases::new(settings.host_lease_ms(), settings.worker_lease_ms());
    let mut states = 0;
    let mut ran = 0;
    for state in bfs_reach(State::initial(), |state| state.successors(leases)) {
        states += 1;
        ran += u32::from(state.task == Task::Running);
        assert!(!state.runs_twice(leases, settings.caller_resend_ms), "{state:#?}");
    }
    assert!(states > 100_000 && ran > 10_000, "only {states} states, {ran} with the run");
}

/// Guards against leases that outlast the caller's patience: the job would run beside its
/// resubmission.
#[test_case(600; "short")]
#[test_case(1_300; "default")]
#[test_case(1_999; "odd")]
#[test_case(5_000; "worker lease limited")]
fn lease_bounds_resend(resend_ms: u64) {
    let settings = PlatformSettings { caller_resend_ms: resend_ms, ..PlatformSettings::default() };
    let leases = Leases::new(settings.host_lease_ms(), settings.worker_lease_ms());
    assert!(leases.chain_end_ms() < leases.restart_ms());
    assert!(leases.restart_ms() < resend_ms);
    assert!(leases.stopped_ms() < leases.restart_ms());
    // A worker that is renewed as the contact is lost holds the run for the whole chain.
    let contact = Time::ZERO.after_ms(1_000);
    let lost = contact.after_ms(leases.host_ms());
    let hold_end = leases.hold_end(contact);
    assert_eq!(leases.grant_ms(lost, hold_end), leases.worker_ms());
    assert!(leases.covers_start(lost, hold_end));
    assert!(!leases.covers_start(lost.after_ms(1), hold_end));
    assert_eq!(leases.grant_ms(hold_end, hold_end), 0);
}
