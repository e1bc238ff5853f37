//! Callers that send job after job on connections which they keep open.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a caller saw of one sending of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// The job's id.
    pub(crate) id: String,
    /// Tasks of the job.
    pub(crate) tasks: usize,
    /// Status of the answer; none when the connection ended without one.
    pub(crate) status: Option<u16>,
    /// State that the answer told.
    pub(crate) completed: bool,
    /// When it was sent.
    pub(crate) begun: Instant,
    /// When it ended.
    pub(crate) ended: Instant,
    /// Host that was called.
    pub(crate) host: usize,
}

/// A connection that a caller keeps using.
#[derive(Debug)]
pub(crate) struct Connection {
    reader: BufReader<TcpStream>,
    address: SocketAddr,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Those of the socket.
    pub(crate) fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream), address })
    }

    /// Returns whether it goes to an address.
    pub(crate) fn is_to(&self, address: SocketAddr) -> bool {
        self.address == address
    }

    /// Sends a job and waits for its answer's status and body.
    ///
    /// # Errors
    /// Those of the socket, also when the answer does not come in time.
    pub(crate) fn send(
        &mut self,
        id: &str,
        body: &str,
        deadline: Duration,
        patience: Duration,
    ) -> io::Result<(u16, String)> {
        let end = Instant::now() + patience;
        let head = format!(
            "POST /jobs/{id} HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: {}\r\n\
             Request-Id: {id}\r\nContent-Length: {}\r\n\r\n",
            deadline.as_millis(),
            body.len()
        );
        self.reader.get_mut().write_all((head + body).as_bytes())?;
        let status = self.line(end)?;
        let status = status.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let mut length = 0;
        loop {
            let line = self.line(end)?;
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
                length = value.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            }
        }
        let mut body = vec![0; length];
        self.limit(end)?;
        self.reader.read_exact(&mut body)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    fn line(&mut self, end: Instant) -> io::Result<String> {
        self.limit(end)?;
        let mut line = String::new();
        match self.reader.read_line(&mut line)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(line.trim_end().to_owned()),
        }
    }

    fn limit(&mut self, end: Instant) -> io::Result<()> {
        let left = end.saturating_duration_since(Instant::now());
        self.reader.get_mut().set_read_timeout(Some(left.max(Duration::from_millis(1))))
    }
}
