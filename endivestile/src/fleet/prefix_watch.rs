//! Keeps up with the keys of a prefix: reads them all, then watches.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use endivestile_wire::adapter::{Item, Page, StoreCallError};
use tokio::time::sleep;

use super::store_client::StoreClient;

/// Longest wait of one watch, in milliseconds. A connection that has gone
/// silent delays what it would have told by this and the time for one call, so
/// that a new configuration is in force within its two seconds.
const WAIT_MS: u32 = 900;
/// Pause after a call that failed, in milliseconds.
const RETRY_MS: u64 = 100;
/// Longest pause after calls that failed, in milliseconds.
const RETRY_MAX_MS: u64 = 300;

/// How a feed goes on after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// It watches for further changes.
    Watch,
    /// It reads everything anew.
    Reload,
}

/// Why a feed stopped watching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// A call failed; `answered` if another one had an answer before.
    Failed { answered: bool },
    /// Everything is to be read anew.
    Reload,
}

/// What is done with the keys of a prefix.
pub(crate) trait KeyHandler: Send + 'static {
    /// A key has this value now; none once it was deleted.
    fn on_key(&mut self, key: &str, revision: u64, value: Option<Bytes>);

    /// All keys have been told as they stood at one time, at this revision of the store.
    fn on_loaded(&mut self, revision: u64) {
        let _ = revision;
    }

    /// The store answers, or does not; all that it had to say so far has been told.
    fn on_store_state(&mut self, up: bool);

    /// Returns the longest wait of the next watch, in milliseconds.
    fn watch_wait_ms(&self) -> u32 {
        WAIT_MS
    }

    /// Waits until the feed may go on after an answer with so many changes.
    fn pause_after(&mut self, changes: usize) -> impl Future<Output = NextStep> + Send {
        let _ = changes;
        async { NextStep::Watch }
    }

    /// Returns when a watch that is under way is to be given up and everything read anew.
    fn reload_requested(&self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Keys as they were last told.
struct Feed<S> {
    prefix: String,
    reader: StoreClient,
    sink: S,
    known: HashMap<String, u64>,
}

/// Keeps up with a prefix until the process ends.
pub(crate) async fn run<S: KeyHandler>(prefix: String, reader: StoreClient, sink: S) {
    let mut feed = Feed { prefix, reader, sink, known: HashMap::new() };
    let mut pause = RETRY_MS;
    loop {
        match feed.follow().await {
            Stop::Reload => continue,
            Stop::Failed { answered: true } => pause = RETRY_MS,
            Stop::Failed { answered: false } => {}
        }
        feed.sink.on_store_state(false);
        sleep(Duration::from_millis(pause)).await;
        pause = (pause * 2).min(RETRY_MAX_MS);
    }
}

impl<S: KeyHandler> Feed<S> {
    /// Reads everything and watches.
    async fn follow(&mut self) -> Stop {
        let page = match self.reader.range(&self.prefix).await {
            Ok(page) => page,
            Err(fault) => {
                log::debug!("event=store_call_failed step=read-keys fault={fault:?}");
                return Stop::Failed { answered: false };
            }
        };
        let mut at = page.store_revision;
        let mut changes = 0;
        self.load(page);
        loop {
            self.sink.on_store_state(true);
            if self.sink.pause_after(changes).await == NextStep::Reload {
                return Stop::Reload;
            }
            let watch = self.reader.watch(&self.prefix, at, self.sink.watch_wait_ms());
            let watched = tokio::select! {
                watched = watch => watched,
                () = self.sink.reload_requested() => return Stop::Reload,
            };
            match watched {
                Ok(page) => {
                    at = page.store_revision.max(at);
                    changes = page.items.len();
                    page.items.into_iter().for_each(|item| self.put(item));
                }
                // What was missed is read anew.
                Err(StoreCallError::Compacted) => return Stop::Failed { answered: true },
                Err(fault) => {
                    log::debug!("event=store_call_failed step=watch fault={fault:?}");
                    return Stop::Failed { answered: true };
                }
            }
        }
    }

    /// Tells what changed against the whole state. Keys may have been deleted
    /// while nobody watched; what is missing counts as deleted.
    fn load(&mut self, page: Page) {
        let mut gone = self.known.clone();
        for item in page.items {
            gone.remove(&item.key);
            self.put(item);
        }
        for key in gone.into_keys() {
            self.put(Item { key, value: None, revision: page.store_revision });
        }
        self.sink.on_loaded(page.store_revision);
    }

    fn put(&mut self, item: Item) {
        let known = self.known.get(&item.key).copied().unwrap_or(0);
        if item.revision <= known {
            return;
        }
        if item.value.is_some() {
            self.known.insert(item.key.clone(), item.revision);
        } else {
            self.known.remove(&item.key);
        }
        self.sink.on_key(&item.key, item.revision, item.value);
    }
}
