//! Outgoing links to peers, connected on demand.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use endivestile_config::model::Name;
use endivestile_kernel::{Frame, FrameExtension, Peer, Time};
use endivestile_wire::peer as wire;
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::event_handler::PeerEventHandler;
use super::frame_queue::{FrameSender, frame_queue};
use super::outgoing::run_link;
use crate::counters::{Counters, IoMetric};

/// Minimum time between two attempts to connect to an incarnation of a peer, in
/// milliseconds. Frames sent meanwhile over a broken link are dropped and reported as
/// a broken link; the kernel sends their messages again.
const RECONNECT_DELAY_MS: u64 = 200;

/// Sends frames to peers.
#[derive(Debug)]
pub(crate) struct Links {
    /// Commands to the router.
    commands: UnboundedSender<Command>,
}

impl Links {
    /// Starts the router on the runtime.
    pub(crate) fn start<U: PeerEventHandler>(
        handle: &Handle,
        inbox: U,
        counters: Counters,
    ) -> Self {
        let (commands, queue) = unbounded_channel();
        let router = Router { links: HashMap::new(), inbox, counters };
        handle.spawn(router.run(queue));
        Self { commands }
    }

    /// Drops the link to an address; the next frame opens a new one.
    pub(crate) fn reconnect(&self, address: Name) {
        let _ = self.commands.send(Command::Reconnect(address));
    }

    /// Sends a frame, at most once.
    pub(crate) fn send(&self, address: Name, frame: Frame) {
        let _ = self.commands.send(Command::Send(address, Box::new(frame)));
    }
}

/// Command to the router.
#[derive(Debug)]
enum Command {
    /// Send a frame to an address.
    Send(Name, Box<Frame>),
    /// Drop the link to an address, so that the next frame opens a new one.
    Reconnect(Name),
}

/// Link to a peer.
#[derive(Debug)]
struct Link {
    /// Sending end of its queue.
    sender: FrameSender,
    /// Incarnation of the peer that it was opened for.
    peer: Peer,
    /// Earliest time to reconnect after it has ended.
    reconnect_at: Instant,
}

/// Distributes frames to the queues of the links, without waiting for any link.
#[derive(Debug)]
struct Router<U> {
    /// Links by address.
    links: HashMap<Name, Link>,
    /// Receiver of link events.
    inbox: U,
    /// Counters of the process.
    counters: Counters,
}

impl<U: PeerEventHandler> Router<U> {
    /// Handles commands until the engine ends.
    async fn run(mut self, mut queue: UnboundedReceiver<Command>) {
        while let Some(command) = queue.recv().await {
            match command {
                Command::Send(address, frame) => self.route(address, &frame),
                Command::Reconnect(address) => {
                    self.links.remove(&address);
                }
            }
        }
    }

    /// Queues a frame, and opens a link to its peer if there is none.
    fn route(&mut self, address: Name, frame: &Frame) {
        let body = match postcard::to_stdvec(frame) {
            Ok(body) => body,
            Err(e) => {
                log::error!("event=frame_unsent step=encode peer={} error={e}", frame.to);
                return;
            }
        };
        let bytes = body.len() as u64;
        let FrameExtension { known_version, front_contact } = frame.extension;
        let front_contact_us = front_contact.map(Time::as_micros);
        let encoded =
            wire::Frame { version: frame.version(), body, known_version, front_contact_us };
        let queued = self.link(address, &frame.to).is_some_and(|link| link.sender.push(encoded));
        if queued {
            self.counters.count_io(IoMetric::FrameBytes, bytes);
        } else {
            self.counters.count_io(IoMetric::FramesDropped, 1);
            self.inbox.handle_link_down(frame.to.clone());
        }
    }

    /// Returns the link to an address, or `None` if it broke and may not be reopened yet.
    fn link(&mut self, address: Name, peer: &Peer) -> Option<&Link> {
        let now = Instant::now();
        let current = self.links.get(&address);
        // A link to an earlier incarnation ends with that process. Frames for
        // the next incarnation must not wait until that end is detected.
        let usable = current.is_some_and(|link| !link.sender.is_closed() && link.peer == *peer);
        if !usable {
            if current.is_some_and(|link| link.peer == *peer && now < link.reconnect_at) {
                return None;
            }
            let link = self.connect(Name::clone(&address), peer, now);
            self.links.insert(Name::clone(&address), link);
        }
        self.links.get(&address)
    }

    /// Opens a link.
    fn connect(&self, address: Name, peer: &Peer, now: Instant) -> Link {
        let (sender, frames) = frame_queue();
        tokio::spawn(run_link(
            address,
            peer.clone(),
            frames,
            self.inbox.clone(),
            self.counters.clone(),
        ));
        Link {
            sender,
            peer: peer.clone(),
            reconnect_at: now + Duration::from_millis(RECONNECT_DELAY_MS),
        }
    }
}
