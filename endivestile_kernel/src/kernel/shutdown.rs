//! Graceful shutdown and planned stops.

use crate::{Effect, HostState, Kernel, PlatformState, Time};

/// Time for which a stopping process still serves what the balancer sends, in milliseconds.
const LINGER_MS: u64 = 1_500;
/// Delay of a look at which the process takes itself to have been paused, in milliseconds.
const LATE_MS: u64 = 100;
/// Time between two looks whether everything is drained, in milliseconds.
const DRAIN_POLL_MS: u64 = 50;

/// A graceful shutdown under way.
#[derive(Debug)]
pub(super) struct DrainState {
    /// When the process may end at the earliest.
    until: Time,
    /// When to look again whether everything is drained.
    look: Time,
}

impl DrainState {
    fn new(now: Time) -> Self {
        Self { until: now.after_ms(LINGER_MS), look: now.after_ms(DRAIN_POLL_MS) }
    }

    /// Notes a look; says whether the process has to stay for a while anyway.
    ///
    /// A look that comes late means that the process was paused: the calls that
    /// came meanwhile are still unread, and ending now would cut them off.
    fn looked(&mut self, now: Time) -> bool {
        if self.look.after_ms(LATE_MS) < now {
            self.until = now.after_ms(LINGER_MS);
        }
        self.look = now.after_ms(DRAIN_POLL_MS);
        self.until > now
    }
}

impl Kernel {
    pub(super) fn handle_shutdown(&mut self, now: Time) {
        if self.stopping.is_none() {
            self.stopping = Some(DrainState::new(now));
            self.info("stopping", vec![("runs", self.runs.active().to_string())]);
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

    /// A leaving host gives its share and its shards away, and finishes what it runs.
    pub(super) fn set_leaving(&mut self, now: Time, leaving: bool) {
        if leaving == self.leaving {
            return;
        }
        self.leaving = leaving;
        self.membership.mark_leaving(now, leaving);
        self.out.push(Effect::Register { leaving });
        self.info("leaving", vec![("leaving", leaving.to_string())]);
        if leaving {
            let view = self.membership.view();
            self.shards.start_drain(now, view, &mut self.shard_effects);
        }
        // Told at once: the next heartbeat may be half a second away.
        for channel in self.channels.values_mut() {
            channel.schedule_heartbeat(now);
        }
    }

    /// Returns whether new calls are refused: the balancer has had time to notice
    /// the stop, and callers who go on calling would keep the process for ever.
    pub(super) fn is_closing(&self, now: Time) -> bool {
        self.stopping.as_ref().is_some_and(|stopping| stopping.until <= now)
    }

    pub(super) fn drain_due(&self) -> Option<Time> {
        let stopping = self.stopping.as_ref().filter(|_| !self.drained);
        stopping.map(|stopping| stopping.look)
    }

    pub(super) fn check_drained(&mut self, now: Time) {
        let busy = self.busy();
        let Some(stopping) = &mut self.stopping else { return };
        if self.drained || stopping.look > now || stopping.looked(now) || busy {
            return;
        }
        self.drained = true;
        self.out.push(Effect::Drained);
    }

    fn busy(&self) -> bool {
        let view = self.membership.view();
        let owed = self.channels.iter().any(|(peer, channel)| {
            let state = view.state(peer);
            channel.backlog() > 0 && matches!(state, HostState::Live | HostState::Leaving)
        });
        let calls = self.runs.active() + self.forwards.len();
        calls > 0 || owed || !self.placer.is_idle() || !self.shards.is_drained()
    }
}
