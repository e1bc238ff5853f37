//! Carrying out what a kernel wants.

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{Effect, Event, Frame, StoreOp, StoreResult};

use super::net::STORE;
use super::{Happening, World, host};

/// Time after which a sender notices a cut, in microseconds.
const NOTICE_US: u64 = 500_000;
/// Time after which a call to a silent store is given up, in microseconds.
const STORE_TIMEOUT_US: u64 = 300_000;

impl World {
    pub(super) fn carry_out(&mut self, name: &Name, birth: u64, effect: Effect) {
        if host::is_drained(&effect) {
            self.ended(name);
            return;
        }
        match effect {
            Effect::Answer { call, answer } => self.answered(call, &answer),
            Effect::Send { frame, .. } => self.send(name, birth, frame),
            Effect::Start { attempt, address, request, .. } => {
                self.visit(name, birth, attempt, &address, request);
            }
            Effect::Abort(attempt) => self.abort(name, birth, attempt),
            Effect::StoreCall { op_id, op } => self.call_store(name, birth, op_id, op),
            Effect::OfferConfig(text) => self.offer(name, birth, &text),
            Effect::Register { leaving } => self.register(name, leaving),
            Effect::Log(_) | Effect::Count(..) | Effect::Drained => {}
        }
    }

    fn send(&mut self, name: &Name, birth: u64, frame: Frame) {
        let to = frame.to.clone();
        if !self.net.reaches(name, &to.host) {
            self.event_in(NOTICE_US, name, birth, Event::LinkDown(to));
            return;
        }
        let delay = self.net.delay_us(name, &to.host, &mut self.rng);
        let alive = self.machines.get(&to.host);
        let meant = |birth: u64| to.birth == birth || to.birth == 0;
        let alive = alive.filter(|it| it.kernel.is_some() && meant(it.birth)).map(|it| it.birth);
        let Some(alive) = alive else {
            self.event_in(2 * delay, name, birth, Event::LinkDown(to));
            return;
        };
        if self.net.loses(&mut self.rng) {
            return;
        }
        self.event_in(delay, &to.host, alive, Event::Frame(frame));
    }

    fn call_store(&mut self, name: &Name, birth: u64, op_id: u64, op: StoreOp) {
        self.platform.calls += 1;
        if self.platform.down || !self.net.reaches(name, STORE) {
            let event = Event::StoreCallEnded { op_id, result: StoreResult::Lost };
            self.event_in(STORE_TIMEOUT_US, name, birth, event);
            return;
        }
        let at = self.now + self.platform.delay_us;
        self.at(at, Happening::Store { host: name.clone(), birth, op_id, op });
    }

    fn offer(&mut self, name: &Name, birth: u64, text: &Bytes) {
        let revision = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
        let Some(config) = revision.and_then(|revision: u64| self.configs.get(&revision)) else {
            return;
        };
        let event = Event::Config { config: config.clone(), text: text.clone() };
        self.event_in(0, name, birth, event);
    }
}
