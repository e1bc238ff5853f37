//! Values as written in a text, and their conversions.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::error::{ConfigError, Location};
use crate::model::Name;

/// Maximum length of the name of a zone, host, server, worker, service, team or rack, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a service's path, in bytes.
const MAX_PATH_BYTES: usize = 256;

/// A value and its location.
#[derive(Debug, Clone)]
pub(crate) struct RawValue {
    /// Location of the value.
    pub(crate) location: Location,
    /// The value, trimmed.
    pub(crate) text: String,
}

impl RawValue {
    /// Returns the error for an invalid value, with a description of valid ones.
    pub(crate) fn invalid(&self, accepted: impl Into<String>) -> ConfigError {
        let location = self.location.clone();
        ConfigError::InvalidValue {
            location,
            value: truncate(&self.text),
            accepted: accepted.into(),
        }
    }

    /// Parses a whole number within a range.
    pub(crate) fn number<T>(&self, range: RangeInclusive<T>) -> Result<T, ConfigError>
    where
        T: FromStr + PartialOrd + Display,
    {
        let digits = !self.text.is_empty() && self.text.bytes().all(|b| b.is_ascii_digit());
        match self.text.parse::<T>() {
            Ok(number) if digits && range.contains(&number) => Ok(number),
            _ => Err(self.invalid(format!(
                "whole numbers from {} to {}",
                range.start(),
                range.end()
            ))),
        }
    }

    /// Parses a name.
    pub(crate) fn name(&self) -> Result<Name, ConfigError> {
        if !is_valid_name(&self.text) {
            return Err(self.invalid(NAME_ACCEPTED));
        }
        Ok(Name::from(self.text.as_str()))
    }

    /// Parses a name or an empty value.
    pub(crate) fn name_or_empty(&self) -> Result<Name, ConfigError> {
        if self.text.is_empty() {
            return Ok(Name::from(""));
        }
        self.name()
    }

    /// Parses a socket address with any port.
    pub(crate) fn socket(&self) -> Result<SocketAddr, ConfigError> {
        self.text.parse().map_err(|_| self.invalid("IP:port, for example 10.0.1.7:8080"))
    }

    /// Parses an address that others dial: no unspecified IP and no port 0.
    pub(crate) fn address(&self) -> Result<Name, ConfigError> {
        let socket = self.socket()?;
        if socket.ip().is_unspecified() || socket.port() == 0 {
            return Err(self.invalid("the IP:port that others dial, not 0.0.0.0 and not port 0"));
        }
        Ok(Name::from(socket.to_string()))
    }

    /// Parses a list separated by commas, without empty entries.
    pub(crate) fn list(&self) -> Result<Vec<Self>, ConfigError> {
        if self.text.is_empty() {
            return Ok(Vec::new());
        }
        let parts = self.text.split(',').map(str::trim);
        let items: Vec<Self> = parts
            .map(|part| Self { location: self.location.clone(), text: part.to_owned() })
            .collect();
        if items.iter().any(|item| item.text.is_empty()) {
            return Err(self.invalid("a list separated by single commas"));
        }
        Ok(items)
    }

    /// Parses the path of a URL.
    pub(crate) fn path(&self) -> Result<Name, ConfigError> {
        let printable = self.text.bytes().all(|b| b.is_ascii_graphic() && b != b'\\');
        if !printable || !self.text.starts_with('/') || self.text.len() > MAX_PATH_BYTES {
            return Err(self.invalid("a path: / and up to 255 further visible ASCII characters"));
        }
        Ok(Name::from(self.text.as_str()))
    }

    /// Parses one of the given words.
    pub(crate) fn one_of(&self, words: &[&str]) -> Result<Name, ConfigError> {
        if !words.contains(&self.text.as_str()) {
            return Err(self.invalid(words.join(", ")));
        }
        Ok(Name::from(self.text.as_str()))
    }
}

/// Description of the names that [`is_valid_name`] accepts.
pub(crate) const NAME_ACCEPTED: &str =
    "names of 1 to 64 of a-z, A-Z, 0-9, dot, dash and underscore, starting with a letter or digit";

/// Returns whether a text is a valid name in the inventory.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let valid_start = text.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
    valid_start && text.len() <= MAX_NAME_BYTES && text.bytes().all(valid)
}

/// Returns the word most similar to `text`.
pub(crate) fn nearest<'a>(text: &str, words: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let distance = |word: &&str| strsim::damerau_levenshtein(text, word);
    words.into_iter().min_by_key(distance).map(str::to_owned)
}

/// Shortens a value for an error message.
pub(crate) fn truncate(text: &str) -> String {
    const MAX_CHARS: usize = 80;
    if text.chars().count() <= MAX_CHARS {
        return text.to_owned();
    }
    let mut cut: String = text.chars().take(MAX_CHARS).collect();
    cut.push_str("...");
    cut
}
