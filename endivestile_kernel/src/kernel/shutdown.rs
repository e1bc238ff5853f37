//! Graceful shutdown and planned stops.

use crate::{Effect, HostState, Kernel, PlatformState, Time};

/// Time for which a stopping process still accepts calls from the load balancer, in milliseconds.
const MIN_SHUTDOWN_MS: u64 = 1_500;
/// Delay of a drain check that shows that the process was paused, in milliseconds.
const PAUSED_MS: u64 = 100;
/// Interval between two drain checks, in milliseconds.
const DRAIN_POLL_MS: u64 = 50;

/// Progress of a graceful shutdown.
#[derive(Debug)]
pub(super) struct DrainState {
    /// Earliest time at which the process may exit.
    earliest_exit: Time,
    /// When to check again whether all work is drained.
    next_check: Time,
}

impl DrainState {
    fn new(now: Time) -> Self {
        Self {
            earliest_exit: now.after_ms(MIN_SHUTDOWN_MS),
            next_check: now.after_ms(DRAIN_POLL_MS),
        }
    }

    /// Schedules the next check, and returns whether the process has to wait in any case.
    ///
    /// A late check means that the process was paused: calls that arrived meanwhile are still
    /// unread, and exiting now would cut them off.
    fn schedule_check(&mut self, now: Time) -> bool {
        if self.next_check.after_ms(PAUSED_MS) < now {
            self.earliest_exit = now.after_ms(MIN_SHUTDOWN_MS);
        }
        self.next_check = now.after_ms(DRAIN_POLL_MS);
        self.earliest_exit > now
    }
}

impl Kernel {
    pub(super) fn handle_shutdown(&mut self, now: Time) {
        if self.stopping.is_none() {
            self.stopping = Some(DrainState::new(now));
            self.log_info("stopping", vec![("runs", self.runs.active().to_string())]);
        }
        self.apply_view_change(now, true);
    }

    pub(super) fn handle_platform_change(
        &mut self,
        now: Time,
        name: &str,
        state: Option<PlatformState>,
    ) {
        let changed = self.membership.apply_platform_state(now, name, state);
        let leaving = matches!(state, Some(PlatformState::Leaving | PlatformState::Gone));
        self.placer.set_leaving(now, name, leaving, &mut self.place_effects);
        self.apply_view_change(now, changed || *name == *self.setup.me.host);
    }

    pub(super) fn handle_planned_stop(&mut self, now: Time, name: &str, stop: bool) {
        let changed = self.membership.apply_planned_stop(now, name, stop);
        self.placer.set_leaving(now, name, stop, &mut self.place_effects);
        self.apply_view_change(now, changed || *name == *self.setup.me.host);
    }

    /// Starts or cancels leaving: a leaving host transfers its share and its shards, and finishes
    /// its runs.
    pub(super) fn update_leaving(&mut self, now: Time, leaving: bool) {
        if leaving == self.leaving {
            return;
        }
        self.leaving = leaving;
        self.membership.mark_leaving(now, leaving);
        self.out.push(Effect::Register { leaving });
        self.log_info("leaving", vec![("leaving", leaving.to_string())]);
        if leaving {
            let view = self.membership.view();
            self.shards.start_drain(now, view, &mut self.shard_effects);
        }
        // Sent at once: the next heartbeat may be half a second away.
        for channel in self.channels.values_mut() {
            channel.schedule_heartbeat(now);
        }
    }

    /// Returns whether new calls are refused: the load balancer has had time to notice the stop,
    /// and callers that continue to call would keep the process from exiting.
    pub(super) fn is_closing(&self, now: Time) -> bool {
        self.stopping.as_ref().is_some_and(|stopping| stopping.earliest_exit <= now)
    }

    pub(super) fn drain_due(&self) -> Option<Time> {
        let stopping = self.stopping.as_ref().filter(|_| !self.drained);
        stopping.map(|stopping| stopping.next_check)
    }

    pub(super) fn check_drained(&mut self, now: Time) {
        let busy = self.busy();
        let Some(stopping) = &mut self.stopping else { return };
        if self.drained || stopping.next_check > now || stopping.schedule_check(now) || busy {
            return;
        }
        self.drained = true;
        self.out.push(Effect::Drained);
    }

    fn busy(&self) -> bool {
        let view = self.membership.view();
        let unacked = self.channels.iter().any(|(peer, channel)| {
            let state = view.state(peer);
            channel.backlog() > 0 && matches!(state, HostState::Live | HostState::Leaving)
        });
        let calls = self.runs.active() + self.forwards.len();
        calls > 0 || unacked || !self.placer.is_idle() || !self.shards.is_drained()
    }
}
