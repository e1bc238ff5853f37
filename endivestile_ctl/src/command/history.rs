//! `history`: the audit trail.

use endivestile_wire::key;
use endivestile_wire::store::KeyValue;

use super::apply::list;
use crate::audit::{self, Entry};
use crate::change::Tip;
use crate::cli::HistoryArgs;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::out;
use crate::store::{Store, scan};

/// Entries that one call reads.
const PAGE: u64 = 100;

/// Shows the audit trail, the latest entry first.
pub(crate) fn run(context: &Context, args: &HistoryArgs) -> Result<Exit, CtlError> {
    let mut trail = entries(&mut context.store()?, args.last)?;
    trail.reverse();
    if context.json {
        out::json(&trail);
        return Ok(Exit::Done);
    }
    trail.iter().for_each(|entry| out::say(&describe(entry)));
    Ok(Exit::Done)
}

/// Reads the last entries, the oldest first.
pub(crate) fn entries(store: &mut Store, last: u64) -> Result<Vec<Entry>, CtlError> {
    let head = Tip::read(store)?.head;
    let mut found: Vec<Entry> = Vec::new();
    let mut from = head.next.saturating_sub(last).max(1);
    while from < head.next {
        let request = scan(key::AUDIT, &audit::key(from), PAGE as i64);
        let page = store.read("read-history", &request)?;
        found.extend(page.kvs.iter().filter_map(legible));
        let last = page.kvs.last().filter(|_| page.more);
        from = last.and_then(|kv| serial(&kv.key)).map_or(head.next, |serial| serial + 1);
    }
    Ok(found)
}

/// Reads an entry. One that was written past the tools is told and left out;
/// it must not hold up the changes that look into the trail.
fn legible(kv: &KeyValue) -> Option<Entry> {
    let entry = serde_json::from_slice(&kv.value).map_err(|error| CtlError::Held {
        step: "read-history",
        key: String::from_utf8_lossy(&kv.key).into_owned(),
        reason: error.to_string(),
    });
    entry.inspect_err(|error| out::complain(&error.to_string())).ok()
}

fn serial(key: &[u8]) -> Option<u64> {
    std::str::from_utf8(key).ok()?.strip_prefix(key::AUDIT)?.parse().ok()
}

fn describe(entry: &Entry) -> String {
    let (at, word) = (out::utc(entry.at_s), entry.action.word());
    let what = match entry.target.as_str() {
        "" => format!("revision={}", entry.revision),
        target => format!("target={target}"),
    };
    let Entry { serial, who, write, note, .. } = entry;
    let mut text =
        format!("{serial} {at} who={who} action={word} {what} write={write} note={note:?}");
    list(&mut text, &entry.changes, entry.omitted);
    text
}
