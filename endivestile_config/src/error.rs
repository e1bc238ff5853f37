//! Errors in settings, inventory and rules.

use std::fmt;

use quick_error::quick_error;

use crate::model::Name;

/// Location of an error in a text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Location {
    /// File or other name of the text; empty if unknown.
    pub origin: Name,
    /// Line, from 1; 0 if unknown.
    pub line: usize,
    /// Section, as `kind` or `kind name`; empty if the error is in none.
    pub section: String,
    /// Key; empty if the error is in none.
    pub key: String,
}

impl Location {
    /// Returns a location with a section and a key only.
    pub(crate) fn key(section: &str, key: &str) -> Self {
        Self { section: section.to_owned(), key: key.to_owned(), ..Self::default() }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut gap = "";
        if !self.origin.is_empty() {
            write!(out, "{}", self.origin)?;
            gap = ": ";
        }
        if self.line > 0 {
            write!(out, ":{}", self.line)?;
            gap = ": ";
        }
        if !self.section.is_empty() {
            write!(out, "{gap}[{}]", self.section)?;
            gap = " ";
        }
        if !self.key.is_empty() {
            write!(out, "{gap}{}", self.key)?;
        }
        Ok(())
    }
}

quick_error! {
    /// Why settings, inventory or rules are refused.
    ///
    /// Each variant holds the location of the error if it has one.
    // The macro does not accept doc comments on fields.
    #[allow(missing_docs)]
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigError {
        /// The text is not valid INI.
        Syntax { location: Location, reason: String } {
            display("{location}: {reason}")
        }
        /// The text is larger than a value of the store may be.
        TooLarge { location: Location, bytes: usize, limit: usize } {
            display("{location}: {bytes} bytes, at most {limit} are accepted")
        }
        /// Unknown kind of section.
        UnknownSection { location: Location, suggestion: String } {
            display("{location}: unknown section, the nearest is [{suggestion}]")
        }
        /// Unknown key in its section.
        UnknownKey { location: Location, suggestion: String } {
            display("{location}: unknown key, the nearest is {suggestion}")
        }
        /// The section or key is defined twice.
        Duplicate { location: Location, first_line: usize } {
            display("{location}: defined twice, first in line {first_line}")
        }
        /// A required key is missing.
        Missing { location: Location } {
            display("{location}: missing")
        }
        /// The value is not accepted.
        InvalidValue { location: Location, value: String, accepted: String } {
            display("{location}: \"{value}\" is not accepted, only {accepted}")
        }
        /// The value names something that does not exist.
        UnknownReference { location: Location, value: String, suggestion: Option<String> } {
            display("{location}: there is no \"{value}\"{}", suggestion_text(suggestion))
        }
        /// Two sections have the same value.
        Conflict { location: Location, value: String, other: String } {
            display("{location}: {value} is already used by [{other}]")
        }
        /// The key cannot change once a configuration has been accepted.
        Immutable { location: Location, old: String, new: String } {
            display("{location}: fixed at {old} once accepted, cannot change to {new}")
        }
        /// The revision is not higher than the one in force.
        StaleRevision { old: u64, new: u64 } {
            display("[configuration] revision: {new} is not above {old}, which is in force")
        }
    }
}

impl ConfigError {
    /// Returns the location of the error, if it has one.
    pub fn location(&self) -> Option<&Location> {
        match self {
            Self::Syntax { location, .. }
            | Self::TooLarge { location, .. }
            | Self::UnknownSection { location, .. }
            | Self::UnknownKey { location, .. }
            | Self::Duplicate { location, .. }
            | Self::Missing { location }
            | Self::InvalidValue { location, .. }
            | Self::UnknownReference { location, .. }
            | Self::Conflict { location, .. }
            | Self::Immutable { location, .. } => Some(location),
            Self::StaleRevision { .. } => None,
        }
    }

    /// Returns the location for modification.
    pub(crate) fn location_mut(&mut self) -> Option<&mut Location> {
        match self {
            Self::Syntax { location, .. }
            | Self::TooLarge { location, .. }
            | Self::UnknownSection { location, .. }
            | Self::UnknownKey { location, .. }
            | Self::Duplicate { location, .. }
            | Self::Missing { location }
            | Self::InvalidValue { location, .. }
            | Self::UnknownReference { location, .. }
            | Self::Conflict { location, .. }
            | Self::Immutable { location, .. } => Some(location),
            Self::StaleRevision { .. } => None,
        }
    }
}

fn suggestion_text(suggestion: &Option<String>) -> String {
    match suggestion {
        Some(suggestion) => format!(", the nearest is \"{suggestion}\""),
        None => String::new(),
    }
}
