//! Errors in settings, inventory and rules.

use std::fmt;

use quick_error::quick_error;

use crate::model::Name;

/// Where in a text an error arose.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Location {
    /// File, or another name of the text; empty when not known.
    pub origin: Name,
    /// Line, from 1; 0 when not known.
    pub line: usize,
    /// Section, as `kind` or `kind name`; empty when the error is in none.
    pub section: String,
    /// Key; empty when the error is in none.
    pub key: String,
}

impl Location {
    /// Makes a place that knows its section and key only.
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
    /// Each variant names the place at fault, where it has one.
    // The macro takes no doc comments on fields.
    #[allow(missing_docs)]
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigError {
        /// The text is no INI.
        Syntax { location: Location, reason: String } {
            display("{location}: {reason}")
        }
        /// The text is larger than the platform's store holds.
        TooLarge { location: Location, bytes: usize, limit: usize } {
            display("{location}: {bytes} bytes, at most {limit} are accepted")
        }
        /// No section of this kind is known.
        UnknownSection { location: Location, suggestion: String } {
            display("{location}: unknown section, the nearest is [{suggestion}]")
        }
        /// No key of this name is known in its section.
        UnknownKey { location: Location, suggestion: String } {
            display("{location}: unknown key, the nearest is {suggestion}")
        }
        /// The section or key stands twice.
        Duplicate { location: Location, first_line: usize } {
            display("{location}: stands twice, first in line {first_line}")
        }
        /// The key must be given and isn't.
        Missing { location: Location } {
            display("{location}: missing")
        }
        /// The value is not accepted.
        InvalidValue { location: Location, value: String, accepted: String } {
            display("{location}: \"{value}\" is not accepted, only {accepted}")
        }
        /// The value names something that doesn't exist.
        UnknownReference { location: Location, value: String, suggestion: Option<String> } {
            display("{location}: there is no \"{value}\"{}", hint(suggestion))
        }
        /// Two sections claim the same value.
        Conflict { location: Location, value: String, other: String } {
            display("{location}: {value} belongs to [{other}] already")
        }
        /// The key is fixed once a configuration was accepted.
        Immutable { location: Location, old: String, new: String } {
            display("{location}: fixed at {old} once accepted, cannot become {new}")
        }
        /// The revision doesn't grow.
        StaleRevision { old: u64, new: u64 } {
            display("[configuration] revision: {new} is not above {old}, which is in force")
        }
    }
}

impl ConfigError {
    /// Returns where the error arose, if it has a place.
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

    /// Returns the place for a change.
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

fn hint(suggestion: &Option<String>) -> String {
    match suggestion {
        Some(suggestion) => format!(", the nearest is \"{suggestion}\""),
        None => String::new(),
    }
}
