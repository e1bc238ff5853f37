//! Resets of the links that a host has opened.

use endivestile_config::model::Name;
use endivestile_kernel::fleet::FleetEvent;
use endivestile_kernel::{Frame, Peer};

use super::host::FLUSH_DELAY_US;
use super::world::{FleetWorld, ScheduledEvent};

/// Time after which links are reset, in microseconds: frames that are sent now are then on their
/// way.
const RESET_DELAY_US: u64 = FLUSH_DELAY_US + 50;

impl FleetWorld {
    /// Schedules resets of all links that a host has opened.
    pub(crate) fn reset_links(&mut self, name: &Name, times: u64, interval_us: u64) {
        for number in 0..times {
            let at = self.now + RESET_DELAY_US + number * interval_us;
            self.schedule_at(at, ScheduledEvent::ResetLinks { host: name.clone() });
        }
    }

    /// Resets the links that a host has opened: what it has sent over them is lost if it has not
    /// arrived.
    pub(crate) fn handle_reset(&mut self, name: &Name) {
        let now = self.now;
        let peers: Vec<Peer> = self.hosts.iter().map(|(name, host)| host.peer(name)).collect();
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.links_reset_at = now;
        let incarnation = host.incarnation;
        for peer in peers.into_iter().filter(|peer| peer.host != *name) {
            self.deliver(name, incarnation, FleetEvent::LinkDown(peer));
        }
    }

    /// Returns whether a frame was in transit when its sender's links were reset.
    pub(crate) fn is_reset(&self, frame: &Frame) -> bool {
        let sender = self.hosts.get(&frame.from.host);
        sender.is_some_and(|host| {
            let sent = host.clock_zero + frame.sent.as_micros();
            host.incarnation == frame.from.birth && sent <= host.links_reset_at
        })
    }
}
