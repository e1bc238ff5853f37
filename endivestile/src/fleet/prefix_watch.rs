//! Follows the keys under a prefix of the store: reads all of them, then watches for changes.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use endivestile_wire::adapter::{Item, Page, StoreCallError};
use tokio::time::sleep;

use super::store_calls::StorePurpose;
use super::store_client::StoreClient;

/// Longest wait of one watch, in milliseconds. An unresponsive connection delays
/// changes by this and the timeout of one call, so that a new configuration
/// still applies within its limit of two seconds.
const MAX_WATCH_WAIT_MS: u32 = 900;
/// Pause after a failed call, in milliseconds; doubled with each further failure.
const MIN_RETRY_MS: u64 = 100;
/// Longest pause after failed calls, in milliseconds.
const MAX_RETRY_MS: u64 = 300;

/// How a watch continues after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Watch for further changes.
    Watch,
    /// Read all keys again.
    Reload,
}

/// Why watching ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchEnd {
    /// A call failed; `answered` if the read before it had succeeded.
    Failed { answered: bool },
    /// All keys have to be read again.
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

    /// Returns the longest wait of the next watch, in milliseconds.
    fn watch_wait_ms(&self) -> u32 {
        MAX_WATCH_WAIT_MS
    }

    /// Waits after a response with that many changes until the next call may be made.
    fn pause_after(&mut self, changes: usize) -> impl Future<Output = NextStep> + Send {
        let _ = changes;
        async { NextStep::Watch }
    }

    /// Completes when the current watch has to be cancelled and all keys read again.
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
    revisions: HashMap<String, u64>,
}

/// Follows a prefix until the process ends.
pub(crate) async fn run<S: KeyHandler>(
    purpose: StorePurpose,
    prefix: String,
    store: StoreClient,
    handler: S,
) {
    let revisions = HashMap::new();
    let mut prefix_watch = PrefixWatch { purpose, prefix, store, handler, revisions };
    let mut pause = MIN_RETRY_MS;
    loop {
        match prefix_watch.load_and_watch().await {
            WatchEnd::Reload => continue,
            WatchEnd::Failed { answered: true } => pause = MIN_RETRY_MS,
            WatchEnd::Failed { answered: false } => {}
        }
        prefix_watch.handler.handle_store_state(false);
        sleep(Duration::from_millis(pause)).await;
        pause = (pause * 2).min(MAX_RETRY_MS);
    }
}

impl<S: KeyHandler> PrefixWatch<S> {
    /// Reads all keys, then watches until that fails or they have to be read again.
    async fn load_and_watch(&mut self) -> WatchEnd {
        let page = match self.store.range(self.purpose, &self.prefix).await {
            Ok(page) => page,
            Err(fault) => {
                log::debug!("event=store_call_failed step=read-keys fault={fault:?}");
                return WatchEnd::Failed { answered: false };
            }
        };
        let mut revision = page.store_revision;
        let mut changes = 0;
        self.handle_page(page);
        loop {
            self.handler.handle_store_state(true);
            if self.handler.pause_after(changes).await == NextStep::Reload {
                return WatchEnd::Reload;
            }
            let wait_ms = self.handler.watch_wait_ms();
            let response = self.store.watch(self.purpose, &self.prefix, revision, wait_ms);
            let watched = tokio::select! {
                watched = response => watched,
                () = self.handler.reload_requested() => return WatchEnd::Reload,
            };
            match watched {
                Ok(page) => {
                    revision = page.store_revision.max(revision);
                    changes = page.items.len();
                    page.items.into_iter().for_each(|item| self.handle_item(item));
                }
                // The changes that were missed are covered by reading all keys again.
                Err(StoreCallError::Compacted) => return WatchEnd::Failed { answered: true },
                Err(fault) => {
                    log::debug!("event=store_call_failed step=watch fault={fault:?}");
                    return WatchEnd::Failed { answered: true };
                }
            }
        }
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
