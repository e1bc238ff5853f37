//! What the clients of a crowd send.

/// A head of a submission by its framing, such as `Content-Length: 5`.
pub type Head = fn(&str) -> String;

/// What one connection of a crowd sends: a head, then a pattern up to a length, then an end.
#[derive(Debug, Clone)]
pub struct Payload {
    head: Vec<u8>,
    pattern: Vec<u8>,
    pattern_bytes: usize,
    end: Vec<u8>,
}

impl Payload {
    pub(crate) fn new(head: impl Into<Vec<u8>>, pattern: &[u8], pattern_bytes: usize) -> Self {
        let (head, pattern) = (head.into(), pattern.to_vec());
        Self { head, pattern, pattern_bytes, end: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.head.len() + self.pattern_bytes + self.end.len()
    }

    /// Copies the bytes from `at` on into the buffer, and returns their number.
    pub(crate) fn fill(&self, at: usize, buffer: &mut [u8]) -> usize {
        let (head, tail) = (&self.head, self.head.len() + self.pattern_bytes);
        let len = buffer.len().min(self.len() - at);
        for (offset, byte) in buffer[..len].iter_mut().enumerate() {
            let at = at + offset;
            *byte = match at {
                _ if at < head.len() => head[at],
                _ if at < tail => self.pattern[(at - head.len()) % self.pattern.len()],
                _ => self.end[at - tail],
            };
        }
        len
    }

    /// A body with a length of `limit`, of which `missing` bytes are not sent.
    pub fn sized(head: Head, limit: usize, missing: usize) -> Self {
        let head = head(&format!("Content-Length: {limit}"));
        let pattern_bytes = limit - missing;
        Self::new(head, b"x", pattern_bytes)
    }

    /// One chunk of `limit` bytes, of which the last is not sent.
    pub fn one_chunk(head: Head, limit: usize) -> Self {
        let head = head("Transfer-Encoding: chunked") + &format!("{limit:x}\r\n");
        Self::new(head, b"x", limit - 1)
    }

    /// Chunks of one byte each without the last chunk.
    pub fn tiny_chunks(head: Head, chunks: usize) -> Self {
        let pattern = b"1\r\nx\r\n";
        Self::new(head("Transfer-Encoding: chunked"), pattern, chunks * pattern.len())
    }

    /// A header that does not end.
    pub fn endless_head(bytes: usize) -> Self {
        Self::new("GET / HTTP/1.1\r\nHost: jobs.example\r\nX-Long: ", b"x", bytes)
    }

    /// Headers that do not end.
    pub fn endless_headers(bytes: usize) -> Self {
        Self::new("GET / HTTP/1.1\r\nHost: jobs.example\r\n", b"X-More: yes\r\n", bytes)
    }

    /// Complete requests one after the other, whose answers are not read.
    pub fn pipelined(request: &str, requests: usize) -> Self {
        Self::new("", request.as_bytes(), requests * request.len())
    }

    /// The first bytes of what a client of HTTP/2 sends, which may also begin a head of HTTP/1.
    pub fn first_bytes() -> Self {
        Self::new("P", b"R", 1)
    }

    /// A call of a peer that announces a frame of 8 MiB and sends `bytes` of it.
    pub fn partial_frame(bytes: usize) -> Self {
        const DATA_BYTES: usize = 16_384;
        let frame = |kind: u8, flags: u8, stream: u8, payload: &[u8]| {
            let [_, _, _, _, _, high, middle, low] = payload.len().to_be_bytes();
            [&[high, middle, low, kind, flags, 0, 0, 0, stream], payload].concat()
        };
        let literal =
            |name: &[u8], value: &str| [name, &[value.len() as u8], value.as_bytes()].concat();
        // Method POST and scheme http by their index, then names by index or text.
        let headers = [
            vec![0x83, 0x86],
            literal(&[0x04], "/endivestile.peer.Peers/Link"),
            literal(&[0x01], "peer"),
            literal(&[0x0f, 0x10], "application/grpc"),
            literal(&[0x00, 2, b't', b'e'], "trailers"),
        ];
        let settings = frame(4, 0, 0, &[]);
        let headers = frame(1, 4, 1, &headers.concat());
        let length = frame(0, 0, 1, &[0, 0, 0x80, 0, 0]);
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        let pattern = frame(0, 0, 1, &[0; DATA_BYTES]);
        let pattern_bytes = bytes / DATA_BYTES * pattern.len();
        Self::new([preface, settings, headers, length].concat(), &pattern, pattern_bytes)
    }

    /// A complete body that decodes to many empty objects.
    pub fn empty_objects(head: Head, list: &str, limit: usize) -> Self {
        let open = format!("{{\"{list}\":[");
        let end = b"{}]}".to_vec();
        let pattern = b"{},".to_vec();
        let pattern_bytes = (limit - open.len() - end.len()) / pattern.len() * pattern.len();
        let length = open.len() + pattern_bytes + end.len();
        let head = head(&format!("Content-Length: {length}")) + &open;
        Self { end, ..Self::new(head, &pattern, pattern_bytes) }
    }
}
