//! Tests of the commands that use the store: `apply`, `stop`, `resume`, `history`.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

mod common;

use std::thread;

use common::{CONFIG, apply, with_store};
use endivestile_testkit::StoreStandIn;
use endivestile_wire::key;
use serde_json::Value;
use test_case::test_case;

fn history(store: &StoreStandIn) -> Vec<Value> {
    let run = with_store(store, &["history", "--json"], "");
    serde_json::from_str(&run.out).unwrap()
}

fn revision(store: &StoreStandIn) -> String {
    with_store(store, &["show", "--revision"], "").out.trim().to_owned()
}

#[test]
fn apply_first_and_next() {
    let store = StoreStandIn::start().unwrap();
    assert_eq!(apply(&store, CONFIG, 0, "ann").code, 0);
    let next = CONFIG.replace("slots = 8", "slots = 9");
    let before = store.counts();
    let run = apply(&store, &next, 1, "ben");
    let after = store.counts();
    assert_eq!((after.range - before.range, after.txn - before.txn), (2, 1));
    assert_eq!((run.code, run.out.as_str()), (0, "revision 2 in force, 1 keys changed\n"));
    let trail = history(&store);
    assert_eq!(trail[0]["who"], "ben");
    assert_eq!(trail[0]["changes"][0]["new"], "9");
    assert_eq!(trail[1]["revision"], 1);
    // The output of `show` names its revision, so it can be edited and applied.
    let shown = with_store(&store, &["show"], "").out;
    let edited = shown.replace("limit = 100", "limit = 101");
    assert_eq!(with_store(&store, &["apply", "-"], &edited).code, 0);
    assert_eq!(revision(&store), "3");
}

#[test]
fn apply_unchanged_writes_nothing() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    let before = store.counts();
    assert_eq!(apply(&store, CONFIG, 1, "ann").code, 0);
    let after = store.counts();
    assert_eq!((after.range - before.range, after.writes() - before.writes()), (2, 0));
    assert_eq!(revision(&store), "1");
}

/// Two operators edit the same files. The second applies files based on a revision
/// that is no longer in force, which would silently revert the first one's change.
#[test]
fn apply_stale_base() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    apply(&store, &CONFIG.replace("slots = 8", "slots = 9"), 1, "ben");
    let run = apply(&store, &CONFIG.replace("limit = 100", "limit = 5"), 1, "cat");
    assert_eq!(run.code, 4, "{run:?}");
    assert!(run.err.contains("revision 2 by ben"), "{run:?}");
    assert!(run.err.contains("slots = 8 -> 9"), "{run:?}");
    assert_eq!(revision(&store), "2");
}

/// Several operators apply at the same time, based on the same revision. All but one
/// must get a conflict; a second success would mean that a change reported as
/// accepted is not in force.
#[test]
fn apply_race_has_one_winner() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    store.delay_calls(30);
    let codes: Vec<i32> = thread::scope(|scope| {
        let operators: Vec<_> = (1..=6)
            .map(|limit| {
                let text = CONFIG.replace("limit = 100", &format!("limit = {limit}"));
                let store = &store;
                scope.spawn(move || apply(store, &text, 1, &format!("op{limit}")).code)
            })
            .collect();
        operators.into_iter().map(|operator| operator.join().unwrap()).collect()
    });
    assert_eq!(codes.iter().filter(|code| **code == 0).count(), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|code| **code == 4).count(), 5, "{codes:?}");
    let winner = codes.iter().position(|code| *code == 0).unwrap() + 1;
    let trail = history(&store);
    assert_eq!(trail.len(), 2);
    assert_eq!(trail[0]["who"], format!("op{winner}"));
    let shown = with_store(&store, &["show"], "").out;
    assert!(shown.contains(&format!("limit = {winner}\n")), "{shown}");
}

/// The store makes the change, but its response is lost. An operator who gets an
/// error would apply again and get a conflict with that same change.
#[test]
fn apply_lost_response_recognised() {
    let store = StoreStandIn::start().unwrap();
    store.lose_answers(1);
    let run = apply(&store, CONFIG, 0, "ann");
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(revision(&store), "1");
    assert_eq!(history(&store).len(), 1);
}

