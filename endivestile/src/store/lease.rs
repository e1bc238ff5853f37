//! The lease of this host's registration.

use endivestile_wire::store::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseRevokeRequest,
};

use super::connections::Connections;
use super::error::StoreError;
use crate::counters::IoMetric;

/// Id of a lease in the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease(pub(crate) i64);

impl Lease {
    /// Requests a lease that expires after `ttl_s` seconds without a renewal.
    pub(crate) async fn grant(connections: &Connections, ttl_s: u64) -> Result<Self, StoreError> {
        let request = LeaseGrantRequest { ttl: ttl_s as i64, id: 0 };
        let mut client = connections.lease_client();
        let call = client.lease_grant(request);
        let answer = connections.call("grant", Some(IoMetric::LeaseCalls), call).await?;
        let LeaseGrantResponse { id, .. } = answer.into_inner();
        Ok(Self(id))
    }

    /// Renews the lease. Returns whether it was still valid.
    pub(crate) async fn renew(self, connections: &Connections) -> Result<bool, StoreError> {
        let request = LeaseKeepAliveRequest { id: self.0 };
        let mut client = connections.lease_client();
        let renewal = async {
            let requests = tokio_stream::once(request);
            let mut answers = client.lease_keep_alive(requests).await?.into_inner();
            answers.message().await
        };
        let answer = connections.call("refresh", Some(IoMetric::LeaseCalls), renewal).await?;
        Ok(answer.is_some_and(|answer| answer.ttl > 0))
    }

    /// Revokes the lease, which deletes every key written under it.
    pub(crate) async fn revoke(self, connections: &Connections) -> Result<(), StoreError> {
        let mut client = connections.lease_client();
        let call = client.lease_revoke(LeaseRevokeRequest { id: self.0 });
        connections.call("revoke", Some(IoMetric::LeaseCalls), call).await.map(|_| ())
    }
}
