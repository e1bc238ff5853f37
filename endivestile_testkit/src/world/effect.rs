//! Carries out the effects that kernels request.

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{Effect, Event, Frame, StoreOp, StoreResult};

use super::net::STORE;
use super::{ScheduledEvent, World, host};

/// Time after which a sender detects a cut, in microseconds.
const CUT_DETECTION_US: u64 = 500_000;
/// Timeout of a call to an unreachable store, in microseconds.
const STORE_TIMEOUT_US: u64 = 300_000;

impl World {
    /// Carries out an effect of a host's kernel.
    pub(super) fn apply_effect(&mut self, name: &Name, incarnation: u64, effect: Effect) {
        if host::is_drained(&effect) {
            self.handle_drained(name);
            return;
        }
        match effect {
            Effect::Answer { call, answer } => self.handle_answer(call, &answer),
            Effect::Send { frame, .. } => self.send(name, incarnation, frame),
            Effect::Start { attempt, address, request, .. } => {
                self.start_attempt(name, incarnation, attempt, &address, request);
            }
            Effect::Abort(attempt) => self.abort_attempt(name, incarnation, attempt),
            Effect::StoreCall { op_id, op } => self.call_store(name, incarnation, op_id, op),
            Effect::OfferConfig(text) => self.offer_config(name, incarnation, &text),
            Effect::Register { leaving } => self.register(name, leaving),
            Effect::Log(_) | Effect::Count(..) | Effect::Drained => {}
        }
    }

    /// Sends a frame; the sender learns of a cut or a dead receiver, but not of a lost frame.
    fn send(&mut self, name: &Name, incarnation: u64, frame: Frame) {
        let to = frame.to.clone();
        if !self.net.reaches(name, &to.host) {
            self.deliver_in(CUT_DETECTION_US, name, incarnation, Event::LinkDown(to));
            return;
        }
        let delay = self.net.delay_us(name, &to.host, &mut self.rng);
        let alive = self.sim_hosts.get(&to.host);
        let addressed = |incarnation: u64| to.birth == incarnation || to.birth == 0;
        let alive = alive
            .filter(|it| it.kernel.is_some() && addressed(it.incarnation))
            .map(|it| it.incarnation);
        let Some(alive) = alive else {
            self.deliver_in(2 * delay, name, incarnation, Event::LinkDown(to));
            return;
        };
        if self.net.drops_frame(&mut self.rng) {
            return;
        }
        self.deliver_in(delay, &to.host, alive, Event::Frame(frame));
    }

    /// Sends a call to the store.
    fn call_store(&mut self, name: &Name, incarnation: u64, op_id: u64, op: StoreOp) {
        self.platform.calls += 1;
        if self.platform.down || !self.net.reaches(name, STORE) {
            let event = Event::StoreCallEnded { op_id, result: StoreResult::Lost };
            self.deliver_in(STORE_TIMEOUT_US, name, incarnation, event);
            return;
        }
        let at = self.now + self.platform.delay_us;
        self.schedule_at(at, ScheduledEvent::Store { host: name.clone(), incarnation, op_id, op });
    }

    /// Delivers a configuration that a peer offered, if its revision exists.
    fn offer_config(&mut self, name: &Name, incarnation: u64, text: &Bytes) {
        let revision = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
        let Some(config) = revision.and_then(|revision: u64| self.configs.get(&revision)) else {
            return;
        };
        let event = Event::Config { config: config.clone(), text: text.clone() };
        self.deliver_in(0, name, incarnation, event);
    }
}
