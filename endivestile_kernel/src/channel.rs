//! Reliable channels between two incarnations.

use std::collections::VecDeque;
use std::sync::Arc;

use endivestile_config::model::Name;

use crate::{Frame, Msg, Peer, TargetLoad, Time};

/// Wait before a lone acknowledgement, in milliseconds; most ride on other frames.
const ACK_MS: u64 = 200;
/// Wait before messages are sent again, in milliseconds; doubles up to [`RESEND_MAX_MS`].
const RESEND_MS: u64 = 500;
/// Longest wait before messages are sent again, in milliseconds.
const RESEND_MAX_MS: u64 = 2_000;
/// Messages of one frame at most.
const FRAME_MSGS: usize = 512;
/// Shortest time between two tellings of the load, in milliseconds.
const LOAD_MIN_MS: u64 = 20;
/// Longest time between two tellings, in milliseconds: the frame that told the
/// last change may have been lost.
const LOAD_MAX_MS: u64 = 2_000;
/// Payload of one frame at most, unless its first message alone is larger.
const FRAME_BYTES: usize = 1 << 20;

/// One end of a channel to a peer.
///
/// A link may break with frames under way, and nobody can tell which arrived.
/// Sending a task again could start it twice, not sending it could lose it.
/// Messages are therefore numbered and kept until acknowledged, and the
/// receiver drops numbers that it has seen: every message arrives once and in
/// order for as long as both incarnations live.
#[derive(Debug)]
pub(crate) struct Channel {
    peer: Peer,
    unacked: VecDeque<Msg>,
    acked: u64,
    sent: u64,
    received: u64,
    told: u64,
    ack_due: Option<Time>,
    resend_due: Option<Time>,
    resend_ms: u64,
    beat_due: Option<Time>,
    heard: Option<Time>,
    wanting: Option<Time>,
    load: Option<Arc<[TargetLoad]>>,
    load_next: Time,
    load_due: Time,
}

impl Channel {
    /// Opens the end towards `peer`.
    pub(crate) fn new(peer: Peer) -> Self {
        Self {
            peer,
            unacked: VecDeque::new(),
            acked: 0,
            sent: 0,
            received: 0,
            told: 0,
            ack_due: None,
            resend_due: None,
            resend_ms: RESEND_MS,
            beat_due: None,
            heard: None,
            wanting: None,
            load: None,
            load_next: Time::ZERO,
            load_due: Time::ZERO,
        }
    }

    /// Queues a message.
    pub(crate) fn push(&mut self, msg: Msg) {
        self.unacked.push_back(msg);
    }

    /// Returns how many messages wait for an acknowledgement.
    pub(crate) fn backlog(&self) -> usize {
        self.unacked.len()
    }

    /// Returns since when messages have waited without the peer being heard.
    pub(crate) fn unanswered_since(&self) -> Option<Time> {
        if self.unacked.is_empty() { None } else { self.wanting }
    }

    /// Returns when a frame last arrived.
    pub(crate) fn last_frame(&self) -> Option<Time> {
        self.heard
    }

    /// Returns the load to put on the next frame: none when it was told already.
    pub(crate) fn next_load(
        &mut self,
        now: Time,
        load: &Arc<[TargetLoad]>,
    ) -> Option<Arc<[TargetLoad]>> {
        let same = self.load.as_ref().is_some_and(|told| told == load);
        let due = if same { self.load_due } else { self.load_next };
        if due > now || load.is_empty() {
            return None;
        }
        self.load = Some(load.clone());
        self.load_next = now.after_ms(LOAD_MIN_MS);
        self.load_due = now.after_ms(LOAD_MAX_MS);
        Some(load.clone())
    }

    /// Asks for a frame at `at` even when there is nothing to say.
    pub(crate) fn schedule_heartbeat(&mut self, at: Time) {
        let due = self.beat_due.map_or(at, |due| due.min(at));
        self.beat_due = Some(due);
    }

    /// Asks for a frame by `at` unless one leaves or is due before.
    pub(crate) fn schedule_heartbeat_by(&mut self, at: Time) {
        self.beat_due.get_or_insert(at);
    }

    /// Answers a peer that asked for a sign of life. Unlike a beat it is not given up when
    /// the peer is not watched: the peer may wait for it to count this host as live.
    pub(crate) fn ack_now(&mut self, now: Time) {
        self.ack_due = Some(now);
    }

    /// Ends the regular frames of [`Self::schedule_heartbeat`].
    pub(crate) fn stop_heartbeats(&mut self) {
        self.beat_due = None;
    }

