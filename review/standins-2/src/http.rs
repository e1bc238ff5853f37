//! Minimal blocking HTTP/1.1 server and client on loopback, one thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request with its complete body.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub instance: Option<String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn get(&self, key: &str) -> &str {
        self.query.iter().find(|(name, _)| name == key).map_or("", |(_, value)| value)
    }

    pub fn number(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or(0)
    }
}

/// Status and body of an answer.
pub type Reply = (u16, String);

/// A server that can be stopped, which closes all its connections, and started again at the
/// same address.
pub struct Server {
    pub address: SocketAddr,
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<F>(address: SocketAddr, handler: F) -> std::io::Result<Self>
    where
        F: Fn(&Request) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let open = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (flag, list) = (Arc::clone(&open), Arc::clone(&streams));
        thread::spawn(move || {
            while flag.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            let mut list = list.lock().unwrap();
                            list.retain(|it| it.peer_addr().is_ok());
                            list.push(copy);
                        }
                        let handler = Arc::clone(&handler);
                        thread::spawn(move || serve(stream, &*handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { address, open, streams })
    }

    /// Closes the listening socket and resets all connections, as a crash does.
    pub fn stop(&self) {
        self.open.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let (status, body) = handler(&request);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if out.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let (length, instance) = read_headers(input)?;
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    Some(Request { path: path.to_owned(), query, instance, body })
}

/// Reads headers up to the empty line; returns the body's length and the expected instance.
fn read_headers(input: &mut BufReader<TcpStream>) -> Option<(usize, Option<String>)> {
    let (mut length, mut instance) = (0, None);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some((length, instance));
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-expect-instance" => instance = Some(value.trim().to_owned()),
            _ => {}
        }
    }
}

/// Makes one call on a new connection. `None` if no complete response arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (length, _) = read_headers(&mut input)?;
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