/// The store receives the change, but all its responses are lost. The change may be
/// in force, so the exit code must be "unknown" and not "failed".
#[test]
fn apply_all_responses_lost_is_unknown() {
    let store = StoreStandIn::start().unwrap();
    store.lose_answers(u32::MAX);
    let run = with_store(&store, &["--timeout-ms", "600", "apply", "-"], CONFIG);
    assert_eq!(run.code, 5, "{run:?}");
    store.lose_answers(0);
    let write = history(&store)[0]["write"].as_str().unwrap().to_owned();
    assert!(run.err.contains(&write), "{run:?}");
}

/// The store refuses a few calls and recovers; retries hide this from the operator.
#[test]
fn apply_retries_until_store_recovers() {
    let store = StoreStandIn::start().unwrap();
    store.refuse_calls(3);
    assert_eq!(apply(&store, CONFIG, 0, "ann").code, 0);
    assert_eq!(history(&store).len(), 1);
}

#[test]
fn apply_store_unreachable() {
    let store = StoreStandIn::start().unwrap();
    store.take_down();
    let run = with_store(&store, &["--timeout-ms", "300", "apply", "-"], CONFIG);
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.err.contains("step=read-config"), "{run:?}");
    assert_eq!(store.get(key::CONFIG), None);
}

#[test]
fn apply_second_address_answers() {
    let store = StoreStandIn::start().unwrap();
    let stopped = StoreStandIn::start().unwrap().address();
    let both = format!("{stopped},{}", store.address());
    let run = common::tool(&["--store", &both, "apply", "-"], CONFIG);
    assert_eq!(run.code, 0, "{run:?}");
}

/// If the number of shards changed while hosts run, one id could have two homes, and
/// both would start it.
#[test]
fn apply_fixed_key_refused() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    let run = apply(&store, &format!("{CONFIG}[rules]\nshards = 8\n"), 1, "ann");
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("[rules] shards: fixed at 64"), "{run:?}");
    assert_eq!(revision(&store), "1");
}

#[test]
fn apply_deletes_oldest_entry() {
    let store = StoreStandIn::start().unwrap();
    store.put(key::AUDIT_HEAD, r#"{"next":1001}"#);
    let oldest = format!("{}{:020}", key::AUDIT, 1);
    store.put(&oldest, "{}");
    apply(&store, CONFIG, 0, "ann");
    assert_eq!(store.get(&oldest), None);
    assert_eq!(history(&store)[0]["serial"], 1001);
}

#[test]
fn stop_and_resume() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    assert_eq!(with_store(&store, &["stop", "s1", "--note", "new disk"], "").code, 0);
    let path = format!("{}s1", key::STOPS);
    assert!(store.get(&path).is_some());
    let again = with_store(&store, &["stop", "s1"], "");
    assert_eq!(again.out, "s1 stopping, nothing changed\n");
    assert_eq!(with_store(&store, &["resume", "s1"], "").code, 0);
    assert_eq!(store.get(&path), None);
    let trail = history(&store);
    let actions: Vec<&str> = trail.iter().map(|e| e["action"].as_str().unwrap()).collect();
    assert_eq!(actions, ["resume", "stop", "apply"]);
    assert_eq!(trail[1]["note"], "new disk");
}

#[test]
fn stop_unknown_name() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    let run = with_store(&store, &["stop", "s2"], "");
    assert_eq!(run.code, 2, "{run:?}");
    assert!(store.list(key::STOPS).is_empty());
}

/// Planned stops of different servers are started at the same time. They share only
/// the audit trail: none may fail because of that, and none may be missing in it.
#[test]
fn stop_race_keeps_every_entry() {
    let store = StoreStandIn::start().unwrap();
    let mut text = CONFIG.to_owned();
    for n in 2..=6 {
        text +=
            &format!("[backend-server s{n}]\nzone = east\naddress = 127.0.0.1:900{n}\nslots = 1\n");
    }
    apply(&store, &text, 0, "ann");
    store.delay_calls(20);
    thread::scope(|scope| {
        for n in 1..=6 {
            let store = &store;
            scope.spawn(move || {
                let run = with_store(store, &["stop", &format!("s{n}")], "");
                assert_eq!(run.code, 0, "{run:?}");
            });
        }
    });
    store.delay_calls(0);
    assert_eq!(store.list(key::STOPS).len(), 6);
    let serials: Vec<u64> = history(&store).iter().map(|e| e["serial"].as_u64().unwrap()).collect();
    assert_eq!(serials, [7, 6, 5, 4, 3, 2, 1]);
}

