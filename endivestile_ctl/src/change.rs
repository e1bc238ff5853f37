//! Guarded changes: what is written and its audit entry, in one transaction.

use endivestile_wire::key;
use endivestile_wire::store::request_op::Request as Op;
use endivestile_wire::store::{RequestOp, TxnRequest, TxnResponse};

use crate::audit::{self, Entry, Head, KEPT};
use crate::error::CtlError;
use crate::store::{Store, delete, first, guard, put, range};

/// Times that a change is written anew because another entry of the audit
/// trail came first.
const TRIES: usize = 100;

/// A change of one key.
#[derive(Debug)]
pub(crate) struct Guarded {
    /// Step that errors name.
    pub(crate) step: &'static str,
    /// The key.
    pub(crate) key: String,
    /// Revision of its last change as it was read; 0 when it was absent.
    pub(crate) revision: i64,
    /// New value; none deletes the key.
    pub(crate) value: Option<Vec<u8>>,
}

/// How a guarded change ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It took effect; serial number of its audit entry.
    Done(u64),
    /// The key was changed by somebody else; nothing was written.
    Raced,
}

/// The audit trail's head and the revision of its key in the store.
#[derive(Debug, Default)]
pub(crate) struct Tip {
    /// The head.
    pub(crate) head: Head,
    /// Revision of the key's last change; 0 when absent.
    stored: i64,
}

impl Tip {
    /// Reads the head.
    pub(crate) fn read(store: &mut Store) -> Result<Self, CtlError> {
        const STEP: &str = "read-audit-head";
        let held = store.get(STEP, key::AUDIT_HEAD)?;
        if held.mod_revision == 0 {
            return Ok(Self::default());
        }
        let head = serde_json::from_slice(&held.value).map_err(|error| CtlError::Held {
            step: STEP,
            key: key::AUDIT_HEAD.to_owned(),
            reason: error.to_string(),
        })?;
        Ok(Self { head, stored: held.mod_revision })
    }
}

/// Writes a change and its audit entry, both or none.
pub(crate) fn commit(
    store: &mut Store,
    change: &Guarded,
    entry: &mut Entry,
    mut tip: Tip,
) -> Result<Outcome, CtlError> {
    for _ in 0..TRIES {
        entry.serial = tip.head.next;
        let request = transaction(change, entry, &tip)?;
        let response = store.settle(&request).map_err(|fault| match fault.sent {
            true => CtlError::Lost {
                step: change.step,
                peer: fault.peer,
                reason: fault.reason,
                write: entry.write.clone(),
            },
            false => fault.away(change.step),
        })?;
        if response.succeeded || is_own(&response, entry) {
            return Ok(Outcome::Done(entry.serial));
        }
        let current = response.responses.into_iter().nth(1);
        if first(current).unwrap_or_default().mod_revision != change.revision {
            return Ok(Outcome::Raced);
        }
        // Only the audit trail has moved on. A former attempt can't take
        // effect any more, because its compare with the head now fails.
        tip = Tip::read(store)?;
    }
    Err(CtlError::Conflict(format!("the audit trail moved on {TRIES} times; nothing was changed")))
}

/// Tells from what a failed transaction read back whether it failed because an
/// earlier attempt, whose answer was lost, had taken effect.
fn is_own(response: &TxnResponse, entry: &Entry) -> bool {
    let held = first(response.responses.first().cloned()).unwrap_or_default();
    serde_json::from_slice::<Entry>(&held.value).is_ok_and(|held| held.write == entry.write)
}

fn transaction(change: &Guarded, entry: &Entry, tip: &Tip) -> Result<TxnRequest, CtlError> {
    let key = audit::key(entry.serial);
    let head = Head { next: entry.serial + 1, revision: tip.head.revision.max(entry.revision) };
    let mut success = vec![
        match &change.value {
            Some(value) => put(&change.key, value.clone()),
            None => delete(&change.key),
        },
        put(key::AUDIT_HEAD, json(&head)?),
        put(&key, json(entry)?),
    ];
    if let Some(oldest) = entry.serial.checked_sub(KEPT).filter(|oldest| *oldest > 0) {
        success.push(delete(&audit::key(oldest)));
    }
    let read = |key: &str| RequestOp { request: Some(Op::RequestRange(range(key))) };
    Ok(TxnRequest {
        compare: vec![guard(&change.key, change.revision), guard(key::AUDIT_HEAD, tip.stored)],
        success,
        failure: vec![read(&key), read(&change.key)],
    })
}

fn json<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, CtlError> {
    serde_json::to_vec(value).map_err(|error| CtlError::Held {
        step: "write-audit",
        key: key::AUDIT.to_owned(),
        reason: error.to_string(),
    })
}
