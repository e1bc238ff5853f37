//! Reliable message channel between two incarnations.

use std::collections::VecDeque;
use std::sync::Arc;

use endivestile_config::model::Name;

use crate::{Frame, FrameExtension, Msg, Peer, TargetLoad, Time};

/// Delay before a frame is sent only to acknowledge, in milliseconds; most acknowledgements are
/// piggybacked on other frames.
const ACK_MS: u64 = 200;
/// Initial delay before unacknowledged messages are resent, in milliseconds; doubles up to
/// [`MAX_RESEND_MS`].
const RESEND_MS: u64 = 500;
/// Initial delay before a broken link is opened again only to resend messages, in milliseconds;
/// doubles up to [`MAX_RESEND_MS`] until a message is acknowledged.
const RETRY_MS: u64 = 20;
/// Maximum delay before unacknowledged messages are resent, in milliseconds.
const MAX_RESEND_MS: u64 = 2_000;
/// Maximum number of messages in one frame.
const MAX_FRAME_MSGS: usize = 512;
/// Minimum interval between two load reports, in milliseconds.
const MIN_LOAD_INTERVAL_MS: u64 = 20;
/// Interval after which an unchanged load is reported again, in milliseconds: the frame with the
/// last change may have been lost.
const MAX_LOAD_INTERVAL_MS: u64 = 2_000;
/// Maximum payload of one frame in bytes, unless its first message alone is larger.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// One end of a channel to a peer.
///
/// A link may break with frames in flight, without a way to find out which of them arrived.
/// Resending a task could start it twice, not resending it could lose it. Messages are therefore
/// numbered and kept until acknowledged, and the receiver drops numbers that it has already
/// received: each message is delivered once and in order for as long as both incarnations live.
///
/// Frames renew leases, so no frame may overtake a message: after a link broke, the next frame
/// carries what is unacknowledged, whatever it is sent for.
#[derive(Debug)]
pub(crate) struct Channel {
    peer: Peer,
    unacked: VecDeque<Msg>,
    acked: u64,
    sent: u64,
    received: u64,
    ack_sent: u64,
    ack_due: Option<Time>,
    resend_due: Option<Time>,
    resend_ms: u64,
    /// When to resend after the link broke, unless a frame is due before.
    retry_due: Option<Time>,
    retry_ms: u64,
    heartbeat_due: Option<Time>,
    last_frame: Option<Time>,
    awaiting_since: Option<Time>,
    /// Since when the oldest message has been waiting for its acknowledgement.
    undelivered_since: Option<Time>,
    /// Time that the last acknowledged message waited, until it is read, in microseconds.
    ack_delay: Option<u64>,
    reported_load: Option<Arc<[TargetLoad]>>,
    next_load_due: Time,
    load_refresh_due: Time,
}

impl Channel {
    /// Creates the local end of the channel to `peer`.
    pub(crate) fn new(peer: Peer) -> Self {
        Self {
            peer,
            unacked: VecDeque::new(),
            acked: 0,
            sent: 0,
            received: 0,
            ack_sent: 0,
            ack_due: None,
            resend_due: None,
            resend_ms: RESEND_MS,
            retry_due: None,
            retry_ms: RETRY_MS,
            heartbeat_due: None,
            last_frame: None,
            awaiting_since: None,
            undelivered_since: None,
            ack_delay: None,
            reported_load: None,
            next_load_due: Time::ZERO,
            load_refresh_due: Time::ZERO,
        }
    }

    /// Queues a message.
    pub(crate) fn push(&mut self, msg: Msg) {
        self.unacked.push_back(msg);
    }

    /// Returns the number of unacknowledged messages.
    pub(crate) fn backlog(&self) -> usize {
        self.unacked.len()
    }

    /// Returns when messages were first sent after the peer's last frame, if any are
    /// unacknowledged.
    pub(crate) fn unanswered_since(&self) -> Option<Time> {
        if self.unacked.is_empty() { None } else { self.awaiting_since }
    }

