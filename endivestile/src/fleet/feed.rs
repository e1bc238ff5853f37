//! Keeps up with the keys of a prefix: reads them all, then watches.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use endivestile_wire::adapter::{Item, Page, StoreFault};
use tokio::time::sleep;

use super::reader::Reader;

/// Longest wait of one watch, in milliseconds. A connection that has gone
/// silent delays what it would have told by this and the time for one call, so
/// that a new configuration is in force within its two seconds.
const WAIT_MS: u32 = 900;
/// Events of one answer from which on more of them wait: the next watch begins without a
/// pause, or the feed falls behind where events come faster than it pauses.
const BEHIND_ITEMS: usize = 400;
/// Pause after a call that failed, in milliseconds.
const RETRY_MS: u64 = 100;
/// Longest pause after calls that failed, in milliseconds.
const RETRY_MAX_MS: u64 = 300;

/// What is done with the keys of a prefix.
pub(crate) trait Sink: Send + 'static {
    /// A key has this value now; none once it was deleted.
    fn tell(&mut self, key: &str, revision: u64, value: Option<Bytes>);

    /// All keys have been told as they stood at one time.
    fn loaded(&mut self) {}

    /// The store answers, or does not; all that it had to say so far has been told.
    fn store(&mut self, up: bool);

    /// Returns the longest wait of the next watch, in milliseconds.
    fn wait_ms(&self) -> u32 {
        WAIT_MS
    }

    /// Returns once the next watch may begin.
    fn ready(&self) -> impl Future<Output = ()> + Send {
        async {}
    }

    /// Returns when a watch that is under way is to be begun anew with another wait.
    fn hurry(&self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Keys as they were last told.
struct Feed<S> {
    prefix: String,
    reader: Reader,
    sink: S,
    known: HashMap<String, u64>,
}

/// Keeps up with a prefix until the process ends.
pub(crate) async fn run<S: Sink>(prefix: String, reader: Reader, sink: S) {
    let mut feed = Feed { prefix, reader, sink, known: HashMap::new() };
    let mut pause = RETRY_MS;
    loop {
        if feed.follow().await {
            pause = RETRY_MS;
        }
        feed.sink.store(false);
        sleep(Duration::from_millis(pause)).await;
        pause = (pause * 2).min(RETRY_MAX_MS);
    }
}

impl<S: Sink> Feed<S> {
    /// Reads everything and watches until a call fails; says whether one succeeded.
    async fn follow(&mut self) -> bool {
        let page = match self.reader.range(&self.prefix).await {
            Ok(page) => page,
            Err(fault) => {
                log::debug!("event=store_call_failed step=read-keys fault={fault:?}");
                return false;
            }
        };
        let mut at = page.at;
        let mut behind = false;
        self.load(page);
        loop {
            self.sink.store(true);
            if !behind {
                self.sink.ready().await;
            }
            let watch = self.reader.watch(&self.prefix, at, self.sink.wait_ms());
            let watched = tokio::select! {
                watched = watch => watched,
                () = self.sink.hurry() => continue,
            };
            match watched {
                Ok(page) => {
                    at = page.at.max(at);
                    behind = page.items.len() >= BEHIND_ITEMS;
                    page.items.into_iter().for_each(|item| self.put(item));
                }
                // What was missed is read anew.
                Err(StoreFault::Compacted) => return true,
                Err(fault) => {
                    log::debug!("event=store_call_failed step=watch fault={fault:?}");
                    return true;
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
            self.put(Item { key, value: None, revision: page.at });
        }
        self.sink.loaded();
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
        self.sink.tell(&item.key, item.revision, item.value);
    }
}
