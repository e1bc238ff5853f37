//! The kernel's calls to the store.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_kernel::{Event, StoreOp, StoreResult};
use endivestile_wire::store::compare::{CompareResult, CompareTarget, TargetUnion};
use endivestile_wire::store::request_op::Request;
use endivestile_wire::store::{Compare, PutRequest, RangeRequest, RequestOp, TxnRequest};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedReceiver;

use super::connections::Connections;
use super::error::StoreError;
use crate::inbox::Inbox;

/// Most open calls; the store handles several hundred writes a second for all hosts.
const MAX_OPEN_CALLS: usize = 16;

/// A call of the kernel.
#[derive(Debug)]
pub(crate) struct StoreCall {
    /// Token that the kernel gave to the call.
    pub(crate) op_id: u64,
    /// Operation to execute.
    pub(crate) op: StoreOp,
}

/// Executes the kernel's calls until the engine ends.
pub(crate) async fn serve(
    connections: Connections,
    inbox: Inbox,
    mut calls: UnboundedReceiver<StoreCall>,
) {
    let permits = Arc::new(Semaphore::new(MAX_OPEN_CALLS));
    while let Some(store_call) = calls.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let (connections, inbox) = (connections.clone(), inbox.clone());
        tokio::spawn(async move {
            let result = perform(&connections, store_call.op).await.unwrap_or_else(|e| {
                log::warn!("event=store_call_failed {e}");
                StoreResult::Lost
            });
            inbox.post_event(Event::StoreCallEnded { op_id: store_call.op_id, result });
            drop(permit);
        });
    }
}

async fn perform(connections: &Connections, op: StoreOp) -> Result<StoreResult, StoreError> {
    match op {
        StoreOp::Get { key } => get(connections, &key).await,
        StoreOp::Swap { key, revision, value } => {
            let put = PutRequest { key: key.as_bytes().to_vec(), value: value.to_vec(), lease: 0 };
            compare_and_swap(connections, "swap", revision as i64, put).await
        }
    }
}

/// Reads a key; the revision of an absent one is 0.
pub(crate) async fn get(connections: &Connections, key: &str) -> Result<StoreResult, StoreError> {
    let request = RangeRequest { key: key.as_bytes().to_vec(), ..RangeRequest::default() };
    let mut client = connections.kv_client();
    let answer = connections.call("get", None, client.range(request)).await?.into_inner();
    let stored = answer.kvs.into_iter().next().map_or(
        StoreResult::Value { revision: 0, value: Bytes::new() },
        |kv| StoreResult::Value { revision: kv.mod_revision as u64, value: Bytes::from(kv.value) },
    );
    Ok(stored)
}

/// Writes a key if its last change has the given revision, 0 for an absent key.
pub(crate) async fn compare_and_swap(
    connections: &Connections,
    step: &'static str,
    revision: i64,
    put: PutRequest,
) -> Result<StoreResult, StoreError> {
    let request = TxnRequest {
        compare: vec![has_revision(&put.key, revision)],
        success: vec![RequestOp { request: Some(Request::RequestPut(put)) }],
        failure: Vec::new(),
    };
    let mut client = connections.kv_client();
    let answer = connections.call(step, None, client.txn(request)).await?.into_inner();
    if !answer.succeeded {
        return Ok(StoreResult::Raced);
    }
    let revision = answer.header.map_or(0, |header| header.revision);
    Ok(StoreResult::Swapped(revision as u64))
}

fn has_revision(key: &[u8], revision: i64) -> Compare {
    let (target, union) = if revision == 0 {
        (CompareTarget::Create, TargetUnion::CreateRevision(0))
    } else {
        (CompareTarget::Mod, TargetUnion::ModRevision(revision))
    };
    Compare {
        result: CompareResult::Equal.into(),
        target: target.into(),
        key: key.to_vec(),
        target_union: Some(union),
    }
}
