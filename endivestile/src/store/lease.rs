//! The lease of this host's registration.

use endivestile_wire::store::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseRevokeRequest,
};

use super::access::Access;
use super::error::StoreError;
use crate::counters::IoMetric;

/// A lease in the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease(pub(crate) i64);

impl Lease {
    /// Grants a lease that lives for `ttl_s` seconds.
    pub(crate) async fn grant(access: &Access, ttl_s: u64) -> Result<Self, StoreError> {
        let request = LeaseGrantRequest { ttl: ttl_s as i64, id: 0 };
        let mut client = access.leases();
        let call = client.lease_grant(request);
        let answer = access.call("grant", Some(IoMetric::LeaseCalls), call).await?;
        let LeaseGrantResponse { id, .. } = answer.into_inner();
        Ok(Self(id))
    }

    /// Refreshes the lease; returns whether it still lived.
    pub(crate) async fn refresh(self, access: &Access) -> Result<bool, StoreError> {
        let request = LeaseKeepAliveRequest { id: self.0 };
        let mut client = access.leases();
        let refresh = async {
            let requests = tokio_stream::once(request);
            let mut answers = client.lease_keep_alive(requests).await?.into_inner();
            answers.message().await
        };
        let answer = access.call("refresh", Some(IoMetric::LeaseCalls), refresh).await?;
        Ok(answer.is_some_and(|answer| answer.ttl > 0))
    }

    /// Ends the lease and every key under it.
    pub(crate) async fn revoke(self, access: &Access) -> Result<(), StoreError> {
        let mut client = access.leases();
        let call = client.lease_revoke(LeaseRevokeRequest { id: self.0 });
        access.call("revoke", Some(IoMetric::LeaseCalls), call).await.map(|_| ())
    }
}
