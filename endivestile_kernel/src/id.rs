//! Submission ids.

use std::fmt;

use endivestile_config::model::Name;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Peer;

/// Longest submission id, in bytes.
pub const MAX_ID: usize = 128;

quick_error! {
    /// Reason why a text is not a submission id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The text is empty or longer than [`MAX_ID`].
        Length(len: usize) {
            display("length {len}, accepted: 1 to {MAX_ID} bytes")
        }
        /// The text holds a byte that is not printable ASCII, or a space or comma.
        Byte(at: usize) {
            display("byte {at} is not printable ASCII without space and comma")
        }
        /// The text has neither of the two accepted forms.
        IdForm {
            display("accepted: `<seconds since 1970>:<key>` or an id returned in Minted-Ids")
        }
    }
}

/// Form of an id, which determines where and until when it may be started.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum IdForm {
    /// `m:<host>:<incarnation>:<serial>`, issued by one incarnation, which alone may start it.
    Minted(Peer, u64),
    /// `<seconds since 1970>:<key>`, chosen by the caller at its first attempt.
    Dated(u64),
}

/// A submission id, chosen by the caller or minted by an entry host.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SubmissionId {
    text: Name,
    form: IdForm,
}

impl SubmissionId {
    /// Parses an id.
    ///
    /// # Errors
    /// Returns the reason why the text is not an id.
    pub fn parse(text: &str) -> Result<Self, IdError> {
        if text.is_empty() || text.len() > MAX_ID {
            return Err(IdError::Length(text.len()));
        }
        if let Some(at) = text.bytes().position(|b| !b.is_ascii_graphic() || b == b',') {
            return Err(IdError::Byte(at));
        }
        let form = parse_minted(text).or_else(|| parse_dated(text)).ok_or(IdError::IdForm)?;
        Ok(Self { text: Name::from(text), form })
    }

    /// Creates the id with number `serial` of `issuer`.
    pub fn mint(issuer: &Peer, serial: u64) -> Self {
        let text = format!("m:{}:{:x}:{serial:x}", issuer.host, issuer.birth);
        Self { text: Name::from(text), form: IdForm::Minted(issuer.clone(), serial) }
    }

    /// Returns the id as callers write it.
    pub fn text(&self) -> &Name {
        &self.text
    }

    /// Returns the form of the id.
    pub fn form(&self) -> &IdForm {
        &self.form
    }

    /// Returns the shard of the id, of `count` shards.
    pub fn shard(&self, count: u32) -> u32 {
        (xxh3_64(self.text.as_bytes()) % u64::from(count.max(1))) as u32
    }
}

impl PartialEq for SubmissionId {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for SubmissionId {}

impl std::hash::Hash for SubmissionId {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl PartialOrd for SubmissionId {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SubmissionId {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.text.cmp(&other.text)
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl TryFrom<String> for SubmissionId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        Self::parse(&text)
    }
}

impl From<SubmissionId> for String {
    fn from(id: SubmissionId) -> Self {
        id.text.as_ref().to_owned()
    }
}

fn parse_minted(text: &str) -> Option<IdForm> {
    let mut parts = text.strip_prefix("m:")?.rsplitn(3, ':');
    let serial = u64::from_str_radix(parts.next()?, 16).ok()?;
    let birth = u64::from_str_radix(parts.next()?, 16).ok()?;
    let host = parts.next().filter(|host| !host.is_empty())?;
    Some(IdForm::Minted(Peer::new(host, birth), serial))
}

fn parse_dated(text: &str) -> Option<IdForm> {
    let (secs, key) = text.split_once(':')?;
    if key.is_empty() {
        return None;
    }
    Some(IdForm::Dated(secs.parse().ok()?))
}
