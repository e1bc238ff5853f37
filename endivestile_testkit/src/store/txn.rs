//! Single operations and transactions on the keyspace.

use std::cmp::Ordering;

use endivestile_wire::store::compare::{CompareResult, TargetUnion};
use endivestile_wire::store::request_op::Request as Op;
use endivestile_wire::store::response_op::Response as Done;
use endivestile_wire::store::{
    Compare, DeleteRangeRequest, DeleteRangeResponse, KeyValue, PutRequest, PutResponse,
    RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
};
use tonic::Status;

use super::keyspace::Keyspace;

/// Returns a response header with the current revision.
pub(crate) fn header(keyspace: &Keyspace) -> Option<ResponseHeader> {
    Some(ResponseHeader { revision: keyspace.revision(), ..Default::default() })
}

/// Reads a range.
pub(crate) fn range(keyspace: &Keyspace, request: &RangeRequest) -> RangeResponse {
    let mut kvs = keyspace.range(&request.key, &request.range_end);
    let count = kvs.len();
    if request.limit > 0 {
        kvs.truncate(request.limit as usize);
    }
    RangeResponse { header: header(keyspace), more: kvs.len() < count, count: count as i64, kvs }
}

/// Writes a key in the open revision.
///
/// # Errors
/// `NOT_FOUND` when the lease does not exist.
pub(crate) fn put(keyspace: &mut Keyspace, request: PutRequest) -> Result<PutResponse, Status> {
    if !keyspace.put(request.key, request.value, request.lease) {
        return Err(Status::not_found("etcdserver: requested lease not found"));
    }
    Ok(PutResponse { header: header(keyspace) })
}

/// Deletes a range in the open revision.
pub(crate) fn delete(keyspace: &mut Keyspace, request: &DeleteRangeRequest) -> DeleteRangeResponse {
    let deleted = keyspace.delete(&request.key, &request.range_end) as i64;
    DeleteRangeResponse { header: header(keyspace), deleted }
}

/// Runs a transaction in the open revision.
///
/// # Errors
/// Returns the error of the first operation that fails. Unlike in etcd, the
/// operations before it keep their effect.
pub(crate) fn txn(keyspace: &mut Keyspace, request: TxnRequest) -> Result<TxnResponse, Status> {
    let succeeded = request.compare.iter().all(|compare| is_satisfied(keyspace, compare));
    let ops = if succeeded { request.success } else { request.failure };
    let mut responses = Vec::new();
    for op in ops {
        responses.push(ResponseOp { response: apply(keyspace, op)? });
    }
    Ok(TxnResponse { header: header(keyspace), succeeded, responses })
}

fn apply(keyspace: &mut Keyspace, op: RequestOp) -> Result<Option<Done>, Status> {
    Ok(match op.request {
        Some(Op::RequestRange(request)) => Some(Done::ResponseRange(range(keyspace, &request))),
        Some(Op::RequestPut(request)) => Some(Done::ResponsePut(put(keyspace, request)?)),
        Some(Op::RequestDeleteRange(request)) => {
            Some(Done::ResponseDeleteRange(delete(keyspace, &request)))
        }
        None => None,
    })
}

fn is_satisfied(keyspace: &Keyspace, compare: &Compare) -> bool {
    let absent = KeyValue::default();
    let kv = keyspace.get(&compare.key);
    let current = kv.unwrap_or(&absent);
    let order = match &compare.target_union {
        Some(TargetUnion::Version(version)) => current.version.cmp(version),
        Some(TargetUnion::CreateRevision(revision)) => current.create_revision.cmp(revision),
        Some(TargetUnion::ModRevision(revision)) => current.mod_revision.cmp(revision),
        Some(TargetUnion::Lease(lease)) => current.lease.cmp(lease),
        // As in etcd, a value comparison with an absent key is always false.
        Some(TargetUnion::Value(value)) if kv.is_some() => current.value.cmp(value),
        _ => return false,
    };
    match compare.result() {
        CompareResult::Equal => order == Ordering::Equal,
        CompareResult::NotEqual => order != Ordering::Equal,
        CompareResult::Greater => order == Ordering::Greater,
        CompareResult::Less => order == Ordering::Less,
    }
}
