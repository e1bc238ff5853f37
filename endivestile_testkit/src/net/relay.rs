//! TCP relay that applies the latency and partitions between zones.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use super::Topology;
use super::client_process::client_pid;

/// Size of the read buffer, in bytes.
const BUFFER_LEN: usize = 64 << 10;

/// Bytes and the time at which to deliver them.
type Delivery = (Instant, Vec<u8>);

/// Relays connections to one target.
///
/// During a partition connections stay open and no data passes, as on a network
/// that drops packets. Data sent meanwhile is delivered after the partition heals.
#[derive(Debug)]
pub(crate) struct ZoneRelay {
    /// Address to connect to instead of the target's.
    address: SocketAddr,
    /// Set when the relay is dropped.
    stopped: Arc<AtomicBool>,
}

impl ZoneRelay {
    /// Starts a relay on `listener` to a `target` in `zone`.
    ///
    /// # Errors
    /// Returns an error when the listener has no address or the thread cannot be started.
    pub(crate) fn start(
        listener: TcpListener,
        target: SocketAddr,
        zone: &str,
        topology: &Arc<Topology>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let route = Route {
            target,
            zone: zone.to_owned(),
            topology: Arc::clone(topology),
            stopped: Arc::clone(&stopped),
        };
        thread::Builder::new().name("relay".into()).spawn(move || accept(&listener, &route))?;
        Ok(Self { address, stopped })
    }
}

impl Drop for ZoneRelay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Unblocks the accepting thread. Connecting fails only if it has already ended.
        let _ = TcpStream::connect(self.address);
    }
}

/// Target of a relay and state shared by its threads.
#[derive(Debug, Clone)]
struct Route {
    target: SocketAddr,
    zone: String,
    topology: Arc<Topology>,
    stopped: Arc<AtomicBool>,
}

fn accept(listener: &TcpListener, route: &Route) {
    for stream in listener.incoming().flatten() {
        if route.stopped.load(Ordering::Relaxed) {
            return;
        }
        let route = route.clone();
        thread::spawn(move || {
            // An error closes the connection, which both ends notice.
            let _ = connect(&route, stream);
        });
    }
}

/// Connects to the target once the client's zone can reach it. A client that is
/// not a known host is treated as being in the target's zone.
fn connect(route: &Route, client: TcpStream) -> io::Result<()> {
    let process = client_pid(client.peer_addr()?, client.local_addr()?, &route.topology.pids());
    let zone = process
        .and_then(|pid| route.topology.process_zone(pid))
        .unwrap_or_else(|| route.zone.clone());
    if !route.topology.wait_connected(&zone, &route.zone, || route.stopped.load(Ordering::Relaxed))
    {
        return Ok(());
    }
    let upstream = TcpStream::connect(route.target)?;
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    forward(route.clone(), &zone, client.try_clone()?, upstream.try_clone()?);
    forward(route.clone(), &zone, upstream, client);
    Ok(())
}

/// Forwards one direction, with one thread that reads and one that delays and writes.
fn forward(route: Route, zone: &str, from: TcpStream, to: TcpStream) {
    let (sender, receiver) = channel();
    let delay = Duration::from_micros(route.topology.zone_distance_us(zone, &route.zone));
    let zone = zone.to_owned();
    thread::spawn(move || read(from, &sender, delay));
    thread::spawn(move || write(&route, &zone, to, &receiver));
}

fn read(mut from: TcpStream, sender: &Sender<Delivery>, delay: Duration) {
    let mut buffer = vec![0; BUFFER_LEN];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() {
            break;
        }
    }
    // When one direction fails, the connection must close in the other one too.
    let _ = from.shutdown(Shutdown::Read);
}

fn write(route: &Route, zone: &str, mut to: TcpStream, receiver: &Receiver<Delivery>) {
    for (at, bytes) in receiver {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let open = route
            .topology
            .wait_connected(zone, &route.zone, || route.stopped.load(Ordering::Relaxed));
        if !open || to.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
