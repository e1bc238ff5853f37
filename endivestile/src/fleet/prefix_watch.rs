//! Follows the keys under a prefix of the store: reads all of them, then watches for changes.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use endivestile_kernel::fleet::ReadShare;
use endivestile_wire::adapter::{Item, Page, StoreCallError};
use tokio::time::{Instant, sleep_until};

use super::store_calls::StorePurpose;
use super::store_client::StoreClient;
use crate::clock::jitter_ms;
use crate::store::Backoff;

/// Wait of the first watch after a failed one, in milliseconds: its response shows at once that
/// the store is available again.
const RESUME_WAIT_MS: u32 = 1;
/// Longest delay between two attempts while calls fail, in milliseconds, in a fleet whose retries
/// at that interval are within its share of the store's rate.
const MAX_RETRY_MS: u64 = 300;

/// How a watch continues after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Watch for further changes.
    Watch,
    /// Read all keys again.
    Reload,
}

/// Handles the keys under a prefix.
pub(crate) trait KeyHandler: Send + 'static {
    /// Handles the new value of a key; `None` if the key was deleted.
    fn handle_key(&mut self, key: &str, revision: u64, value: Option<Bytes>);

    /// Called after a full read, when all keys have been handled as of `revision` of the store.
    fn handle_loaded(&mut self, revision: u64) {
        let _ = revision;
    }

    /// Called when the store has answered, after its changes were handled, and with
    /// `up` false when a call failed.
    fn handle_store_state(&mut self, up: bool);

    /// Returns the share of the store's read rate that these reads belong to.
    fn read_share(&self) -> ReadShare;

    /// Returns whether the pages of a full read keep to the read share too, and not only the
    /// watches.
    fn paces_pages(&self) -> bool {
        false
    }

    /// Returns the longest wait of the next watch, in milliseconds.
    fn watch_wait_ms(&self) -> u32;

    /// Waits after a response with that many changes until the next call may be made.
    fn pause_after(&mut self, changes: usize) -> impl Future<Output = NextStep> + Send {
        let _ = changes;
        async { NextStep::Watch }
    }

    /// Waits until all keys may be read.
    fn pause_before_load(&mut self) -> impl Future<Output = ()> + Send {
        async {}
    }

    /// Completes when the current read or watch has to be abandoned and all keys read again.
    fn reload_requested(&self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// The keys under a prefix and their last handled revisions.
struct PrefixWatch<S> {
    purpose: StorePurpose,
    prefix: String,
    store: StoreClient,
    handler: S,
    backoff: Backoff,
    revisions: HashMap<String, u64>,
}

/// Follows a prefix until the process ends.
pub(crate) async fn run<S: KeyHandler>(
    purpose: StorePurpose,
    prefix: String,
    store: StoreClient,
    handler: S,
) {
    let (backoff, revisions) = (Backoff::new(MAX_RETRY_MS), HashMap::new());
    let mut prefix_watch = PrefixWatch { purpose, prefix, store, handler, backoff, revisions };
    loop {
        if let Some(revision) = prefix_watch.load().await {
            prefix_watch.watch_from(revision).await;
        }
    }
}

impl<S: KeyHandler> PrefixWatch<S> {
    /// Reads all keys; returns the revision from which to watch, or `None` if the read was
    /// abandoned.
    ///
    /// After a failed call the read continues where it was: while the store refuses a part of
    /// all calls, a read of many pages that started again each time would never end.
    async fn load(&mut self) -> Option<u64> {
        self.handler.pause_before_load().await;
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            if !self.pause_before_page(items.is_empty()).await {
                return None;
            }
            let after = items.last().map(|item| item.key.as_str());
            let page = match self.store.read_page(self.purpose, &self.prefix, after).await {
                Ok(page) => page,
                Err(fault) => {
                    self.handle_failure("read-keys", fault).await;
                    continue;
                }
            };
            self.backoff.reset();
            // The pages are not a snapshot: a watch from the revision of the first
            // page returns what changes between two of them.
            let first = *revision.get_or_insert(page.store_revision);
            let more = page.more && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                self.handle_page(Page { items, more: false, store_revision: first });
                return Some(first);
            }
        }
    }

    /// Keeps the pages of a read to the read share. Returns `false` if the read is abandoned.
    async fn pause_before_page(&self, is_first: bool) -> bool {
        if !self.handler.paces_pages() {
            return true;
        }
        let interval_ms = self.store.pace.interval_ms(self.handler.read_share());
        // Hosts that start together do not read together.
        let pause_ms = if is_first { jitter_ms(interval_ms) } else { interval_ms };
        let end = Instant::now() + Duration::from_millis(pause_ms);
        tokio::select! {
            () = sleep_until(end) => true,
            () = self.handler.reload_requested() => false,
        }
    }

    /// Watches from a revision until all keys have to be read again.
    async fn watch_from(&mut self, mut revision: u64) {
        let mut changes = 0;
        let mut resuming = false;
        let mut next_call = Instant::now();
        loop {
            if !resuming {
                self.handler.handle_store_state(true);
                if self.handler.pause_after(changes).await == NextStep::Reload {
                    return;
                }
                sleep_until(next_call).await;
            }
            let wait_ms = if resuming { RESUME_WAIT_MS } else { self.handler.watch_wait_ms() };
            let interval_ms = self.store.pace.interval_ms(self.handler.read_share());
            next_call = Instant::now() + Duration::from_millis(interval_ms);
            let response = self.store.watch(self.purpose, &self.prefix, revision, wait_ms);
            let watched = tokio::select! {
                watched = response => watched,
                () = self.handler.reload_requested() => return,
            };
            match watched {
                Ok(page) => {
                    self.backoff.reset();
                    resuming = false;
                    revision = page.store_revision.max(revision);
                    changes = page.items.len();
                    page.items.into_iter().for_each(|item| self.handle_item(item));
                }
                // The changes that were missed are covered by reading all keys again.
                Err(StoreCallError::Compacted) => return self.backoff.wait().await,
                // The changes are still in the store's history.
                Err(fault) => {
                    resuming = true;
                    self.handle_failure("watch", fault).await;
                }
            }
        }
    }

    /// Reports a failed call, and waits until the next attempt.
    async fn handle_failure(&mut self, step: &str, fault: StoreCallError) {
        log::debug!("event=store_call_failed step={step} fault={fault:?}");
        self.handler.handle_store_state(false);
        let interval_ms = self.store.pace.interval_ms(self.handler.read_share());
        self.backoff.set_limit(MAX_RETRY_MS.max(interval_ms));
        self.backoff.wait().await;
    }

    /// Handles the changes since the last full state. Keys may have been deleted
    /// between two watches, so a missing key counts as deleted.
    fn handle_page(&mut self, page: Page) {
        let mut missing = self.revisions.clone();
        for item in page.items {
            missing.remove(&item.key);
            self.handle_item(item);
        }
        for key in missing.into_keys() {
            self.handle_item(Item { key, value: None, revision: page.store_revision });
        }
        self.handler.handle_loaded(page.store_revision);
    }

    fn handle_item(&mut self, item: Item) {
        let last_revision = self.revisions.get(&item.key).copied().unwrap_or(0);
        if item.revision <= last_revision {
            return;
        }
        if item.value.is_some() {
            self.revisions.insert(item.key.clone(), item.revision);
        } else {
            self.revisions.remove(&item.key);
        }
        self.handler.handle_key(&item.key, item.revision, item.value);
    }
}
