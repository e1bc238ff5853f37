//! The store's calls as a tonic service.

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

/// A boxed stream of answers.
type Answers<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Numbers the watch streams of this process.
static STREAMS: AtomicU64 = AtomicU64::new(1);

/// Serves the store's calls.
#[derive(Debug, Clone)]
pub(crate) struct StoreService {
    /// State shared with the stand-in's owner.
    pub(crate) shared: Arc<Shared>,
}

impl StoreService {
    fn count(&self, add: impl FnOnce(&mut CallCounts)) {
        add(&mut lock(&self.shared.counts));
    }

    /// Waits, or refuses, as the faults in force say.
    async fn admit(&self) -> Result<(), Status> {
        loop {
            let up = self.shared.up.notified();
            let (fate, delay_ms) = {
                let mut faults = lock(&self.shared.faults);
                (faults.next_action(), faults.delay_ms)
            };
            match fate {
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

    /// Runs a write in a revision of its own, then loses its answer if the faults say so.
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

    fn create(&self, stream: u64, id: i64, request: WatchCreateRequest, sender: &WatchSender) {
        self.count(|counts| counts.watch += 1);
        let mut keyspace = lock(&self.shared.keyspace);
        let header = txn::header(&keyspace);
        let created = WatchResponse { header, watch_id: id, created: true, ..Default::default() };
        // The caller may already be gone; then the watch is dropped at the next event.
        let _ = sender.send(Ok(created));
        let WatchCreateRequest { key, range_end: end, start_revision, .. } = request;
        keyspace.watch(Watcher { stream, id, key, end, sender: sender.clone() }, start_revision);
    }

    /// Serves one watch stream until its caller closes it.
    async fn watches(self, mut requests: Streaming<WatchRequest>, sender: WatchSender) {
        let stream = STREAMS.fetch_add(1, Ordering::Relaxed);
        let mut next = 0;
        while let Some(Ok(request)) = requests.next().await {
            match request.request_union {
                Some(RequestUnion::CreateRequest(request)) => {
                    if let Err(status) = self.admit().await {
                        let _ = sender.send(Err(status));
                        break;
                    }
                    self.create(stream, next, request, &sender);
                    next += 1;
                }
                Some(RequestUnion::CancelRequest(request)) => {
                    lock(&self.shared.keyspace).unwatch(stream, Some(request.watch_id));
                }
                None => {}
            }
        }
        lock(&self.shared.keyspace).unwatch(stream, None);
    }

    async fn keep(&self, id: i64) -> Result<LeaseKeepAliveResponse, Status> {
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
    type WatchStream = Answers<WatchResponse>;

    async fn watch(
        &self,
        req: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(self.clone().watches(req.into_inner(), sender));
        Ok(Response::new(Box::pin(UnboundedReceiverStream::new(receiver))))
    }
}

#[tonic::async_trait]
impl Lease for StoreService {
    type LeaseKeepAliveStream = Answers<LeaseKeepAliveResponse>;

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
                let answer = service.keep(request.id).await;
                let failed = answer.is_err();
                if sender.send(answer).is_err() || failed {
                    break;
                }
            }
        });
        Ok(Response::new(Box::pin(UnboundedReceiverStream::new(receiver))))
    }
}
