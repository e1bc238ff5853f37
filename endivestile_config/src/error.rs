//! Errors in settings, inventory and rules.

use std::fmt;

use quick_error::quick_error;

use crate::model::Name;

/// Where in a text an error arose.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Place {
    /// File, or another name of the text; empty when not known.
    pub origin: Name,
    /// Line, from 1; 0 when not known.
    pub line: usize,
    /// Section, as `kind` or `kind name`; empty when the error is in none.
    pub section: String,
    /// Key; empty when the error is in none.
    pub key: String,
}

impl Place {
    /// Makes a place that knows its section and key only.
    pub(crate) fn key(section: &str, key: &str) -> Self {
        Self { section: section.to_owned(), key: key.to_owned(), ..Self::default() }
    }
}

impl fmt::Display for Place {
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
        Syntax { place: Place, reason: String } {
            display("{place}: {reason}")
        }
        /// The text is larger than the platform's store holds.
        Size { place: Place, bytes: usize, limit: usize } {
            display("{place}: {bytes} bytes, at most {limit} are accepted")
        }
        /// No section of this kind is known.
        Section { place: Place, near: String } {
            display("{place}: unknown section, the nearest is [{near}]")
        }
        /// No key of this name is known in its section.
        Key { place: Place, near: String } {
            display("{place}: unknown key, the nearest is {near}")
        }
        /// The section or key stands twice.
        Twice { place: Place, first: usize } {
            display("{place}: stands twice, first in line {first}")
        }
        /// The key must be given and isn't.
        Missing { place: Place } {
            display("{place}: missing")
        }
        /// The value is not accepted.
        Value { place: Place, value: String, accepted: String } {
            display("{place}: \"{value}\" is not accepted, only {accepted}")
        }
        /// The value names something that doesn't exist.
        Reference { place: Place, value: String, near: Option<String> } {
            display("{place}: there is no \"{value}\"{}", hint(near))
        }
        /// Two sections claim the same value.
        Clash { place: Place, value: String, other: String } {
            display("{place}: {value} belongs to [{other}] already")
        }
        /// The key is fixed once a configuration was accepted.
        Fixed { place: Place, old: String, new: String } {
            display("{place}: fixed at {old} once accepted, cannot become {new}")
        }
        /// The revision doesn't grow.
        Revision { old: u64, new: u64 } {
            display("[configuration] revision: {new} is not above {old}, which is in force")
        }
    }
}

impl ConfigError {
    /// Returns where the error arose, if it has a place.
    pub fn place(&self) -> Option<&Place> {
        match self {
            Self::Syntax { place, .. }
            | Self::Size { place, .. }
            | Self::Section { place, .. }
            | Self::Key { place, .. }
            | Self::Twice { place, .. }
            | Self::Missing { place }
            | Self::Value { place, .. }
            | Self::Reference { place, .. }
            | Self::Clash { place, .. }
            | Self::Fixed { place, .. } => Some(place),
            Self::Revision { .. } => None,
        }
    }

    /// Returns the place for a change.
    pub(crate) fn place_mut(&mut self) -> Option<&mut Place> {
        match self {
            Self::Syntax { place, .. }
            | Self::Size { place, .. }
            | Self::Section { place, .. }
            | Self::Key { place, .. }
            | Self::Twice { place, .. }
            | Self::Missing { place }
            | Self::Value { place, .. }
            | Self::Reference { place, .. }
            | Self::Clash { place, .. }
            | Self::Fixed { place, .. } => Some(place),
            Self::Revision { .. } => None,
        }
    }
}

fn hint(near: &Option<String>) -> String {
    match near {
        Some(near) => format!(", the nearest is \"{near}\""),
        None => String::new(),
    }
}
