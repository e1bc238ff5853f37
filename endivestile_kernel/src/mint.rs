//! Issuing of submission ids by this incarnation.

use std::collections::VecDeque;

use crate::{Peer, SubmissionId, Time};

/// Ids issued within this many milliseconds expire together.
const MERGE_MS: u64 = 1_000;

/// Issues ids and records their expiry, so that expired ids are recognized without a list of all
/// used ids.
#[derive(Debug)]
pub(crate) struct Mint {
    me: Peer,
    next: u64,
    blocks: VecDeque<Block>,
}

/// Consecutive ids with the same expiry.
#[derive(Debug)]
struct Block {
    first: u64,
    expires: Time,
}

/// Validity of an id at its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdValidity {
    /// Within the resubmission window until this instant.
    Valid(Time),
    /// Older than the resubmission window.
    Expired,
    /// Never issued.
    NotIssued,
}

impl Mint {
    /// Creates a mint that has issued no id.
    pub(crate) fn new(me: Peer) -> Self {
        Self { me, next: 1, blocks: VecDeque::new() }
    }

    /// Issues `count` ids that are valid for `window_s` seconds.
    pub(crate) fn issue(&mut self, now: Time, count: usize, window_s: u64) -> Vec<SubmissionId> {
        while self.blocks.front().is_some_and(|block| block.expires <= now) {
            self.blocks.pop_front();
        }
        let first = self.next;
        self.next += count as u64;
        let expires = now.after_ms(window_s * 1_000);
        // Ids of one second share a block, or every answer that carries ids would add one.
        if self.blocks.back().is_none_or(|last| last.expires.after_ms(MERGE_MS) < expires) {
            self.blocks.push_back(Block { first, expires });
        }
        (first..self.next).map(|serial| SubmissionId::mint(&self.me, serial)).collect()
    }

    /// Returns the validity of id number `serial` of this incarnation.
    pub(crate) fn validity(&self, now: Time, serial: u64) -> IdValidity {
        if serial == 0 || serial >= self.next {
            return IdValidity::NotIssued;
        }
        let after = self.blocks.partition_point(|block| block.first <= serial);
        let block = after.checked_sub(1).and_then(|at| self.blocks.get(at));
        match block {
            Some(block) if block.expires > now => IdValidity::Valid(block.expires),
            _ => IdValidity::Expired,
        }
    }
}
