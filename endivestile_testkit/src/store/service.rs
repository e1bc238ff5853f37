//! gRPC service of the store.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use endivestile_wire::store::kv_server::Kv;
use endivestile_wire::store::lease_server::Lease;
use endivestile_wire::store::watch_request::RequestUnion;
use endivestile_wire::store::watch_server::Watch;
use endivestile_wire::store::{
    DeleteRangeRequest, DeleteRangeResponse, LeaseGrantRequest, LeaseGrantResponse,
    LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse,
    PutRequest, PutResponse, RangeRequest, RangeResponse, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchRequest, WatchResponse,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};

use super::fault::{CallAction, CallCounts};
use super::keyspace::Keyspace;
use super::watcher::{WatchSender, Watcher};
use super::{Shared, txn};
use crate::lock::lock;

/// A boxed stream of responses.
type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Number of the next watch stream in this process.
static NEXT_STREAM: AtomicU64 = AtomicU64::new(1);

/// Implements the store's services.
#[derive(Debug, Clone)]
pub(crate) struct StoreService {
    /// State shared with the test's handle.
    pub(crate) shared: Arc<Shared>,
}

impl StoreService {
    fn count(&self, add: impl FnOnce(&mut CallCounts)) {
        add(&mut lock(&self.shared.counts));
    }

    /// Delays, blocks or refuses a call according to the injected faults.
    async fn admit(&self) -> Result<(), Status> {
        loop {
            let up = self.shared.up.notified();
            let (action, delay_ms) = {
                let mut faults = lock(&self.shared.faults);
                (faults.next_action(), faults.delay_ms)
            };
            match action {
                CallAction::Hang => up.await,
                CallAction::Refuse => return Err(Status::unavailable("store refuses")),
                CallAction::Serve => {
                    if delay_ms > 0 {
                        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    }
                    return Ok(());
                }
            }
        }
    }

    /// Runs a write in its own revision, and drops its answer if that fault is injected.
    async fn write<T>(
        &self,
        run: impl FnOnce(&mut Keyspace) -> Result<T, Status>,
    ) -> Result<Response<T>, Status> {
        self.admit().await?;
        let (result, sent) = {
            let mut keyspace = lock(&self.shared.keyspace);
            let result = run(&mut keyspace);
            (result, keyspace.commit())
        };
        self.count(|counts| counts.events += sent);
        if lock(&self.shared.faults).loses_answer() {
            return Err(Status::unavailable("connection reset after the write"));
        }
        result.map(Response::new)
    }

    fn create_watch(
        &self,
        stream: u64,
        id: i64,
        request: WatchCreateRequest,
        sender: &WatchSender,
    ) {
        self.count(|counts| counts.watch += 1);
        let mut keyspace = lock(&self.shared.keyspace);
        let header = txn::header(&keyspace);
        let created = WatchResponse { header, watch_id: id, created: true, ..Default::default() };
        // Sending fails when the caller is gone. The watch is then removed at the next event.
        let _ = sender.send(Ok(created));
        let WatchCreateRequest { key, range_end: end, start_revision, .. } = request;
        keyspace.watch(Watcher { stream, id, key, end, sender: sender.clone() }, start_revision);
    }

    /// Serves a watch stream until its caller closes it.
    async fn serve_watches(self, mut requests: Streaming<WatchRequest>, sender: WatchSender) {
        let stream = NEXT_STREAM.fetch_add(1, Ordering::Relaxed);
        let mut next_id = 0;
        while let Some(Ok(request)) = requests.next().await {
            match request.request_union {
                Some(RequestUnion::CreateRequest(request)) => {
                    if let Err(status) = self.admit().await {
                        let _ = sender.send(Err(status));
                        break;
                    }
                    self.create_watch(stream, next_id, request, &sender);
                    next_id += 1;
                }
                Some(RequestUnion::CancelRequest(request)) => {
                    lock(&self.shared.keyspace).unwatch(stream, Some(request.watch_id));
                }
                None => {}
            }
        }
        lock(&self.shared.keyspace).unwatch(stream, None);
    }

    async fn renew_lease(&self, id: i64) -> Result<LeaseKeepAliveResponse, Status> {
        self.count(|counts| counts.keepalive += 1);
        self.admit().await?;
        let mut keyspace = lock(&self.shared.keyspace);
        let ttl = keyspace.keep_alive(id);
        Ok(LeaseKeepAliveResponse { header: txn::header(&keyspace), id, ttl })
    }
}

#[tonic::async_trait]
impl Kv for StoreService {
    async fn range(&self, req: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        self.count(|counts| counts.range += 1);
        self.admit().await?;
        Ok(Response::new(txn::range(&lock(&self.shared.keyspace), req.get_ref())))
    }

    async fn put(&self, req: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.count(|counts| counts.put += 1);
        self.write(|keyspace| txn::put(keyspace, req.into_inner())).await
    }

    async fn delete_range(
        &self,
        req: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        self.count(|counts| counts.delete += 1);
        self.write(|keyspace| Ok(txn::delete(keyspace, req.get_ref()))).await
    }

    async fn txn(&self, req: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        self.count(|counts| counts.txn += 1);
        self.write(|keyspace| txn::txn(keyspace, req.into_inner())).await
    }
}

#[tonic::async_trait]
impl Watch for StoreService {
    type WatchStream = ResponseStream<WatchResponse>;

    async fn watch(
        &self,
        req: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(self.clone().serve_watches(req.into_inner(), sender));
        Ok(Response::new(Box::pin(UnboundedReceiverStream::new(receiver))))
    }
}

#[tonic::async_trait]
impl Lease for StoreService {
    type LeaseKeepAliveStream = ResponseStream<LeaseKeepAliveResponse>;

    async fn lease_grant(
        &self,
        req: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.count(|counts| counts.lease += 1);
        let LeaseGrantRequest { ttl, id } = req.into_inner();
        self.write(|keyspace| {
            let id = keyspace.grant(ttl, id);
            let header = txn::header(keyspace);
            Ok(LeaseGrantResponse { header, id, ttl, ..Default::default() })
        })
        .await
    }

    async fn lease_revoke(
        &self,
        req: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.count(|counts| counts.lease += 1);
        self.admit().await?;
        let mut keyspace = lock(&self.shared.keyspace);
        let sent = keyspace.revoke(req.get_ref().id);
        self.count(|counts| counts.events += sent);
        Ok(Response::new(LeaseRevokeResponse { header: txn::header(&keyspace) }))
    }

    async fn lease_keep_alive(
        &self,
        req: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let service = self.clone();
        let mut requests = req.into_inner();
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(Ok(request)) = requests.next().await {
                let answer = service.renew_lease(request.id).await;
                let failed = answer.is_err();
                if sender.send(answer).is_err() || failed {
                    break;
                }
            }
        });
        Ok(Response::new(Box::pin(UnboundedReceiverStream::new(receiver))))
    }
}
