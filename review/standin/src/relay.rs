//! A relay between two processes, which can reset the connections through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time that bytes take one way, in microseconds; 1.4 ms between zones on the site's sheet.
pub const TRANSIT_US: u64 = 1_000;
/// Bytes of a connection that are searched for the name of the sender.
const SEARCHED_BYTES: usize = 4_096;

struct Connection {
    streams: [TcpStream; 2],
    /// The first bytes that were sent through it.
    first: Vec<u8>,
}

type Connections = Arc<Mutex<Vec<Arc<Mutex<Connection>>>>>;

/// The relay; it runs until the process ends.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    connections: Connections,
}

impl Relay {
    /// Starts a relay to an address.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let address = listener.local_addr().expect("address of a bound socket");
        let connections = Connections::default();
        let relay = Self { address, connections: connections.clone() };
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let clones = [near.try_clone(), far.try_clone(), near.try_clone(), far.try_clone()];
                let [Ok(near_copy), Ok(far_copy), Ok(near_end), Ok(far_end)] = clones else {
                    continue;
                };
                let connection = Connection { streams: [near_end, far_end], first: Vec::new() };
                let connection = Arc::new(Mutex::new(connection));
                connections.lock().unwrap().push(connection.clone());
                thread::spawn(move || copy(near, far_copy, Some(connection)));
                thread::spawn(move || copy(far, near_copy, None));
            }
        });
        relay
    }

    /// Resets the connections of which the first bytes contain a name, or all of them; returns how
    /// many.
    pub fn reset(&self, name: Option<&str>) -> usize {
        let mut count = 0;
        self.connections.lock().unwrap().retain(|connection| {
            let connection = connection.lock().unwrap();
            let sent_by = |name: &str| {
                connection.first.windows(name.len()).any(|bytes| bytes == name.as_bytes())
            };
            let chosen = name.is_none_or(sent_by);
            if chosen {
                count += 1;
                for stream in &connection.streams {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
            !chosen
        });
        count
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, connection: Option<Arc<Mutex<Connection>>>) {
    let mut buffer = [0; 16_384];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        if let Some(connection) = &connection {
            let first = &mut connection.lock().unwrap().first;
            let left = SEARCHED_BYTES.saturating_sub(first.len());
            first.extend_from_slice(&buffer[..count.min(left)]);
        }
        thread::sleep(Duration::from_micros(TRANSIT_US));
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