/// Another program writes the configuration between the tool's read and its write,
/// without an audit entry. Overwriting it would revert a change that hosts may
/// already have adopted.
#[test]
fn apply_conflict_without_audit_entry() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    let rewritten = store.get(key::CONFIG).unwrap();
    let reads = store.counts().range;
    store.delay_calls(50);
    let run = thread::scope(|scope| {
        let tool =
            scope.spawn(|| apply(&store, &CONFIG.replace("limit = 100", "limit = 7"), 1, "ben"));
        while store.counts().range < reads + 2 {
            thread::yield_now();
        }
        store.put(key::CONFIG, rewritten);
        tool.join().unwrap()
    });
    assert_eq!(run.code, 4, "{run:?}");
    assert_eq!(revision(&store), "1");
}

/// The configuration's key is deleted. The hosts keep revision 2 and adopt only a
/// higher one; a new revision 1 would be reported as in force, but no host would
/// adopt it.
#[test]
fn apply_after_deleted_key() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    apply(&store, &CONFIG.replace("slots = 8", "slots = 9"), 1, "ann");
    store.delete(key::CONFIG);
    let run = apply(&store, CONFIG, 0, "ben");
    assert_eq!(run.code, 4, "{run:?}");
    assert_eq!(apply(&store, CONFIG, 2, "ben").code, 0);
    assert_eq!(revision(&store), "3");
}

#[test]
fn apply_to_empty_store_with_base() {
    let store = StoreStandIn::start().unwrap();
    assert_eq!(apply(&store, CONFIG, 41, "ann").code, 0);
    assert_eq!(revision(&store), "42");
}

#[test]
fn history_reads_all_pages() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    let first = store.list(key::AUDIT).remove(0).1;
    let text = String::from_utf8(first).unwrap();
    for serial in 2..=250 {
        let entry = text.replace("\"serial\":1,", &format!("\"serial\":{serial},"));
        store.put(&format!("{}{serial:020}", key::AUDIT), entry);
    }
    store.put(&format!("{}{:020}", key::AUDIT, 120), "spoilt");
    store.put(key::AUDIT_HEAD, r#"{"next":251}"#);
    let run = with_store(&store, &["history", "--last", "240", "--json"], "");
    let trail: Vec<Value> = serde_json::from_str(&run.out).unwrap();
    assert_eq!((trail.len(), &trail[0]["serial"]), (239, &Value::from(250)));
    assert!(run.err.contains("00120"), "{run:?}");
}

/// Another program writes a configuration that hosts reject, and they keep revision
/// 1. Operators must still be able to stop servers and to apply a valid
/// configuration.
#[test_case("no configuration"; "not parseable")]
#[test_case("[configuration]\nrevision = 9\n"; "fails the check")]
fn apply_over_invalid_value(value: &str) {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    store.put(key::CONFIG, value);
    assert_eq!(with_store(&store, &["show"], "").code, 1);
    assert_eq!(with_store(&store, &["stop", "s1"], "").code, 0);
    assert_eq!(apply(&store, CONFIG, 0, "ben").code, 4);
    let run = apply(&store, CONFIG, 9, "ben");
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(revision(&store), "10");
}

/// Another program restores an old value. Hosts don't adopt it, and a change based
/// on its revision would not be adopted either.
#[test]
fn apply_over_reverted_value() {
    let store = StoreStandIn::start().unwrap();
    apply(&store, CONFIG, 0, "ann");
    let old = store.get(key::CONFIG).unwrap();
    apply(&store, &CONFIG.replace("slots = 8", "slots = 9"), 1, "ann");
    store.put(key::CONFIG, old);
    assert_eq!(apply(&store, CONFIG, 1, "ben").code, 4);
    assert_eq!(apply(&store, CONFIG, 2, "ben").code, 0);
    assert_eq!(revision(&store), "3");
}
