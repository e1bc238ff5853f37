//! Links to peers, dialled on demand.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use endivestile_config::model::Name;
use endivestile_kernel::{Frame, Peer};
use endivestile_wire::peer as wire;
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::FRAME_VERSION;
use super::event_handler::PeerEventHandler;
use super::frame_queue::{FrameSender, frame_queue};
use super::outgoing::run_link;
use crate::counters::{Counters, IoMetric};

/// Pause before a broken link is dialled again, in milliseconds; frames that
/// come earlier are dropped, and the kernel sends them again.
const REDIAL_MS: u64 = 200;

/// Sends frames.
#[derive(Debug)]
pub(crate) struct Links {
    /// Frames on their way to the router.
    frames: UnboundedSender<Command>,
}

impl Links {
    /// Starts the router on the runtime.
    pub(crate) fn start<U: PeerEventHandler>(
        handle: &Handle,
        inbox: U,
        counters: Counters,
    ) -> Self {
        let (frames, queue) = unbounded_channel();
        let router = Router { links: HashMap::new(), inbox, counters };
        handle.spawn(router.run(queue));
        Self { frames }
    }

    /// Drops the link to an address; the next frame makes a new one.
    pub(crate) fn reconnect(&self, address: Name) {
        let _ = self.frames.send(Command::Reconnect(address));
    }

    /// Sends a frame, at most once.
    pub(crate) fn send(&self, address: Name, frame: Frame) {
        let _ = self.frames.send(Command::Send(address, Box::new(frame)));
    }
}

/// What the router is asked to do.
#[derive(Debug)]
enum Command {
    /// Send a frame to an address.
    Send(Name, Box<Frame>),
    /// Make the link to an address anew.
    Reconnect(Name),
}

/// One link.
#[derive(Debug)]
struct Link {
    /// Its queue.
    entry: FrameSender,
    /// The incarnation it was dialled for.
    peer: Peer,
    /// When it may be dialled again after it ended.
    redial: Instant,
}

/// Sorts frames into the links' queues; it never waits for a link.
#[derive(Debug)]
struct Router<U> {
    /// Links by address.
    links: HashMap<Name, Link>,
    /// The engine.
    inbox: U,
    /// Counts.
    counters: Counters,
}

impl<U: PeerEventHandler> Router<U> {
    /// Routes frames until the engine ends.
    async fn run(mut self, mut queue: UnboundedReceiver<Command>) {
        while let Some(errand) = queue.recv().await {
            match errand {
                Command::Send(address, frame) => self.route(address, &frame),
                Command::Reconnect(address) => {
                    self.links.remove(&address);
                }
            }
        }
    }

    /// Queues a frame, and dials its peer if there is no link.
    fn route(&mut self, address: Name, frame: &Frame) {
        let body = match postcard::to_stdvec(frame) {
            Ok(body) => body,
            Err(e) => {
                log::error!("event=frame_unsent step=encode peer={} error={e}", frame.to);
                return;
            }
        };
        let bytes = body.len() as u64;
        let frame_out = wire::Frame { version: FRAME_VERSION, body };
        let sent = self.link(address, &frame.to).is_some_and(|link| link.entry.push(frame_out));
        if sent {
            self.counters.count_io(IoMetric::FrameBytes, bytes);
        } else {
            self.counters.count_io(IoMetric::FramesDropped, 1);
        }
    }

    /// Returns the link to an address, none while it may not be dialled.
    fn link(&mut self, address: Name, peer: &Peer) -> Option<&Link> {
        let now = Instant::now();
        let held = self.links.get(&address);
        // A link that was dialled for an earlier incarnation ends with that
        // process; frames for the next one must not wait until it is noticed.
        let usable = held.is_some_and(|link| !link.entry.is_closed() && link.peer == *peer);
        if !usable {
            if held.is_some_and(|link| link.peer == *peer && now < link.redial) {
                return None;
            }
            let link = self.dial(Name::clone(&address), peer, now);
            self.links.insert(Name::clone(&address), link);
        }
        self.links.get(&address)
    }

    /// Starts a link.
    fn dial(&self, address: Name, peer: &Peer, now: Instant) -> Link {
        let (entry, frames) = frame_queue();
        tokio::spawn(run_link(
            address,
            peer.clone(),
            frames,
            self.inbox.clone(),
            self.counters.clone(),
        ));
        Link { entry, peer: peer.clone(), redial: now + Duration::from_millis(REDIAL_MS) }
    }
}
