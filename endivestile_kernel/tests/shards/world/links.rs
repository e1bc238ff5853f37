//! The fake links: in order and once between two incarnations, late when cut.

use endivestile_kernel::{Msg, Peer, Time};

use crate::world::{Run, World};

/// A message on its way.
pub(super) struct Letter {
    pub(super) at: u64,
    /// Incarnation of the sender.
    pub(super) birth: u64,
    /// Sender's clock at sending.
    pub(super) sent: Time,
    pub(super) msg: Msg,
}

impl World {
    pub(super) fn send(&mut self, node: usize, to: &Peer, msg: Msg) {
        self.messages += 1;
        let Some(index) = self.nodes.iter().position(|other| other.peer == *to) else { return };
        if self.nodes[index].run == Run::Dead {
            return;
        }
        let at = self.now + self.delay_ms.get(&(node, index)).copied().unwrap_or(1);
        let sent = self.clock(node);
        let birth = self.nodes[node].peer.birth;
        self.links.entry((node, index)).or_default().push_back(Letter { at, birth, sent, msg });
    }

    pub(super) fn deliver(&mut self) {
        self.links.retain(|_, link| !link.is_empty());
        let pairs: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (from, to) in pairs {
            while self.reaches(from, to) {
                let now = self.now;
                let due = self.links.get_mut(&(from, to)).and_then(|link| {
                    link.front().is_some_and(|front| front.at <= now).then(|| link.pop_front())
                });
                let Some(Letter { birth, sent, mut msg, .. }) = due.flatten() else { break };
                msg.rebase(sent, self.clock(to));
                let peer = Peer::new(self.nodes[from].peer.host.clone(), birth);
                self.event(to, |shards, now, view, out| {
                    shards.handle_message(now, view, &peer, msg, out)
                });
            }
        }
    }
}
