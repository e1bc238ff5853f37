//! A small HTTP/1.1 server and client over blocking sockets, one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A request with its complete body.
pub struct Call {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Value,
}

impl Call {
    /// Returns a query parameter.
    pub fn get(&self, key: &str) -> &str {
        self.query.iter().find(|(name, _)| name == key).map_or("", |(_, value)| value)
    }

    /// Returns a numeric query parameter, 0 if it is missing.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or(0)
    }

    /// Returns a header; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Answer of a handler; `None` closes the connection without one.
pub type Answer = Option<(u16, Value)>;

/// A listening server that can be closed and opened again, as by the end and the start of its
/// process.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    open: Arc<AtomicBool>,
}

/// Interval at which a listener looks for connections, in milliseconds.
const ACCEPT_MS: u64 = 1;

impl Server {
    /// Serves calls on a free port of `ip`.
    pub fn start(ip: [u8; 4], handler: impl Fn(Call) -> Answer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("bind a free port");
        let address = listener.local_addr().expect("address of a bound socket");
        let open = Arc::new(AtomicBool::new(true));
        let server = Self { address, streams: Arc::default(), open };
        let (accepting, handler) = (server.clone(), Arc::new(handler));
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                accepting.accept(&mut listener, &handler);
                thread::sleep(Duration::from_millis(ACCEPT_MS));
            }
        });
        server
    }

    fn accept<H>(&self, listener: &mut Option<TcpListener>, handler: &Arc<H>)
    where
        H: Fn(Call) -> Answer + Send + Sync + 'static,
    {
        if !self.open.load(Ordering::Acquire) {
            *listener = None;
            return;
        }
        if listener.is_none() {
            *listener = TcpListener::bind(self.address).ok();
        }
        let Some(listener) = listener else { return };
        let _ = listener.set_nonblocking(true);
        while let Ok((stream, _)) = listener.accept() {
            let _ = stream.set_nonblocking(false);
            let handler = Arc::clone(handler);
            if let Ok(copy) = stream.try_clone() {
                self.lock().push(copy);
            }
            thread::spawn(move || {
                let _ = serve(stream, &*handler);
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the listener and all connections, or opens the listener again.
    pub fn set_open(&self, open: bool) {
        self.open.store(open, Ordering::Release);
        if !open {
            thread::sleep(Duration::from_millis(3 * ACCEPT_MS));
            for stream in self.lock().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Call) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader)? {
        let Some((status, body)) = handler(call) else {
            return writer.shutdown(Shutdown::Both);
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(format!("{head}{body}").as_bytes())?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Ok(Some(lines));
        }
        lines.push(line);
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<Value> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(serde_json::from_slice(&body).unwrap_or(Value::Null))
}

fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs.map(|(key, value)| (key.to_lowercase(), value.trim().to_owned())).collect()
}

fn read_call(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Call>> {
    let Some(lines) = read_head(reader)? else { return Ok(None) };
    let mut words = lines.first().map(String::as_str).unwrap_or_default().split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let headers = parse_headers(lines.get(1..).unwrap_or_default());
    Ok(Some(Call {
        path: path.to_owned(),
        query: pairs.map(|(key, value)| (key.to_owned(), value.replace("%2F", "/"))).collect(),
        body: read_body(reader, &headers)?,
        headers,
    }))
}

/// Connects and sends a request of a client.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    deadline_ms: u64,
    body: &str,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes())?;
    Ok(stream)
}

/// Reads a response for `limit_ms` at most; `None` if none arrives.
pub fn receive(stream: &TcpStream, limit_ms: u64) -> Option<(u16, Value)> {
    stream.set_read_timeout(Some(Duration::from_millis(limit_ms))).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let lines = read_head(&mut reader).ok()??;
    let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &parse_headers(&lines)).ok()?;
    Some((status, body))
}
