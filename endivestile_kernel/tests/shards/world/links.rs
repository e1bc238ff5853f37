//! Simulated links: messages arrive in order and once, after a partition heals.

use endivestile_kernel::{Msg, Peer, Time};

use crate::world::{ProcessState, World};

/// A message in flight.
pub(super) struct Envelope {
    pub(super) at_ms: u64,
    /// Incarnation of the sender.
    pub(super) birth: u64,
    /// Sender's clock when the message was sent.
    pub(super) sent: Time,
    pub(super) msg: Msg,
}

impl World {
    pub(super) fn send(&mut self, node: usize, to: &Peer, msg: Msg) {
        self.sent_messages += 1;
        let Some(index) = self.nodes.iter().position(|other| other.peer == *to) else { return };
        if self.nodes[index].process == ProcessState::Crashed {
            return;
        }
        let at_ms = self.now_ms + self.delay_ms.get(&(node, index)).copied().unwrap_or(1);
        let sent = self.clock(node);
        let birth = self.nodes[node].peer.birth;
        self.links.entry((node, index)).or_default().push_back(Envelope {
            at_ms,
            birth,
            sent,
            msg,
        });
    }

    pub(super) fn deliver(&mut self) {
        self.links.retain(|_, link| !link.is_empty());
        let pairs: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (from, to) in pairs {
            while self.reaches(from, to) {
                let now_ms = self.now_ms;
                let due = self.links.get_mut(&(from, to)).and_then(|link| {
                    link.front()
                        .is_some_and(|front| front.at_ms <= now_ms)
                        .then(|| link.pop_front())
                });
                let Some(Envelope { birth, sent, mut msg, .. }) = due.flatten() else { break };
                msg.rebase(sent, self.clock(to));
                let peer = Peer::new(self.nodes[from].peer.host.clone(), birth);
                self.handle(to, |shards, now, view, out| {
                    shards.handle_message(now, view, &peer, msg, out)
                });
            }
        }
    }
}
