//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::keys::SectionFields;
use crate::model::{Config, Name};

/// One key that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Section, as `kind` or `kind name`.
    pub section: String,
    /// Key.
    pub key: String,
    /// Old value; `None` if the section is new.
    pub old: Option<String>,
    /// New value; `None` if the section was removed.
    pub new: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { section, key, old, new } = self;
        match (old, new) {
            (Some(old), Some(new)) => write!(out, "~ [{section}] {key} = {old} -> {new}"),
            (None, Some(new)) => write!(out, "+ [{section}] {key} = {new}"),
            (Some(old), None) => write!(out, "- [{section}] {key} = {old}"),
            (None, None) => write!(out, "  [{section}] {key}"),
        }
    }
}

/// Returns all keys that differ, except the revision.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(&mut changes, "rules", Some(&old.rules), Some(&new.rules));
    compare_all(&mut changes, "availability-zone", &old.zones, &new.zones);
    compare_all(&mut changes, "host", &old.hosts, &new.hosts);
    compare_all(&mut changes, "backend-server", &old.servers, &new.servers);
    compare_all(&mut changes, "worker", &old.workers, &new.workers);
    compare_all(&mut changes, "service", &old.services, &new.services);
    compare_all(&mut changes, "team", &old.teams, &new.teams);
    changes
}

fn compare_all<T: SectionFields>(
    changes: &mut Vec<Change>,
    kind: &str,
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
) {
    let names: BTreeSet<&Name> = old.keys().chain(new.keys()).collect();
    for name in names {
        compare(changes, &format!("{kind} {name}"), old.get(name), new.get(name));
    }
}

fn compare<T: SectionFields>(
    changes: &mut Vec<Change>,
    section: &str,
    old: Option<&T>,
    new: Option<&T>,
) {
    for key in T::KEYS {
        let before = old.map(|value| value.get(key));
        let after = new.map(|value| value.get(key));
        if before != after {
            let (section, key) = (section.to_owned(), (*key).to_owned());
            changes.push(Change { section, key, old: before, new: after });
        }
    }
}