    /// Notes that the link broke: what was not acknowledged is sent again.
    pub(crate) fn resend_unacked(&mut self, now: Time) {
        self.sent = self.acked;
        if !self.unacked.is_empty() {
            self.resend_due = Some(now.after_ms(self.resend_ms));
        }
    }

    /// Takes a frame in; returns its new messages.
    pub(crate) fn receive(&mut self, now: Time, frame: Frame) -> Vec<Msg> {
        self.heard = Some(now);
        self.wanting = None;
        self.acknowledge(now, frame.ack);
        if frame.msgs.is_empty() {
            return Vec::new();
        }
        self.ack_due.get_or_insert(now.after_ms(ACK_MS));
        // A gap means that a frame was lost; the sender will send both again.
        if frame.seq > self.received + 1 {
            return Vec::new();
        }
        let seen = (self.received + 1 - frame.seq) as usize;
        let mut fresh = Vec::new();
        for mut msg in frame.msgs.into_iter().skip(seen) {
            msg.rebase(frame.sent, now);
            self.received += 1;
            fresh.push(msg);
        }
        fresh
    }

    /// Returns whether there may be a frame to send, without making it.
    pub(crate) fn has_frame_due(&self, now: Time) -> bool {
        let unsent = self.unacked.len() as u64 > self.sent - self.acked;
        let resend = self.resend_due.is_some_and(|due| due <= now);
        unsent || resend || self.due(now)
    }

    /// Returns the next frame, if one is due.
    pub(crate) fn next_frame(&mut self, now: Time, me: &Peer) -> Option<Frame> {
        if self.resend_due.is_some_and(|due| due <= now) {
            self.sent = self.acked;
            self.resend_due = None;
            self.resend_ms = (self.resend_ms * 2).min(RESEND_MAX_MS);
        }
        let held = self.resend_due.is_some_and(|due| due > now) && self.sent == self.acked;
        let skip = (self.sent - self.acked) as usize;
        let msgs = if held { Vec::new() } else { self.batch(skip) };
        if msgs.is_empty() && !self.due(now) {
            return None;
        }
        let seq = if msgs.is_empty() { 0 } else { self.sent + 1 };
        self.sent += msgs.len() as u64;
        if !msgs.is_empty() {
            self.wanting.get_or_insert(now);
            self.resend_due.get_or_insert(now.after_ms(self.resend_ms));
        }
        self.told = self.received;
        self.ack_due = None;
        self.beat_due = None;
        Some(Frame {
            from: me.clone(),
            to: self.peer.clone(),
            seq,
            ack: self.told,
            sent: now,
            revision: 0,
            leaving: false,
            load: None,
            echo: Time::ZERO,
            report: None,
            msgs,
        })
    }

    /// Returns when a frame is due.
    pub(crate) fn deadline(&self) -> Option<Time> {
        let resend = self.resend_due.filter(|_| !self.unacked.is_empty());
        [self.ack_due, self.beat_due, resend].into_iter().flatten().min()
    }

    /// Returns the messages after the first `skip` that fit one frame, at least one.
    fn batch(&self, skip: usize) -> Vec<Msg> {
        let mut bytes = 0;
        let fits = |msg: &&Msg| {
            let first = bytes == 0;
            bytes += msg.payload() + 1;
            first || bytes <= FRAME_BYTES
        };
        self.unacked.iter().skip(skip).take(FRAME_MSGS).take_while(fits).cloned().collect()
    }

    fn due(&self, now: Time) -> bool {
        let past = |due: Option<Time>| due.is_some_and(|due| due <= now);
        past(self.ack_due) || past(self.beat_due)
    }

    fn acknowledge(&mut self, now: Time, ack: u64) {
        let count = ack.saturating_sub(self.acked).min(self.unacked.len() as u64);
        if count == 0 {
            return;
        }
        self.unacked.drain(..count as usize);
        self.acked += count;
        self.sent = self.sent.max(self.acked);
        self.resend_ms = RESEND_MS;
        self.resend_due = None;
        // What was never sent is not held back: it leaves with the next frame.
        if self.sent > self.acked {
            self.resend_due = Some(now.after_ms(self.resend_ms));
        }
    }
}

/// Where a channel's frames go.
pub(crate) fn address_of(view: &crate::View, peer: &Peer) -> Option<Name> {
    let host = view.hosts.get(&peer.host)?;
    Some(host.address.clone())
}
