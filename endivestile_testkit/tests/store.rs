//! Tests of the stand-in for the store over the store's own protocol.

use std::time::Duration;

use endivestile_testkit::StoreStandIn;
use endivestile_wire::store::compare::{CompareResult, CompareTarget, TargetUnion};
use endivestile_wire::store::kv_client::KvClient;
use endivestile_wire::store::lease_client::LeaseClient;
use endivestile_wire::store::request_op::Request as Op;
use endivestile_wire::store::watch_client::WatchClient;
use endivestile_wire::store::watch_request::RequestUnion;
use endivestile_wire::store::{
    Compare, LeaseGrantRequest, PutRequest, RequestOp, TxnRequest, WatchCreateRequest, WatchRequest,
};
use tokio::runtime::Builder;
use tokio::time::timeout;
use tonic::transport::Channel;

/// Time limit of each test, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

fn run<F: Future<Output = ()>>(test: impl FnOnce(StoreStandIn, Channel) -> F) {
    let store = StoreStandIn::start().expect("store");
    let address = format!("http://{}", store.address());
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(async {
        let channel = Channel::from_shared(address).expect("address").connect_lazy();
        timeout(Duration::from_millis(TIMEOUT_MS), test(store, channel)).await.expect("in time");
    });
}

fn put(key: &str, value: &str) -> PutRequest {
    PutRequest { key: key.into(), value: value.into(), lease: 0 }
}

fn swap(key: &str, revision: i64, value: &str) -> TxnRequest {
    let compare = Compare {
        result: CompareResult::Equal.into(),
        target: CompareTarget::Mod.into(),
        key: key.into(),
        target_union: Some(TargetUnion::ModRevision(revision)),
    };
    let op = RequestOp { request: Some(Op::RequestPut(put(key, value))) };
    TxnRequest { compare: vec![compare], success: vec![op], failure: vec![] }
}

fn watch(key: &str, start_revision: i64) -> WatchRequest {
    let range_end = endivestile_wire::key::range_end(key);
    let create =
        WatchCreateRequest { key: key.into(), range_end, start_revision, ..Default::default() };
    WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) }
}

#[test]
fn txn_swap() {
    run(|store, channel| async move {
        let mut kv = KvClient::new(channel);
        let first = kv.txn(swap("a", 0, "1")).await.expect("swap").into_inner();
        assert!(first.succeeded);
        let conflict = kv.txn(swap("a", 0, "2")).await.expect("swap").into_inner();
        assert!(!conflict.succeeded);
        assert_eq!(store.get("a"), Some(b"1".to_vec()));
        assert_eq!(conflict.header.expect("header").revision, 1);
        assert_eq!(store.counts().txn, 2);
    });
}

#[test]
fn txn_answer_lost() {
    // The connection breaks after the store has executed a write but before its answer. The
    // writer sees an error although the value has changed.
    run(|store, channel| async move {
        let mut kv = KvClient::new(channel);
        store.lose_answers(1);
        assert!(kv.txn(swap("a", 0, "1")).await.is_err());
        assert_eq!(store.get("a"), Some(b"1".to_vec()));
        assert!(kv.txn(swap("a", 1, "2")).await.expect("swap").into_inner().succeeded);
    });
}

#[test]
fn watch_since_revision_and_prefix() {
    run(|store, channel| async move {
        store.put("a/1", "old");
        let from = store.put("a/2", "kept");
        let requests = tokio_stream::iter([watch("a/", from), watch("b/", 0)]);
        let requests = tokio_stream::StreamExt::chain(requests, tokio_stream::pending());
        let answer = WatchClient::new(channel).watch(requests).await.expect("watch");
        let mut events = answer.into_inner();
        let mut received = vec![];
        let mut created = 0;
        while received.len() < 3 {
            let response = events.message().await.expect("stream").expect("open");
            created += usize::from(response.created);
            for event in response.events {
                received.push((response.watch_id, event.kv.expect("kv").key));
            }
            if created == 2 && received.len() == 1 {
                store.put("b/1", "new");
                store.delete("a/1");
            }
        }
        assert_eq!(received, [(0, b"a/2".to_vec()), (1, b"b/1".to_vec()), (0, b"a/1".to_vec())]);
        assert_eq!(store.counts().waiting, 2);
        // When the store goes down, open watches break so that clients detect the outage.
        store.take_down();
        assert!(events.message().await.is_err());
        assert_eq!(store.counts().waiting, 0);
    });
}

#[test]
fn lease_expires() {
    run(|store, channel| async move {
        let mut leases = LeaseClient::new(channel.clone());
        let grant = LeaseGrantRequest { ttl: 1, id: 0 };
        let id = leases.lease_grant(grant).await.expect("grant").into_inner().id;
        let mut kv = KvClient::new(channel);
        kv.put(PutRequest { lease: id, ..put("host", "e1") }).await.expect("put");
        assert!(store.get("host").is_some());
        while store.get("host").is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // The next write under the expired lease fails.
        assert!(kv.put(PutRequest { lease: id, ..put("host", "e1") }).await.is_err());
    });
}

#[test]
fn put_store_down_then_up() {
    // While the store is down, a write fails at once and changes nothing; after the outage it
    // succeeds. A write to a hanging store is executed after the outage.
    run(|store, channel| async move {
        let mut kv = KvClient::new(channel);
        store.take_down();
        assert!(kv.put(put("a", "1")).await.is_err());
        assert_eq!(store.get("a"), None);
        store.bring_up();
        kv.put(put("a", "1")).await.expect("put");
        store.hang_calls();
        let mut other = kv.clone();
        let hung = tokio::spawn(async move { other.put(put("a", "2")).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!hung.is_finished());
        assert_eq!(store.get("a"), Some(b"1".to_vec()));
        store.bring_up();
        // The hung write is executed once the store is up. The next write waits for it, since
        // concurrent writes may be executed in either order.
        hung.await.expect("no panic").expect("put");
        kv.put(put("a", "3")).await.expect("put");
        assert_eq!(store.get("a"), Some(b"3".to_vec()));
    });
}
