//! The little of HTTP/1.1 that a machine speaks.

use std::io::{self, ErrorKind};

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// Longest line of a request's head, in bytes.
const MAX_LINE: u64 = 16 << 10;
/// Longest body, in bytes.
const MAX_BODY: usize = 16 << 20;

/// One request.
#[derive(Debug)]
pub(crate) struct Call {
    /// Method.
    pub(crate) method: String,
    /// Path with its query.
    pub(crate) path: String,
    /// Names in lower case, with values.
    headers: Vec<(String, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Call {
    /// Returns a header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a request; none when the caller closed the connection before one.
///
/// # Errors
/// Those of the connection, and `InvalidData` for what is not HTTP/1.1 with a
/// `Content-Length`.
pub(crate) async fn read<R: AsyncRead + Unpin>(
    stream: &mut BufReader<R>,
) -> io::Result<Option<Call>> {
    let first = line(stream).await?;
    if first.is_empty() {
        return Ok(None);
    }
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().ok_or(ErrorKind::InvalidData)?.to_owned();
    let mut headers = Vec::new();
    loop {
        let text = line(stream).await?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or(ErrorKind::InvalidData)?;
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
    if length > MAX_BODY {
        return Err(ErrorKind::InvalidData.into());
    }
    call.body.resize(length, 0);
    stream.read_exact(&mut call.body).await?;
    Ok(Some(call))
}

async fn line<R: AsyncRead + Unpin>(stream: &mut BufReader<R>) -> io::Result<String> {
    let mut bytes = Vec::new();
    stream.take(MAX_LINE).read_until(b'\n', &mut bytes).await?;
    let text = String::from_utf8(bytes).map_err(|_| ErrorKind::InvalidData)?;
    Ok(text.trim_end().to_owned())
}

/// One answer.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Status.
    pub(crate) status: u16,
    /// A further header.
    pub(crate) header: Option<(&'static str, &'static str)>,
    /// Body.
    pub(crate) body: String,
}

impl Reply {
    /// Makes an answer without a further header.
    pub(crate) fn new(status: u16, body: impl Into<String>) -> Self {
        Self { status, header: None, body: body.into() }
    }

    /// Returns the bytes on the wire.
    pub(crate) fn bytes(&self) -> Vec<u8> {
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
