//! Values as they stand in a text, and their conversions.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::error::{ConfigError, Location};
use crate::model::Name;

/// Longest name of a zone, host, server, worker, service, team or rack.
const MAX_NAME: usize = 64;
/// Longest path of a service.
const MAX_PATH: usize = 256;

/// A value and where it stands.
#[derive(Debug, Clone)]
pub(crate) struct RawValue {
    /// Where it stands.
    pub(crate) location: Location,
    /// The value, trimmed.
    pub(crate) text: String,
}

impl RawValue {
    /// Refuses the value, naming what is accepted.
    pub(crate) fn invalid(&self, accepted: impl Into<String>) -> ConfigError {
        let location = self.location.clone();
        ConfigError::InvalidValue {
            location,
            value: truncate(&self.text),
            accepted: accepted.into(),
        }
    }

    /// Reads a whole number within a range.
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

    /// Reads a name.
    pub(crate) fn name(&self) -> Result<Name, ConfigError> {
        if !is_valid_name(&self.text) {
            return Err(self.invalid(NAME_ACCEPTED));
        }
        Ok(Name::from(self.text.as_str()))
    }

    /// Reads a name or nothing.
    pub(crate) fn name_or_empty(&self) -> Result<Name, ConfigError> {
        if self.text.is_empty() {
            return Ok(Name::from(""));
        }
        self.name()
    }

    /// Reads an address, any port.
    pub(crate) fn socket(&self) -> Result<SocketAddr, ConfigError> {
        self.text.parse().map_err(|_| self.invalid("IP:port, for example 10.0.1.7:8080"))
    }

    /// Reads an address that others dial: no unspecified IP and no port 0.
    pub(crate) fn address(&self) -> Result<Name, ConfigError> {
        let socket = self.socket()?;
        if socket.ip().is_unspecified() || socket.port() == 0 {
            return Err(self.invalid("the IP:port that others dial, not 0.0.0.0 and not port 0"));
        }
        Ok(Name::from(socket.to_string()))
    }

    /// Reads a list separated by commas; empty entries are refused.
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

    /// Reads the path of a URL.
    pub(crate) fn path(&self) -> Result<Name, ConfigError> {
        let printable = self.text.bytes().all(|b| b.is_ascii_graphic() && b != b'\\');
        if !printable || !self.text.starts_with('/') || self.text.len() > MAX_PATH {
            return Err(self.invalid("a path: / and up to 255 further visible ASCII characters"));
        }
        Ok(Name::from(self.text.as_str()))
    }

    /// Reads one of a few words.
    pub(crate) fn word(&self, words: &[&str]) -> Result<Name, ConfigError> {
        if !words.contains(&self.text.as_str()) {
            return Err(self.invalid(words.join(", ")));
        }
        Ok(Name::from(self.text.as_str()))
    }
}

/// What [`is_valid_name`] accepts, in words.
pub(crate) const NAME_ACCEPTED: &str =
    "names of 1 to 64 of a-z, A-Z, 0-9, dot, dash and underscore, starting with a letter or digit";

/// Tells whether a text can name a thing of the inventory.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let starts = text.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
    starts && text.len() <= MAX_NAME && text.bytes().all(fits)
}

/// Returns the word nearest to `text`.
pub(crate) fn nearest<'a>(text: &str, words: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let distance = |word: &&str| strsim::damerau_levenshtein(text, word);
    words.into_iter().min_by_key(distance).map(str::to_owned)
}

/// Cuts a value short for an error message.
pub(crate) fn truncate(text: &str) -> String {
    const SHOWN: usize = 80;
    if text.chars().count() <= SHOWN {
        return text.to_owned();
    }
    let mut cut: String = text.chars().take(SHOWN).collect();
    cut.push_str("...");
    cut
}
