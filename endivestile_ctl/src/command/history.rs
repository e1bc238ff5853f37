//! `history`: shows the audit trail.

use endivestile_wire::key;
use endivestile_wire::store::KeyValue;

use super::apply::append_changes;
use crate::audit::{self, Entry};
use crate::change::StoredHead;
use crate::cli::HistoryArgs;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::out;
use crate::store::{Store, prefix_range};

/// Entries read by one call to the store.
const PAGE_SIZE: u64 = 100;

/// Shows the audit trail, latest entry first.
pub(crate) fn run(context: &Context, args: &HistoryArgs) -> Result<Exit, CtlError> {
    let mut trail = read_entries(&mut context.store()?, args.last)?;
    trail.reverse();
    if context.json {
        out::print_json(&trail);
        return Ok(Exit::Done);
    }
    trail.iter().for_each(|entry| out::print(&describe(entry)));
    Ok(Exit::Done)
}

/// Reads the last entries, oldest first.
pub(crate) fn read_entries(store: &mut Store, last: u64) -> Result<Vec<Entry>, CtlError> {
    let head = StoredHead::read(store)?.head;
    let mut entries: Vec<Entry> = Vec::new();
    let mut from = head.next.saturating_sub(last).max(1);
    while from < head.next {
        let request = prefix_range(key::AUDIT, &audit::entry_key(from), PAGE_SIZE as i64);
        let page = store.read("read-history", &request)?;
        entries.extend(page.kvs.iter().filter_map(parse_entry));
        let last_kv = page.kvs.last().filter(|_| page.more);
        from = last_kv.and_then(|kv| parse_serial(&kv.key)).map_or(head.next, |serial| serial + 1);
    }
    Ok(entries)
}

/// Decodes an entry; reports an invalid one and skips it.
///
/// An entry written without this tool must not block `apply`, which reads the
/// trail on a conflict.
fn parse_entry(kv: &KeyValue) -> Option<Entry> {
    let entry = serde_json::from_slice(&kv.value).map_err(|error| CtlError::InvalidValue {
        step: "read-history",
        key: String::from_utf8_lossy(&kv.key).into_owned(),
        reason: error.to_string(),
    });
    entry.inspect_err(|error| out::print_error(&error.to_string())).ok()
}

fn parse_serial(key: &[u8]) -> Option<u64> {
    std::str::from_utf8(key).ok()?.strip_prefix(key::AUDIT)?.parse().ok()
}

fn describe(entry: &Entry) -> String {
    let (at, action_label) = (out::format_utc(entry.at_s), entry.action.label());
    let subject = match entry.target.as_str() {
        "" => format!("revision={}", entry.revision),
        target => format!("target={target}"),
    };
    let Entry { serial, who, write, note, .. } = entry;
    let mut text = format!(
        "{serial} {at} who={who} action={action_label} {subject} write={write} note={note:?}"
    );
    append_changes(&mut text, &entry.changes, entry.omitted);
    text
}