    /// Returns how long the oldest message had waited at the latest acknowledgement, in
    /// microseconds, unless that was returned before.
    pub(crate) fn take_ack_delay(&mut self) -> Option<u64> {
        self.ack_delay.take()
    }

    /// Returns when the last frame arrived.
    pub(crate) fn last_frame(&self) -> Option<Time> {
        self.last_frame
    }

    /// Returns the load report for the next frame, or none if no report is due.
    pub(crate) fn next_load(
        &mut self,
        now: Time,
        load: &Arc<[TargetLoad]>,
    ) -> Option<Arc<[TargetLoad]>> {
        let same = self.reported_load.as_ref().is_some_and(|reported| reported == load);
        let due = if same { self.load_refresh_due } else { self.next_load_due };
        if due > now || load.is_empty() {
            return None;
        }
        self.reported_load = Some(load.clone());
        self.next_load_due = now.after_ms(MIN_LOAD_INTERVAL_MS);
        self.load_refresh_due = now.after_ms(MAX_LOAD_INTERVAL_MS);
        Some(load.clone())
    }

    /// Schedules a heartbeat at `at`, or earlier if one is due before. Any frame that is sent
    /// earlier cancels it.
    pub(crate) fn schedule_heartbeat(&mut self, at: Time) {
        let due = self.heartbeat_due.map_or(at, |due| due.min(at));
        self.heartbeat_due = Some(due);
    }

    /// Schedules a heartbeat at `at` unless one is scheduled. Any frame that is sent earlier
    /// cancels it.
    pub(crate) fn ensure_heartbeat(&mut self, at: Time) {
        self.heartbeat_due.get_or_insert(at);
    }

    /// Schedules an immediate reply to a greeting. Unlike a heartbeat it is not cancelled when the
    /// peer is not monitored: the peer may need it to consider this host live.
    pub(crate) fn ack_now(&mut self, now: Time) {
        self.ack_due = Some(now);
    }

    /// Cancels a scheduled heartbeat.
    pub(crate) fn stop_heartbeats(&mut self) {
        self.heartbeat_due = None;
    }

    /// Schedules all unacknowledged messages for resending after the link broke. A link that
    /// breaks again does not postpone them.
    pub(crate) fn resend_unacked(&mut self, now: Time) {
        self.sent = self.acked;
        self.resend_due = None;
        if !self.unacked.is_empty() {
            self.retry_due.get_or_insert(now.after_ms(self.retry_ms));
        }
    }

    /// Returns whether the link has broken repeatedly since the latest acknowledgement.
    pub(crate) fn broke_repeatedly(&self) -> bool {
        self.retry_ms > RETRY_MS
    }

    /// Processes a frame and returns its new messages.
    pub(crate) fn receive(&mut self, now: Time, frame: Frame) -> Vec<Msg> {
        self.last_frame = Some(now);
        self.awaiting_since = None;
        self.acknowledge(now, frame.ack);
        if frame.msgs.is_empty() {
            return Vec::new();
        }
        self.ack_due.get_or_insert(now.after_ms(ACK_MS));
        // A gap means that an earlier frame was lost; the sender will resend both.
        if frame.seq > self.received + 1 {
            return Vec::new();
        }
        let duplicates = (self.received + 1 - frame.seq) as usize;
        let mut new_msgs = Vec::new();
        for mut msg in frame.msgs.into_iter().skip(duplicates) {
            msg.rebase(frame.sent, now);
            self.received += 1;
            new_msgs.push(msg);
        }
        new_msgs
    }

    /// Returns whether messages wait that no frame has carried yet.
    pub(crate) fn has_unsent(&self) -> bool {
        self.unacked.len() as u64 > self.sent - self.acked
    }

    /// Returns whether a frame may be due, without building it.
    pub(crate) fn has_frame_due(&self, now: Time) -> bool {
        let resend = self.resend_due.is_some_and(|due| due <= now);
        (self.has_unsent() && !self.awaits_retry(now)) || resend || self.timer_elapsed(now)
    }

