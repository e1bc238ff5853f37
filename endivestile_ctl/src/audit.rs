//! Entries of the audit trail.

use std::time::{SystemTime, UNIX_EPOCH};

use endivestile_config::Change;
use endivestile_wire::key;
use serde::{Deserialize, Serialize};

/// Number of entries that are kept; each further one replaces the oldest.
pub(crate) const MAX_ENTRIES: u64 = 1_000;
/// Number of changed keys that one entry lists.
const MAX_LISTED_KEYS: usize = 100;
/// Characters of a value that an entry keeps; the rest is cut off.
const MAX_VALUE_CHARS: usize = 120;

/// Head of the audit trail, stored under [`key::AUDIT_HEAD`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Serial number of the next entry.
    pub(crate) next: u64,
    /// Last accepted revision of the configuration; 0 if there was none.
    ///
    /// Hosts adopt only a higher revision. If the configuration's key is lost
    /// or was written without this tool, a change based on a lower revision
    /// would be reported as accepted, but no host would adopt it.
    #[serde(default)]
    pub(crate) revision: u64,
}

impl Default for Head {
    fn default() -> Self {
        Self { next: 1, revision: 0 }
    }
}

/// Kind of change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Action {
    /// A configuration was accepted.
    Apply,
    /// A planned stop was started.
    Stop,
    /// A planned stop was cancelled.
    Resume,
}

impl Action {
    /// Returns the name that entries and output show.
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
    /// Serial number; consecutive entries have consecutive numbers.
    pub(crate) serial: u64,
    /// Random id that identifies this write, so that its writer can recognise it after a retry.
    pub(crate) write: String,
    /// Operator who made the change.
    pub(crate) who: String,
    /// Time of the change by the operator's clock, in seconds since 1970.
    pub(crate) at_s: u64,
    /// Kind of change.
    pub(crate) action: Action,
    /// Host, backend server or worker of a planned stop; empty otherwise.
    pub(crate) target: String,
    /// Revision of the configuration after the change; 0 for a planned stop.
    pub(crate) revision: u64,
    /// Operator's note.
    pub(crate) note: String,
    /// Changed keys, at most [`MAX_LISTED_KEYS`], with long values cut.
    pub(crate) changes: Vec<Change>,
    /// Number of changed keys that are not listed.
    pub(crate) omitted: usize,
}

impl Entry {
    /// Returns an entry with the current time and a new write id; its serial number is set later.
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

    /// Sets the listed changes, up to [`MAX_LISTED_KEYS`], and counts the omitted ones.
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

/// Returns the store key of an entry.
pub(crate) fn entry_key(serial: u64) -> String {
    format!("{}{serial:020}", key::AUDIT)
}

/// Cuts a text to [`MAX_VALUE_CHARS`] characters and marks the cut.
fn truncate(text: &str) -> String {
    let mut cut: String = text.chars().take(MAX_VALUE_CHARS).collect();
    if cut.len() < text.len() {
        cut.push_str("...");
    }
    cut
}
