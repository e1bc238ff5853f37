//! Client of the store.

use std::time::Duration;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_wire::adapter::{Adapter, Page, StoreCallError, Swap};
use http::{Request, StatusCode};
use tokio::time::Instant;

use super::http_client::HttpClient;
use super::read_pace::ReadPace;
use super::store_calls::{StoreCalls, StorePurpose};

/// Makes calls to the store.
#[derive(Debug, Clone)]
pub(crate) struct StoreClient {
    /// The HTTP client.
    pub(crate) client: HttpClient,
    /// The platform adapter.
    pub(crate) adapter: &'static Adapter,
    /// Address of the store.
    pub(crate) address: Name,
    /// Timeout of one call, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Counts of the calls.
    pub(crate) calls: StoreCalls,
    /// Pace of the reads.
    pub(crate) pace: ReadPace,
}

impl StoreClient {
    /// Reads the keys with a prefix that follow `after`, as many as the store returns at once.
    pub(crate) async fn read_page(
        &self,
        purpose: StorePurpose,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<Page, StoreCallError> {
        let request = (self.adapter.encode_range)(prefix, after);
        self.call(purpose, request, 0, self.adapter.decode_page).await
    }

    /// Waits for changes after a revision.
    pub(crate) async fn watch(
        &self,
        purpose: StorePurpose,
        prefix: &str,
        after: u64,
        wait_ms: u32,
    ) -> Result<Page, StoreCallError> {
        let request = (self.adapter.encode_watch)(prefix, after, wait_ms);
        self.call(purpose, request, u64::from(wait_ms), self.adapter.decode_page).await
    }

    /// Writes a key if it has the expected revision. Returns its new revision.
    pub(crate) async fn swap(&self, swap: &Swap) -> Result<u64, StoreCallError> {
        let request = (self.adapter.encode_swap)(swap);
        self.call(StorePurpose::Writes, request, 0, self.adapter.decode_swap).await
    }

    /// Makes a call that the store answers within `wait_ms`, and decodes the response.
    async fn call<T>(
        &self,
        purpose: StorePurpose,
        request: Request<Bytes>,
        wait_ms: u64,
        decode: fn(StatusCode, &[u8]) -> Result<T, StoreCallError>,
    ) -> Result<T, StoreCallError> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms + self.timeout_ms);
        let response = self.client.call(&self.address, request, deadline).await;
        let result = response
            .map_err(|_| StoreCallError::Lost)
            .and_then(|(status, body)| decode(status, &body));
        self.calls.record(purpose, result.as_ref().err().copied());
        result
    }
}
