//! Carrying out what a kernel wants.

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{Effect, Event, Frame, StoreOp, StoreResult};

use super::net::STORE;
use super::{ScheduledEvent, World, host};

/// Time after which a sender notices a cut, in microseconds.
const CUT_DETECTION_US: u64 = 500_000;
/// Time after which a call to a silent store is given up, in microseconds.
const STORE_TIMEOUT_US: u64 = 300_000;

impl World {
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

    fn offer_config(&mut self, name: &Name, incarnation: u64, text: &Bytes) {
        let revision = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
        let Some(config) = revision.and_then(|revision: u64| self.configs.get(&revision)) else {
            return;
        };
        let event = Event::Config { config: config.clone(), text: text.clone() };
        self.deliver_in(0, name, incarnation, event);
    }
}
