//! One step of a story: a verb, plain words and `key=value` pairs.

use std::collections::BTreeMap;

/// A line of a story.
pub(crate) struct Step<'a> {
    /// The line.
    pub(crate) line: &'a str,
    /// Verb and plain words.
    pub(crate) words: Vec<&'a str>,
    /// Values by key.
    pub(crate) pairs: BTreeMap<&'a str, &'a str>,
}

impl<'a> Step<'a> {
    /// Reads a line.
    pub(crate) fn from_line(line: &'a str) -> Self {
        let mut words = Vec::new();
        let mut pairs = BTreeMap::new();
        for part in line.split_whitespace() {
            match part.split_once('=') {
                Some((key, value)) => {
                    pairs.insert(key, value);
                }
                None => words.push(part),
            }
        }
        if words.is_empty() {
            words.push("");
        }
        Self { line, words, pairs }
    }

    /// Returns a plain word, 0 is the verb.
    pub(crate) fn word(&self, at: usize) -> Result<&'a str, String> {
        self.words.get(at).copied().ok_or_else(|| format!("word {at} is missing"))
    }

    /// Returns a plain word as a number.
    pub(crate) fn parse_word<T: std::str::FromStr>(&self, at: usize) -> Result<T, String> {
        self.word(at)?.parse().map_err(|_| format!("word {at} is no number"))
    }

    /// Returns the number of a key.
    pub(crate) fn number(&self, key: &str, default: u64) -> Result<u64, String> {
        let Some(text) = self.pairs.get(key) else { return Ok(default) };
        text.parse().map_err(|_| format!("{key} is no number"))
    }

    /// Returns the milliseconds of a key.
    pub(crate) fn duration_ms(&self, key: &str, default: u64) -> Result<u64, String> {
        self.pairs.get(key).map_or(Ok(default), |text| parse_duration_ms(text))
    }
}

/// Reads a span in milliseconds.
pub(crate) fn parse_duration_ms(text: &str) -> Result<u64, String> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1),
        None => (text.strip_suffix('s').ok_or("a span ends with ms or s")?, 1_000),
    };
    let count: u64 = number.parse().map_err(|_| String::from("a span is a number and a unit"))?;
    Ok(count * unit)
}
