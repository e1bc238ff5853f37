//! Structures that are read from, and written as, the keys of a section.

use std::collections::BTreeMap;

use crate::document::Section;
use crate::error::{ConfigError, Place};
use crate::raw::{Raw, nearest};

/// A structure whose fields are the keys of a section.
///
/// Reading, the canonical form and the difference of two configurations all go
/// by this one list of keys.
pub(crate) trait Keys {
    /// All keys.
    const KEYS: &'static [&'static str];
    /// Keys that have no default.
    const REQUIRED: &'static [&'static str];

    /// Sets the field of a key of [`Self::KEYS`].
    fn set(&mut self, raw: &Raw) -> Result<(), ConfigError>;

    /// Returns the value of a key of [`Self::KEYS`] as it is written.
    fn get(&self, key: &str) -> String;
}

/// Reads all keys of a section.
pub(crate) fn fill<T: Keys>(value: &mut T, section: &Section) -> Result<(), ConfigError> {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for raw in &section.values {
        if let Some(first) = seen.insert(&raw.place.key, raw.place.line) {
            return Err(ConfigError::Twice { place: raw.place.clone(), first });
        }
        set_key(value, raw)?;
    }
    match T::REQUIRED.iter().find(|key| !seen.contains_key(**key)) {
        Some(key) => Err(missing(&section.place, key)),
        None => Ok(()),
    }
}

/// Reads one key, refusing an unknown one.
pub(crate) fn set_key<T: Keys>(value: &mut T, raw: &Raw) -> Result<(), ConfigError> {
    if T::KEYS.contains(&raw.place.key.as_str()) {
        return value.set(raw);
    }
    Err(unknown_key::<T>(raw))
}

/// Refuses a key, naming the nearest one.
pub(crate) fn unknown_key<T: Keys>(raw: &Raw) -> ConfigError {
    let near = nearest(&raw.place.key, T::KEYS.iter().copied()).unwrap_or_default();
    ConfigError::Key { place: raw.place.clone(), near }
}

/// Refuses a section that lacks a key.
pub(crate) fn missing(section: &Place, key: &str) -> ConfigError {
    ConfigError::Missing { place: Place { key: key.to_owned(), ..section.clone() } }
}

/// Writes a section with every key.
pub(crate) fn write<T: Keys>(out: &mut String, title: &str, value: &T) {
    out.push_str(&format!("[{title}]\n"));
    for key in T::KEYS {
        let text = value.get(key);
        let gap = if text.is_empty() { "" } else { " " };
        out.push_str(&format!("{key} ={gap}{text}\n"));
    }
}
