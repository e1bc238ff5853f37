//! Structures that are read from, and written as, the keys of a section.

use std::collections::BTreeMap;

use crate::document::Section;
use crate::error::{ConfigError, Location};
use crate::raw::{RawValue, nearest};

/// A structure whose fields are the keys of a section.
///
/// Reading, the canonical form and the difference of two configurations all go
/// by this one list of keys.
pub(crate) trait SectionFields {
    /// All keys.
    const KEYS: &'static [&'static str];
    /// Keys that have no default.
    const REQUIRED: &'static [&'static str];

    /// Sets the field of a key of [`Self::KEYS`].
    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError>;

    /// Returns the value of a key of [`Self::KEYS`] as it is written.
    fn get(&self, key: &str) -> String;
}

/// Reads all keys of a section.
pub(crate) fn set_keys<T: SectionFields>(
    value: &mut T,
    section: &Section,
) -> Result<(), ConfigError> {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for raw in &section.values {
        if let Some(first) = seen.insert(&raw.location.key, raw.location.line) {
            return Err(ConfigError::Duplicate {
                location: raw.location.clone(),
                first_line: first,
            });
        }
        set_key(value, raw)?;
    }
    match T::REQUIRED.iter().find(|key| !seen.contains_key(**key)) {
        Some(key) => Err(missing_key(&section.location, key)),
        None => Ok(()),
    }
}

/// Reads one key, refusing an unknown one.
pub(crate) fn set_key<T: SectionFields>(value: &mut T, raw: &RawValue) -> Result<(), ConfigError> {
    if T::KEYS.contains(&raw.location.key.as_str()) {
        return value.set(raw);
    }
    Err(unknown_key::<T>(raw))
}

/// Refuses a key, naming the nearest one.
pub(crate) fn unknown_key<T: SectionFields>(raw: &RawValue) -> ConfigError {
    let suggestion = nearest(&raw.location.key, T::KEYS.iter().copied()).unwrap_or_default();
    ConfigError::UnknownKey { location: raw.location.clone(), suggestion }
}

/// Refuses a section that lacks a key.
pub(crate) fn missing_key(section: &Location, key: &str) -> ConfigError {
    ConfigError::Missing { location: Location { key: key.to_owned(), ..section.clone() } }
}

/// Writes a section with every key.
pub(crate) fn write_section<T: SectionFields>(out: &mut String, title: &str, value: &T) {
    out.push_str(&format!("[{title}]\n"));
    for key in T::KEYS {
        let text = value.get(key);
        let gap = if text.is_empty() { "" } else { " " };
        out.push_str(&format!("{key} ={gap}{text}\n"));
    }
}
