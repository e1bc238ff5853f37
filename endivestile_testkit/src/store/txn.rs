//! Compares and operations of a transaction.

use std::cmp::Ordering;

use endivestile_wire::store::compare::{CompareResult, TargetUnion};
use endivestile_wire::store::request_op::Request as Op;
use endivestile_wire::store::response_op::Response as Done;
use endivestile_wire::store::{
    Compare, DeleteRangeRequest, DeleteRangeResponse, KeyValue, PutRequest, PutResponse,
    RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
};
use tonic::Status;

use super::tree::Tree;

/// Returns the header of an answer of now.
pub(crate) fn header(tree: &Tree) -> Option<ResponseHeader> {
    Some(ResponseHeader { revision: tree.revision(), ..Default::default() })
}

/// Reads a range.
pub(crate) fn range(tree: &Tree, request: &RangeRequest) -> RangeResponse {
    let mut kvs = tree.range(&request.key, &request.range_end);
    let count = kvs.len();
    if request.limit > 0 {
        kvs.truncate(request.limit as usize);
    }
    RangeResponse { header: header(tree), more: kvs.len() < count, count: count as i64, kvs }
}

/// Writes a key within the open revision.
///
/// # Errors
/// `NOT_FOUND` when the lease is not known.
pub(crate) fn put(tree: &mut Tree, request: PutRequest) -> Result<PutResponse, Status> {
    if !tree.put(request.key, request.value, request.lease) {
        return Err(Status::not_found("etcdserver: requested lease not found"));
    }
    Ok(PutResponse { header: header(tree) })
}

/// Deletes a range within the open revision.
pub(crate) fn delete(tree: &mut Tree, request: &DeleteRangeRequest) -> DeleteRangeResponse {
    let deleted = tree.delete(&request.key, &request.range_end) as i64;
    DeleteRangeResponse { header: header(tree), deleted }
}

/// Runs a transaction within the open revision.
///
/// # Errors
/// Those of its operations; unlike etcd, operations before the failing one stay.
pub(crate) fn txn(tree: &mut Tree, request: TxnRequest) -> Result<TxnResponse, Status> {
    let succeeded = request.compare.iter().all(|compare| holds(tree, compare));
    let ops = if succeeded { request.success } else { request.failure };
    let mut responses = Vec::new();
    for op in ops {
        responses.push(ResponseOp { response: apply(tree, op)? });
    }
    Ok(TxnResponse { header: header(tree), succeeded, responses })
}

fn apply(tree: &mut Tree, op: RequestOp) -> Result<Option<Done>, Status> {
    Ok(match op.request {
        Some(Op::RequestRange(request)) => Some(Done::ResponseRange(range(tree, &request))),
        Some(Op::RequestPut(request)) => Some(Done::ResponsePut(put(tree, request)?)),
        Some(Op::RequestDeleteRange(request)) => {
            Some(Done::ResponseDeleteRange(delete(tree, &request)))
        }
        None => None,
    })
}

fn holds(tree: &Tree, compare: &Compare) -> bool {
    let absent = KeyValue::default();
    let kv = tree.get(&compare.key);
    let known = kv.unwrap_or(&absent);
    let order = match &compare.target_union {
        Some(TargetUnion::Version(version)) => known.version.cmp(version),
        Some(TargetUnion::CreateRevision(revision)) => known.create_revision.cmp(revision),
        Some(TargetUnion::ModRevision(revision)) => known.mod_revision.cmp(revision),
        Some(TargetUnion::Lease(lease)) => known.lease.cmp(lease),
        // As in etcd, no compare of a value holds for an absent key.
        Some(TargetUnion::Value(value)) if kv.is_some() => known.value.cmp(value),
        _ => return false,
    };
    match compare.result() {
        CompareResult::Equal => order == Ordering::Equal,
        CompareResult::NotEqual => order != Ordering::Equal,
        CompareResult::Greater => order == Ordering::Greater,
        CompareResult::Less => order == Ordering::Less,
    }
}
