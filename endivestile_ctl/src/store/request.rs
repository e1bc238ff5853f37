//! Builds parts of requests to the store.

use endivestile_wire::key;
use endivestile_wire::store::compare::{CompareResult, CompareTarget, TargetUnion};
use endivestile_wire::store::request_op::Request as Op;
use endivestile_wire::store::response_op::Response as Done;
use endivestile_wire::store::{
    Compare, DeleteRangeRequest, KeyValue, PutRequest, RangeRequest, RequestOp, ResponseOp,
};

/// Returns a read of one key.
pub(crate) fn key_range(key: &str) -> RangeRequest {
    RangeRequest { key: key.into(), ..RangeRequest::default() }
}

/// Returns a read of up to `limit` keys under `prefix`, starting at `from`.
pub(crate) fn prefix_range(prefix: &str, from: &str, limit: i64) -> RangeRequest {
    let range_end = key::range_end(prefix);
    RangeRequest { key: from.into(), range_end, limit, ..RangeRequest::default() }
}

/// Returns a condition that the last change of a key has this revision; 0 requires it absent.
pub(crate) fn compare_mod_revision(key: &str, revision: i64) -> Compare {
    Compare {
        result: CompareResult::Equal.into(),
        target: CompareTarget::Mod.into(),
        key: key.into(),
        target_union: Some(TargetUnion::ModRevision(revision)),
    }
}

/// Returns a write of one key.
pub(crate) fn put(key: &str, value: Vec<u8>) -> RequestOp {
    let put = PutRequest { key: key.into(), value, lease: 0 };
    RequestOp { request: Some(Op::RequestPut(put)) }
}

/// Returns a delete of one key.
pub(crate) fn delete(key: &str) -> RequestOp {
    let delete = DeleteRangeRequest { key: key.into(), range_end: Vec::new() };
    RequestOp { request: Some(Op::RequestDeleteRange(delete)) }
}

/// Returns the first key of a read within a transaction; `None` if it found none.
pub(crate) fn first_kv(response: Option<ResponseOp>) -> Option<KeyValue> {
    match response?.response? {
        Done::ResponseRange(range) => range.kvs.into_iter().next(),
        _ => None,
    }
}