    /// Returns the next frame, if one is due.
    pub(crate) fn next_frame(&mut self, now: Time, me: &Peer) -> Option<Frame> {
        if !self.unacked.is_empty() {
            self.undelivered_since.get_or_insert(now);
        }
        if self.resend_due.is_some_and(|due| due <= now) {
            self.sent = self.acked;
            self.resend_due = None;
            self.resend_ms = (self.resend_ms * 2).min(MAX_RESEND_MS);
        }
        if self.awaits_retry(now) && !self.timer_elapsed(now) {
            return None;
        }
        let msgs = self.batch((self.sent - self.acked) as usize);
        if msgs.is_empty() && !self.timer_elapsed(now) {
            return None;
        }
        if !msgs.is_empty() && self.retry_due.take().is_some() {
            self.retry_ms = (self.retry_ms * 2).min(MAX_RESEND_MS);
        }
        let seq = if msgs.is_empty() { 0 } else { self.sent + 1 };
        self.sent += msgs.len() as u64;
        if !msgs.is_empty() {
            self.awaiting_since.get_or_insert(now);
            self.resend_due.get_or_insert(now.after_ms(self.resend_ms));
        }
        self.ack_sent = self.received;
        self.ack_due = None;
        self.heartbeat_due = None;
        Some(Frame {
            from: me.clone(),
            to: self.peer.clone(),
            seq,
            ack: self.ack_sent,
            sent: now,
            revision: 0,
            leaving: false,
            load: None,
            echo: Time::ZERO,
            report: None,
            msgs,
            extension: FrameExtension::default(),
        })
    }

    /// Returns when the next frame is due.
    pub(crate) fn deadline(&self) -> Option<Time> {
        let resend = self.resend_due.filter(|_| !self.unacked.is_empty());
        [self.ack_due, self.heartbeat_due, resend, self.retry_due].into_iter().flatten().min()
    }

    /// Returns the messages after the first `skip` that fit into one frame, at least one if any is
    /// left.
    fn batch(&self, skip: usize) -> Vec<Msg> {
        let mut bytes = 0;
        let fits = |msg: &&Msg| {
            let is_first = bytes == 0;
            bytes += msg.payload() + 1;
            is_first || bytes <= MAX_FRAME_BYTES
        };
        self.unacked.iter().skip(skip).take(MAX_FRAME_MSGS).take_while(fits).cloned().collect()
    }

    /// Returns whether messages wait for the retry after a broken link.
    fn awaits_retry(&self, now: Time) -> bool {
        self.retry_due.is_some_and(|due| due > now)
    }

    fn timer_elapsed(&self, now: Time) -> bool {
        let elapsed = |due: Option<Time>| due.is_some_and(|due| due <= now);
        elapsed(self.ack_due) || elapsed(self.heartbeat_due)
    }

    fn acknowledge(&mut self, now: Time, ack: u64) {
        let count = ack.saturating_sub(self.acked).min(self.unacked.len() as u64);
        if count == 0 {
            return;
        }
        self.unacked.drain(..count as usize);
        let since = std::mem::replace(
            &mut self.undelivered_since,
            (!self.unacked.is_empty()).then_some(now),
        );
        self.ack_delay = since.map(|since| now.since(since).as_micros() as u64);
        self.acked += count;
        self.sent = self.sent.max(self.acked);
        self.resend_ms = RESEND_MS;
        self.retry_ms = RETRY_MS;
        self.retry_due = self.retry_due.filter(|_| !self.unacked.is_empty());
        self.resend_due = None;
        // Messages that were never sent are not held back: they leave with the next frame.
        if self.sent > self.acked {
            self.resend_due = Some(now.after_ms(self.resend_ms));
        }
    }
}

/// Returns the address of a peer's links.
pub(crate) fn address_of(view: &crate::View, peer: &Peer) -> Option<Name> {
    let host = view.hosts.get(&peer.host)?;
    Some(host.address.clone())
}
