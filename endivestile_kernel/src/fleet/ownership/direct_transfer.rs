//! Pools that go to another host by their owner's word, without the store.
//!
//! The fault that this answers: a zone is cut off from the store, and the owner of its
//! workers is told to stop. Nobody can change the record, so that callers of the zone
//! would be refused until the cut has healed, though workers and hosts are sound.
//!
//! The owner is the only one who may order under the tokens of its epoch. It gives the
//! next token to one host, once, and orders nothing more itself; workers refuse its
//! orders as soon as the other has spoken to them, as they do after a change of the
//! record. Whoever changes the record meanwhile has a higher epoch and takes precedence.

use endivestile_config::model::Name;

use crate::fleet::core::Fleet;
use crate::fleet::msg::DirectTransfer;
use crate::fleet::ownership::partition::zone_of;
use crate::{Level, Msg, Peer, Time};

/// Longest time for which a stopping host waits until its successor has its word, in
/// milliseconds: the first four sendings of a message on a link that loses packets.
const HEARD_MS: u64 = 5_000;

impl Fleet {
    /// Gives a pool to another host that this one cannot name in the record.
    pub(crate) fn transfer_directly(&mut self, now: Time, name: &Name, next: &Peer) {
        let Some(pool) = self.pools.by_name.get_mut(name) else { return };
        let (epoch, token) = pool.issue_grant();
        let pairs = vec![
            ("pool", name.to_string()),
            ("to", next.to_string()),
            ("token", token.to_string()),
        ];
        self.log(Level::Info, "owner_gave_word", pairs);
        let msg = DirectTransfer { pool: name.clone(), epoch, token };
        self.send(next, Msg::DirectTransfer(msg));
        self.grants.insert(next.clone(), now.after_ms(HEARD_MS));
        self.update_owned_workers(now);
    }

    /// Hands a pool on after the change of its record got no answer while this host is
    /// stopping: the store is away.
    pub(crate) fn transfer_after_lost_swap(&mut self, now: Time, name: &Name) {
        let me = &self.setup.me;
        let mine = self.pools.by_name.get(name).filter(|pool| pool.owned_by(me));
        let Some(pool) = mine.filter(|_| self.leaving) else { return };
        // The change may yet take effect: it has to name the same host.
        if let Some(next) = pool.pending_owner().cloned().filter(|next| next != me) {
            self.transfer_directly(now, name, &next);
        }
    }

    /// Returns whether a host that a pool was given to may still not have heard of it.
    /// A process that ended before would take its word along.
    pub(crate) fn grants_unacked(&self, now: Time) -> bool {
        let waits = |(peer, until): (&Peer, &Time)| {
            *until > now && self.channels.get(peer).is_some_and(|channel| channel.backlog() > 0)
        };
        self.grants.iter().any(waits)
    }

    /// Takes a pool at its owner's word.
    pub(crate) fn handle_grant(&mut self, now: Time, from: &Peer, msg: &DirectTransfer) {
        let pool = self.pools.by_name.entry(msg.pool.clone()).or_default();
        let taken = pool.accept_grant(msg.epoch, msg.token);
        let pairs = vec![
            ("pool", msg.pool.to_string()),
            ("from", from.to_string()),
            ("token", msg.token.to_string()),
            ("taken", taken.to_string()),
        ];
        self.log(Level::Info, "owner_took_word", pairs);
        if !taken {
            return;
        }
        self.update_owned_workers(now);
        if self.leaving
            && let Some(next) = self.live_successor(now, zone_of(&msg.pool))
        {
            self.transfer_directly(now, &msg.pool, &next);
        }
    }

    /// Writes into the record what this host has by word alone, as soon as that can be.
    pub(crate) fn record_grant(&mut self, now: Time, name: &Name) {
        let me = self.setup.me.clone();
        let change = self.pools.swap_owner(now, name, &me);
        self.send_swap(change, "owner_written");
    }
}
