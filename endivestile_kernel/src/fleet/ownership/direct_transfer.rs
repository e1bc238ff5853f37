//! Direct transfer of pools from an owner to another host, without the store.
//!
//! It covers the case that a zone is cut off from the store while the owner of its workers is
//! stopped. No host can change the record then, and callers of the zone would be refused until
//! the network heals, although workers and hosts are healthy.
//!
//! Only the owner may give orders under the fencing tokens of its epoch. It grants the next
//! token to one host, once, and gives no further orders itself; workers reject its orders as
//! soon as the other host has contacted them, as they do after a change of the record. A host
//! that changes the record meanwhile has a higher epoch and takes precedence.

use endivestile_config::model::Name;

use crate::fleet::core::Fleet;
use crate::fleet::msg::DirectTransfer;
use crate::fleet::ownership::partition::zone_of;
use crate::{Level, Msg, Peer, Time};

/// Longest time that a stopping host waits for its successor to acknowledge a grant, in
/// milliseconds: the first four transmissions of a message on a lossy link.
const GRANT_ACK_MS: u64 = 5_000;

impl Fleet {
    /// Grants a pool to another host that this host cannot name in the record.
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
        self.grants.insert(next.clone(), now.after_ms(GRANT_ACK_MS));
        self.update_owned_workers(now);
    }

    /// Grants a pool after the swap of its record got no answer while this host is stopping: the
    /// store is unreachable.
    pub(crate) fn transfer_after_lost_swap(&mut self, now: Time, name: &Name) {
        let me = &self.setup.me;
        let mine = self.pools.by_name.get(name).filter(|pool| pool.owned_by(me));
        let Some(pool) = mine.filter(|_| self.leaving) else { return };
        // The swap may still take effect, so the grant has to go to the same host.
        if let Some(next) = pool.pending_owner().cloned().filter(|next| next != me) {
            self.transfer_directly(now, name, &next);
        }
    }

    /// Returns whether a grant may not have reached its host yet. It would be lost if this
    /// process ended now.
    pub(crate) fn grants_unacked(&self, now: Time) -> bool {
        let unacked = |(peer, until): (&Peer, &Time)| {
            *until > now && self.channels.get(peer).is_some_and(|channel| channel.backlog() > 0)
        };
        self.grants.iter().any(unacked)
    }

    /// Handles a grant from the owner of a pool.
    pub(crate) fn handle_grant(&mut self, now: Time, from: &Peer, msg: &DirectTransfer) {
        let pool = self.pools.by_name.entry(msg.pool.clone()).or_default();
        let accepted = pool.accept_grant(msg.epoch, msg.token);
        let pairs = vec![
            ("pool", msg.pool.to_string()),
            ("from", from.to_string()),
            ("token", msg.token.to_string()),
            ("taken", accepted.to_string()),
        ];
        self.log(Level::Info, "owner_took_word", pairs);
        if !accepted {
            return;
        }
        self.update_owned_workers(now);
        if self.leaving
            && let Some(next) = self.live_successor(now, zone_of(&msg.pool))
        {
            self.transfer_directly(now, &msg.pool, &next);
        }
    }

    /// Starts a swap that enters a pool owned by grant into its record.
    pub(crate) fn record_grant(&mut self, now: Time, name: &Name) {
        let me = self.setup.me.clone();
        let swap = self.pools.swap_owner(now, name, &me);
        self.send_swap(swap, "owner_written");
    }
}
