//! One line of a host's log: `time level event=.. key=value ..`.

/// Marks the start of the pairs in a line; what a collector of logs puts
/// before it, such as the host's name, is passed over.
const EVENT_KEY: &str = "event=";

/// A line about one event.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    /// Time of day as written, `YYYY-MM-DDThh:mm:ss.ffffffZ`; empty if there is none.
    pub(crate) time: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Reads a line; none if it is no event of ours.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let at = text.find(EVENT_KEY)?;
        let is_timestamp = |word: &&str| word.len() > 19 && word.as_bytes()[10] == b'T';
        let time = text[..at].split_whitespace().rfind(is_timestamp).unwrap_or("");
        Some(Self { time, pairs: pairs(&text[at..]) })
    }

    /// Returns the value of a key; none if the line has no such key, or an empty value.
    pub(crate) fn get(&self, key: &str) -> Option<&'a str> {
        let pair = self.pairs.iter().find(|(name, _)| *name == key);
        pair.map(|(_, value)| *value).filter(|value| !value.is_empty())
    }

    /// Returns a number; none if the line has none under this key.
    pub(crate) fn number(&self, key: &str) -> Option<f64> {
        self.get(key)?.parse().ok()
    }

    /// Returns the name of the event.
    pub(crate) fn event(&self) -> &'a str {
        self.get("event").unwrap_or("")
    }
}

/// Cuts a text into pairs; a value in quotes may hold spaces.
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
