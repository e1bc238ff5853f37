//! Structs that are read from and written as the keys of a section.

use std::collections::BTreeMap;

use crate::document::Section;
use crate::error::{ConfigError, Location};
use crate::raw::{RawValue, nearest};

/// A struct whose fields are the keys of a section.
///
/// Parsing, the canonical form and the diff of two configurations all use this list of
/// keys.
pub(crate) trait SectionFields {
    /// All keys.
    const KEYS: &'static [&'static str];
    /// Keys without a default.
    const REQUIRED: &'static [&'static str];

    /// Sets the field of a key in [`Self::KEYS`].
    fn set(&mut self, raw: &RawValue) -> Result<(), ConfigError>;

    /// Returns the value of a key in [`Self::KEYS`] in its written form.
    fn get(&self, key: &str) -> String;
}

/// Sets the fields of all keys of a section.
///
/// Refuses duplicate, unknown and missing keys.
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

/// Sets the field of one key; refuses an unknown key.
pub(crate) fn set_key<T: SectionFields>(value: &mut T, raw: &RawValue) -> Result<(), ConfigError> {
    if T::KEYS.contains(&raw.location.key.as_str()) {
        return value.set(raw);
    }
    Err(unknown_key::<T>(raw))
}

/// Returns the error for an unknown key, with the most similar key.
pub(crate) fn unknown_key<T: SectionFields>(raw: &RawValue) -> ConfigError {
    let suggestion = nearest(&raw.location.key, T::KEYS.iter().copied()).unwrap_or_default();
    ConfigError::UnknownKey { location: raw.location.clone(), suggestion }
}

/// Returns the error for a section without a required key.
pub(crate) fn missing_key(section: &Location, key: &str) -> ConfigError {
    ConfigError::Missing { location: Location { key: key.to_owned(), ..section.clone() } }
}

/// Writes a section with all keys.
pub(crate) fn write_section<T: SectionFields>(out: &mut String, title: &str, value: &T) {
    out.push_str(&format!("[{title}]\n"));
    for key in T::KEYS {
        let text = value.get(key);
        let separator = if text.is_empty() { "" } else { " " };
        out.push_str(&format!("{key} ={separator}{text}\n"));
    }
}
