//! A relay before one host's links, which delays and cuts by zones.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use super::Topology;
use super::client_process::client_pid;

/// Bytes read at once.
const CHUNK: usize = 64 << 10;

/// Bytes and the instant at which they arrive.
type Parcel = (Instant, Vec<u8>);

/// Carries connections to one host.
///
/// While a cut lasts, connections stay open and nothing passes, as on a network
/// that drops packets; what was sent passes after the cut.
#[derive(Debug)]
pub(crate) struct ZoneRelay {
    /// Address to dial instead of the host's.
    address: SocketAddr,
    /// Whether its end has come.
    ended: Arc<AtomicBool>,
}

impl ZoneRelay {
    /// Starts a relay on `listener` to `target`, which is in `zone`.
    ///
    /// # Errors
    /// Those of the thread.
    pub(crate) fn start(
        listener: TcpListener,
        target: SocketAddr,
        zone: &str,
        zones: &Arc<Topology>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let ended = Arc::new(AtomicBool::new(false));
        let line = Line {
            target,
            zone: zone.to_owned(),
            zones: Arc::clone(zones),
            ended: Arc::clone(&ended),
        };
        thread::Builder::new().name("relay".into()).spawn(move || accept(&listener, &line))?;
        Ok(Self { address, ended })
    }
}

impl Drop for ZoneRelay {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts; if that fails, it has ended already.
        let _ = TcpStream::connect(self.address);
    }
}

/// What the threads of one relay share.
#[derive(Debug, Clone)]
struct Line {
    target: SocketAddr,
    zone: String,
    zones: Arc<Topology>,
    ended: Arc<AtomicBool>,
}

fn accept(listener: &TcpListener, line: &Line) {
    for stream in listener.incoming().flatten() {
        if line.ended.load(Ordering::Relaxed) {
            return;
        }
        let line = line.clone();
        thread::spawn(move || {
            // A connection that fails is closed, which is what both ends see.
            let _ = connect(&line, stream);
        });
    }
}

fn connect(line: &Line, near: TcpStream) -> io::Result<()> {
    let from = client_pid(near.peer_addr()?, near.local_addr()?, &line.zones.pids());
    let zone =
        from.and_then(|pid| line.zones.process_zone(pid)).unwrap_or_else(|| line.zone.clone());
    if !line.zones.wait_connected(&zone, &line.zone, || line.ended.load(Ordering::Relaxed)) {
        return Ok(());
    }
    let far = TcpStream::connect(line.target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    pump(line.clone(), &zone, near.try_clone()?, far.try_clone()?);
    pump(line.clone(), &zone, far, near);
    Ok(())
}

/// Carries one direction with one thread that reads and one that delays and writes.
fn pump(line: Line, zone: &str, from: TcpStream, to: TcpStream) {
    let (sender, receiver) = channel();
    let delay = Duration::from_micros(line.zones.zone_distance_us(zone, &line.zone));
    let zone = zone.to_owned();
    thread::spawn(move || read(from, &sender, delay));
    thread::spawn(move || write(&line, &zone, to, &receiver));
}

fn read(mut from: TcpStream, sender: &Sender<Parcel>, delay: Duration) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 || sender.send((Instant::now() + delay, chunk[..count].to_vec())).is_err() {
            break;
        }
    }
    // The other direction of a broken connection breaks too.
    let _ = from.shutdown(Shutdown::Read);
}

fn write(line: &Line, zone: &str, mut to: TcpStream, receiver: &Receiver<Parcel>) {
    for (at, bytes) in receiver {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let open =
            line.zones.wait_connected(zone, &line.zone, || line.ended.load(Ordering::Relaxed));
        if !open || to.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
