//! Persistent caller connections to an entry host.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// One attempt of a caller to submit a job, and its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// Id of the job.
    pub(crate) id: String,
    /// Number of tasks of the job.
    pub(crate) tasks: usize,
    /// HTTP status of the answer; `None` when there was no answer.
    pub(crate) status: Option<u16>,
    /// Whether the answer reported the job as completed.
    pub(crate) completed: bool,
    /// Time at which the attempt began.
    pub(crate) started: Instant,
    /// Time at which the attempt ended.
    pub(crate) ended: Instant,
    /// Index of the called host.
    pub(crate) host: usize,
}

/// A connection that is reused for several jobs.
#[derive(Debug)]
pub(crate) struct Connection {
    reader: BufReader<TcpStream>,
    address: SocketAddr,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns the socket's errors and timeouts.
    pub(crate) fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream), address })
    }

    /// Returns whether the connection was opened to an address.
    pub(crate) fn is_to(&self, address: SocketAddr) -> bool {
        self.address == address
    }

    /// Sends a job, waits for the answer and returns its status and body.
    ///
    /// # Errors
    /// Returns the socket's errors, a timeout, and `InvalidData` for a malformed answer.
    pub(crate) fn send(
        &mut self,
        id: &str,
        body: &str,
        deadline: Duration,
        timeout: Duration,
    ) -> io::Result<(u16, String)> {
        let end = Instant::now() + timeout;
        let head = format!(
            "POST /jobs/{id} HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: {}\r\n\
             Request-Id: {id}\r\nContent-Length: {}\r\n\r\n",
            deadline.as_millis(),
            body.len()
        );
        self.reader.get_mut().write_all((head + body).as_bytes())?;
        let status = self.read_head_line(end)?;
        let status = status.split(' ').nth(1).and_then(|code| code.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let mut length = 0;
        loop {
            let line = self.read_head_line(end)?;
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
                length = value.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            }
        }
        let mut body = vec![0; length];
        self.set_read_deadline(end)?;
        self.reader.read_exact(&mut body)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Reads a line of the answer's head.
    fn read_head_line(&mut self, end: Instant) -> io::Result<String> {
        self.set_read_deadline(end)?;
        let mut line = String::new();
        match self.reader.read_line(&mut line)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(line.trim_end().to_owned()),
        }
    }

    /// Limits the next read to the time left until `end`.
    fn set_read_deadline(&mut self, end: Instant) -> io::Result<()> {
        let remaining = end.saturating_duration_since(Instant::now());
        self.reader.get_mut().set_read_timeout(Some(remaining.max(Duration::from_millis(1))))
    }
}
