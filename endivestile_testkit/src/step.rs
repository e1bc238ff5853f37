//! Parser for one step of a story: a verb, positional words and `key=value` pairs.

use std::collections::BTreeMap;

/// A parsed line of a story.
pub(crate) struct Step<'a> {
    /// The line as written.
    pub(crate) line: &'a str,
    /// The verb followed by the positional words.
    pub(crate) words: Vec<&'a str>,
    /// Values of the `key=value` pairs by key.
    pub(crate) pairs: BTreeMap<&'a str, &'a str>,
}

impl<'a> Step<'a> {
    /// Parses a line.
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

    /// Returns the word at an index; index 0 is the verb.
    pub(crate) fn word(&self, at: usize) -> Result<&'a str, String> {
        self.words.get(at).copied().ok_or_else(|| format!("word {at} is missing"))
    }

    /// Parses the word at an index.
    pub(crate) fn parse_word<T: std::str::FromStr>(&self, at: usize) -> Result<T, String> {
        self.word(at)?.parse().map_err(|_| format!("word {at} is not a number"))
    }

    /// Returns the numeric value of a key, or `default` without that key.
    pub(crate) fn number(&self, key: &str, default: u64) -> Result<u64, String> {
        let Some(text) = self.pairs.get(key) else { return Ok(default) };
        text.parse().map_err(|_| format!("value of {key} is not a number"))
    }

    /// Returns the duration of a key in milliseconds, or `default` without that key.
    pub(crate) fn duration_ms(&self, key: &str, default: u64) -> Result<u64, String> {
        self.pairs.get(key).map_or(Ok(default), |text| parse_duration_ms(text))
    }
}

/// Parses a duration such as `300ms` or `2s` into milliseconds.
pub(crate) fn parse_duration_ms(text: &str) -> Result<u64, String> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1),
        None => (text.strip_suffix('s').ok_or("a duration must end with ms or s")?, 1_000),
    };
    let count: u64 =
        number.parse().map_err(|_| String::from("a duration must be a number and a unit"))?;
    Ok(count * unit)
}
