//! Minimal HTTP/1.1 parser and serializer for the machines.

use std::io::{self, ErrorKind};

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// Longest header line, in bytes.
const MAX_LINE_LEN: u64 = 16 << 10;
/// Largest request body, in bytes.
const MAX_BODY_LEN: usize = 16 << 20;

/// A request.
#[derive(Debug)]
pub(crate) struct Call {
    /// Method.
    pub(crate) method: String,
    /// Path with query.
    pub(crate) path: String,
    /// Header names in lower case with their values.
    headers: Vec<(String, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Call {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a request. Returns `None` when the caller has closed the connection.
///
/// # Errors
/// Returns the connection's errors, and `InvalidData` for a malformed request,
/// a chunked body or one that is too large.
pub(crate) async fn read<R: AsyncRead + Unpin>(
    stream: &mut BufReader<R>,
) -> io::Result<Option<Call>> {
    let request_line = read_line(stream).await?;
    if request_line.is_empty() {
        return Ok(None);
    }
    let mut parts = request_line.split(' ');
    let method = parts.next().unwrap_or_default().to_owned();
    let path = parts.next().ok_or(ErrorKind::InvalidData)?.to_owned();
    let mut headers = Vec::new();
    loop {
        let header_line = read_line(stream).await?;
        if header_line.is_empty() {
            break;
        }
        let (name, value) = header_line.split_once(':').ok_or(ErrorKind::InvalidData)?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut call = Call { method, path, headers, body: Vec::new() };
    let length = match call.header("content-length") {
        Some(text) => text.parse().map_err(|_| ErrorKind::InvalidData)?,
        None if call.header("transfer-encoding").is_some() => {
            return Err(ErrorKind::InvalidData.into());
        }
        None => 0,
    };
    if length > MAX_BODY_LEN {
        return Err(ErrorKind::InvalidData.into());
    }
    call.body.resize(length, 0);
    stream.read_exact(&mut call.body).await?;
    Ok(Some(call))
}

async fn read_line<R: AsyncRead + Unpin>(stream: &mut BufReader<R>) -> io::Result<String> {
    let mut bytes = Vec::new();
    stream.take(MAX_LINE_LEN).read_until(b'\n', &mut bytes).await?;
    let text = String::from_utf8(bytes).map_err(|_| ErrorKind::InvalidData)?;
    Ok(text.trim_end().to_owned())
}

/// A response.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Status code.
    pub(crate) status: u16,
    /// An additional header.
    pub(crate) header: Option<(&'static str, &'static str)>,
    /// Body.
    pub(crate) body: String,
}

impl Reply {
    /// Creates a response without an additional header.
    pub(crate) fn new(status: u16, body: impl Into<String>) -> Self {
        Self { status, header: None, body: body.into() }
    }

    /// Serializes the response.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        let Self { status, header, body } = self;
        let length = body.len();
        let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n");
        if let Some((name, value)) = header {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        text.push_str(body);
        text.into_bytes()
    }
}
