//! Conditional writes: a change and its audit entry, in one transaction.

use endivestile_wire::key;
use endivestile_wire::store::request_op::Request as Op;
use endivestile_wire::store::{RequestOp, TxnRequest, TxnResponse};

use crate::audit::{self, Entry, Head, MAX_ENTRIES};
use crate::error::CtlError;
use crate::store::{Store, compare_mod_revision, delete, first_kv, key_range, put};

/// Attempts to write a change; one fails when another entry of the audit trail
/// is written first.
const MAX_ATTEMPTS: usize = 100;

/// A write or delete of one key, on condition that it has not changed since it was read.
#[derive(Debug)]
pub(crate) struct ConditionalWrite {
    /// Step named in error messages.
    pub(crate) step: &'static str,
    /// Key that is written.
    pub(crate) key: String,
    /// Revision of the key's last change when it was read; 0 if it was absent.
    pub(crate) revision: i64,
    /// New value; `None` deletes the key.
    pub(crate) value: Option<Vec<u8>>,
}

/// Outcome of a conditional write.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The write took effect; holds the serial number of its audit entry.
    Committed(u64),
    /// Another writer changed the key; nothing was written.
    KeyChanged,
}

/// The audit trail's head as read from the store.
#[derive(Debug, Default)]
pub(crate) struct StoredHead {
    /// The decoded head.
    pub(crate) head: Head,
    /// Revision of its key's last change; 0 if absent.
    key_revision: i64,
}

impl StoredHead {
    /// Reads the head; the default if its key is absent.
    pub(crate) fn read(store: &mut Store) -> Result<Self, CtlError> {
        const STEP: &str = "read-audit-head";
        let stored = store.get(STEP, key::AUDIT_HEAD)?;
        if stored.mod_revision == 0 {
            return Ok(Self::default());
        }
        let head =
            serde_json::from_slice(&stored.value).map_err(|error| CtlError::InvalidValue {
                step: STEP,
                key: key::AUDIT_HEAD.to_owned(),
                reason: error.to_string(),
            })?;
        Ok(Self { head, key_revision: stored.mod_revision })
    }
}

/// Writes a change and its audit entry atomically.
pub(crate) fn commit(
    store: &mut Store,
    change: &ConditionalWrite,
    entry: &mut Entry,
    mut stored_head: StoredHead,
) -> Result<Outcome, CtlError> {
    for _ in 0..MAX_ATTEMPTS {
        entry.serial = stored_head.head.next;
        let request = transaction(change, entry, &stored_head)?;
        let response = store.run_txn(&request).map_err(|store_error| match store_error.sent {
            true => CtlError::OutcomeUnknown {
                step: change.step,
                peer: store_error.peer,
                reason: store_error.reason,
                write: entry.write.clone(),
            },
            false => store_error.into_unreachable(change.step),
        })?;
        if response.succeeded || is_own_entry(&response, entry) {
            return Ok(Outcome::Committed(entry.serial));
        }
        let current = response.responses.into_iter().nth(1);
        if first_kv(current).unwrap_or_default().mod_revision != change.revision {
            return Ok(Outcome::KeyChanged);
        }
        // Only the head of the audit trail changed. Earlier attempts can no
        // longer take effect, because their comparison with the head fails.
        stored_head = StoredHead::read(store)?;
    }
    Err(CtlError::Conflict(format!(
        "the audit trail changed during {MAX_ATTEMPTS} attempts; nothing was changed"
    )))
}

/// Returns whether a transaction failed because an earlier attempt of the same
/// write, whose response was lost, had taken effect.
fn is_own_entry(response: &TxnResponse, entry: &Entry) -> bool {
    let stored = first_kv(response.responses.first().cloned()).unwrap_or_default();
    serde_json::from_slice::<Entry>(&stored.value).is_ok_and(|found| found.write == entry.write)
}

/// Builds the transaction that writes the change, its entry and the new head, and
/// drops the oldest entry. On failure it reads the entry's key and the changed key.
fn transaction(
    change: &ConditionalWrite,
    entry: &Entry,
    stored_head: &StoredHead,
) -> Result<TxnRequest, CtlError> {
    let key = audit::entry_key(entry.serial);
    let head =
        Head { next: entry.serial + 1, revision: stored_head.head.revision.max(entry.revision) };
    let mut success = vec![
        match &change.value {
            Some(value) => put(&change.key, value.clone()),
            None => delete(&change.key),
        },
        put(key::AUDIT_HEAD, to_json(&head)?),
        put(&key, to_json(entry)?),
    ];
    if let Some(oldest) = entry.serial.checked_sub(MAX_ENTRIES).filter(|oldest| *oldest > 0) {
        success.push(delete(&audit::entry_key(oldest)));
    }
    let get_op = |key: &str| RequestOp { request: Some(Op::RequestRange(key_range(key))) };
    Ok(TxnRequest {
        compare: vec![
            compare_mod_revision(&change.key, change.revision),
            compare_mod_revision(key::AUDIT_HEAD, stored_head.key_revision),
        ],
        success,
        failure: vec![get_op(&key), get_op(&change.key)],
    })
}

fn to_json<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, CtlError> {
    serde_json::to_vec(value).map_err(|error| CtlError::InvalidValue {
        step: "write-audit",
        key: key::AUDIT.to_owned(),
        reason: error.to_string(),
    })
}
