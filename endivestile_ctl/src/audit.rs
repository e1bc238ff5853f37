//! Entries of the audit trail.

use std::time::{SystemTime, UNIX_EPOCH};

use endivestile_config::Change;
use endivestile_wire::key;
use serde::{Deserialize, Serialize};

/// Entries that are kept; the oldest goes when a new one comes.
pub(crate) const MAX_ENTRIES: u64 = 1_000;
/// Changed keys that one entry lists.
const MAX_LISTED_KEYS: usize = 100;
/// Longest value that an entry shows, in characters.
const MAX_VALUE_CHARS: usize = 120;

/// Head of the audit trail.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Serial number that the next entry gets.
    pub(crate) next: u64,
    /// Last revision of the configuration that was accepted; 0 when none was.
    ///
    /// Hosts take only a higher revision. If the configuration's key is lost,
    /// or written past the tools, a change that goes on from a lower one would
    /// be reported as accepted and be in force nowhere.
    #[serde(default)]
    pub(crate) revision: u64,
}

impl Default for Head {
    fn default() -> Self {
        Self { next: 1, revision: 0 }
    }
}

/// What was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Action {
    /// A configuration was accepted.
    Apply,
    /// A planned stop was started.
    Stop,
    /// A planned stop was taken back.
    Resume,
}

impl Action {
    /// Returns the word for people.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Apply => "apply",
            Self::Stop => "stop",
            Self::Resume => "resume",
        }
    }
}

/// One accepted change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Serial number, without gaps.
    pub(crate) serial: u64,
    /// Random id by which the writer knows its own entry again.
    pub(crate) write: String,
    /// Operator.
    pub(crate) who: String,
    /// When, in seconds since 1970 on the operator's clock.
    pub(crate) at_s: u64,
    /// What was done.
    pub(crate) action: Action,
    /// Host, backend server or worker of a planned stop; empty otherwise.
    pub(crate) target: String,
    /// Revision of the configuration after the change; 0 for a planned stop.
    pub(crate) revision: u64,
    /// Operator's own words.
    pub(crate) note: String,
    /// Changed keys, at most [`MAX_LISTED_KEYS`], long values cut.
    pub(crate) changes: Vec<Change>,
    /// Changed keys that are not listed.
    pub(crate) omitted: usize,
}

impl Entry {
    /// Makes the entry of a change that happens now.
    pub(crate) fn new(action: Action, who: &str, note: &str) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            serial: 0,
            write: format!("{:032x}", rand::random::<u128>()),
            who: who.to_owned(),
            at_s: since_epoch.map(|since_epoch| since_epoch.as_secs()).unwrap_or_default(),
            action,
            target: String::new(),
            revision: 0,
            note: note.to_owned(),
            changes: Vec::new(),
            omitted: 0,
        }
    }

    /// Lists changed keys as far as they fit.
    pub(crate) fn set_changes(&mut self, changes: &[Change]) {
        let truncated = |value: &Option<String>| value.as_deref().map(truncate);
        self.changes = changes
            .iter()
            .take(MAX_LISTED_KEYS)
            .map(|change| Change {
                old: truncated(&change.old),
                new: truncated(&change.new),
                ..change.clone()
            })
            .collect();
        self.omitted = changes.len() - self.changes.len();
    }
}

/// Returns the key of an entry.
pub(crate) fn entry_key(serial: u64) -> String {
    format!("{}{serial:020}", key::AUDIT)
}

fn truncate(text: &str) -> String {
    let mut cut: String = text.chars().take(MAX_VALUE_CHARS).collect();
    if cut.len() < text.len() {
        cut.push_str("...");
    }
    cut
}
