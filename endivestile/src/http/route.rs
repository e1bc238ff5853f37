//! Methods and paths of the HTTP interface.

use endivestile_kernel::{Ask, SubmissionId};
use http::{Method, Uri};

use super::invalid_request::InvalidRequest;

/// Most ids that one call can mint.
const MAX_MINTED_IDS: usize = 1_000;

/// Operation selected by method and path.
#[derive(Debug)]
pub(crate) enum Route {
    /// `POST /v1/jobs`.
    Job,
    /// `POST /v1/requests/<service>`.
    Request(String),
    /// `GET` or `DELETE /v1/submissions/<id>`.
    Submission(SubmissionId, Ask),
    /// `POST /v1/ids?count=N`.
    Ids(usize),
    /// `GET /health`.
    Health,
    /// `GET /ready`.
    Ready,
    /// `GET /status`.
    Status,
}

impl Route {
    /// Parses a method and a URL.
    pub(crate) fn parse(method: &Method, url: &Uri) -> Result<Self, InvalidRequest> {
        let (path, query) = (url.path(), url.query().unwrap_or_default());
        if let Some(service) = path.strip_prefix("/v1/requests/") {
            require_method(method, &Method::POST)?;
            return Ok(Self::Request(percent_decode(service)));
        }
        if let Some(id) = path.strip_prefix("/v1/submissions/") {
            return Self::submission(method, &percent_decode(id));
        }
        match path {
            "/v1/jobs" => require_method(method, &Method::POST).map(|()| Self::Job),
            "/v1/ids" => require_method(method, &Method::POST).and_then(|()| Self::ids(query)),
            "/health" => require_method(method, &Method::GET).map(|()| Self::Health),
            "/ready" => require_method(method, &Method::GET).map(|()| Self::Ready),
            "/status" => require_method(method, &Method::GET).map(|()| Self::Status),
            _ => Err(InvalidRequest::unknown_path(path)),
        }
    }

    /// Parses a call that concerns an existing submission.
    fn submission(method: &Method, id: &str) -> Result<Self, InvalidRequest> {
        let ask = match *method {
            Method::GET => Ask::Fetch,
            Method::DELETE => Ask::Cancel,
            _ => return Err(InvalidRequest::unsupported_method("GET, DELETE")),
        };
        let id = SubmissionId::parse(id).map_err(|e| InvalidRequest::field("id", e.to_string()))?;
        Ok(Self::Submission(id, ask))
    }

    /// Parses the query of a call that mints ids.
    fn ids(query: &str) -> Result<Self, InvalidRequest> {
        let invalid_count =
            || InvalidRequest::field("count", format!("accepted: count=1 to {MAX_MINTED_IDS}"));
        let count = query.strip_prefix("count=").ok_or_else(invalid_count)?;
        let count = count.parse().ok().filter(|count| (1..=MAX_MINTED_IDS).contains(count));
        count.map(Self::Ids).ok_or_else(invalid_count)
    }
}

fn require_method(method: &Method, accepted: &Method) -> Result<(), InvalidRequest> {
    if method == accepted {
        Ok(())
    } else {
        Err(InvalidRequest::unsupported_method(accepted.as_str()))
    }
}

/// Decodes percent encoding; invalid sequences are left unchanged.
fn percent_decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let decoded = tail.get(..2).filter(|_| byte == b'%').and_then(parse_hex);
        out.push(decoded.unwrap_or(byte));
        rest = if decoded.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn parse_hex(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(text, 16).ok()
}
