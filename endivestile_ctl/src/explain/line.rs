//! Parses a line of a host's log: `time level event=.. key=value ..`.

/// First key of a line. A prefix added by a log collector, such as the host's name,
/// is ignored.
const EVENT_KEY: &str = "event=";

/// A parsed line, which describes one event.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    /// Timestamp as written, `YYYY-MM-DDThh:mm:ss.ffffffZ`; empty if missing.
    pub(crate) time: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Parses a line; `None` if it holds no event.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let at = text.find(EVENT_KEY)?;
        let is_timestamp = |part: &&str| part.len() > 19 && part.as_bytes()[10] == b'T';
        let time = text[..at].split_whitespace().rfind(is_timestamp).unwrap_or("");
        Some(Self { time, pairs: pairs(&text[at..]) })
    }

    /// Returns the value of a key; `None` if it is missing or empty.
    pub(crate) fn get(&self, key: &str) -> Option<&'a str> {
        let pair = self.pairs.iter().find(|(name, _)| *name == key);
        pair.map(|(_, value)| *value).filter(|value| !value.is_empty())
    }

    /// Returns the value of a key as a number; `None` if it is missing or not a number.
    pub(crate) fn number(&self, key: &str) -> Option<f64> {
        self.get(key)?.parse().ok()
    }

    /// Returns the name of the event.
    pub(crate) fn event(&self) -> &'a str {
        self.get("event").unwrap_or("")
    }
}

/// Splits a text into key-value pairs; a quoted value may contain spaces.
fn pairs(text: &str) -> Vec<(&str, &str)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim_end();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, remainder) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((key.trim_start(), value));
        rest = remainder;
    }
    pairs
}
