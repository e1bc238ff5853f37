//! Watches the store: the system's own keys and the platform's list.

use endivestile_kernel::Event as Input;
use endivestile_wire::key;
use endivestile_wire::store::event::EventType;
use endivestile_wire::store::watch_request::RequestUnion;
use endivestile_wire::store::{
    KeyValue, RangeRequest, WatchCreateRequest, WatchRequest, WatchResponse,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use super::Context;
use super::backoff::Backoff;
use super::change_feed::ChangeFeed;
use super::connections::Connections;
use super::error::StoreError;
use crate::counters::IoMetric;

/// First keys of the watched ranges, and prefixes that end them. The audit
/// trail sorts before the configuration and is left out: no host needs it.
const RANGES: [(&str, &str); 2] =
    [(key::CONFIG, key::STOPS), (key::PLATFORM_HOSTS, key::PLATFORM_HOSTS)];

/// Reads and watches until the process ends.
pub(crate) async fn run(connections: Connections, desk: Context) {
    let mut feed = ChangeFeed::new(desk.inbox.clone(), desk.checker.clone());
    let mut backoff = Backoff::new(desk.settings.backoff_ms);
    let mut session = Session { connections, desk, up: false };
    let mut first = true;
    loop {
        let Err(e) = session.run(&mut feed, &mut backoff).await;
        // One line for an outage; its further attempts would bury the rest.
        let level = if session.up || first { log::Level::Warn } else { log::Level::Debug };
        log::log!(level, "event=store_down {e}");
        first = false;
        if session.up {
            session.up = false;
            session.desk.inbox.post_event(Input::StoreAvailable(false));
        }
        backoff.wait().await;
    }
}

/// Nothing: a session ends by an error only.
enum Never {}

/// One span in which the watch stands.
struct Session {
    /// The store.
    connections: Connections,
    /// What all tasks share.
    desk: Context,
    /// Whether the kernel was told that the watch stands.
    up: bool,
}

impl Session {
    /// Reads the whole state, then follows its changes from there.
    async fn run(
        &mut self,
        feed: &mut ChangeFeed,
        backoff: &mut Backoff,
    ) -> Result<Never, StoreError> {
        let (values, revision) = self.load().await?;
        feed.reconcile(values);
        let (requests, queue) = mpsc::channel(RANGES.len());
        for (first, last) in RANGES {
            let _ = requests.try_send(create(first, last, revision + 1));
        }
        let mut client = self.connections.watch_client();
        let open = client.watch(ReceiverStream::new(queue));
        let tally = Some(IoMetric::WatchCalls);
        let mut answers = self.connections.call("watch", tally, open).await?.into_inner();
        let mut created = 0;
        while created < RANGES.len() {
            let answer = self.connections.call("watch", None, answers.message()).await?;
            created += usize::from(apply(feed, answer)?);
        }
        self.up = true;
        backoff.reset();
        log::info!("event=store_up revision={revision}");
        self.desk.inbox.post_event(Input::StoreAvailable(true));
        self.follow(feed, &mut answers).await
    }

    /// Follows changes. A store that stands still sends nothing, just as one
    /// without changes; the refreshes of the lease tell them apart.
    async fn follow(
        &self,
        feed: &mut ChangeFeed,
        answers: &mut Streaming<WatchResponse>,
    ) -> Result<Never, StoreError> {
        let closed = |status: tonic::Status| StoreError::Status {
            step: "watch",
            peer: "store".to_owned(),
            reason: status.message().to_owned(),
        };
        loop {
            tokio::select! {
                answer = answers.message() => {
                    apply(feed, answer.map_err(closed)?)?;
                }
                () = self.connections.unresponsive.notified() => {
                    return Err(StoreError::Closed { step: "refresh" });
                }
            }
        }
    }

    /// Reads all watched keys, with the revision from which changes are to be
    /// followed: the earlier one, so that nothing between two reads is missed.
    async fn load(&self) -> Result<(Vec<KeyValue>, i64), StoreError> {
        let mut values = Vec::new();
        let mut revision = i64::MAX;
        for (first, last) in RANGES {
            let mut client = self.connections.kv_client();
            let read = client.range(range(first, last));
            let tally = Some(IoMetric::WatchCalls);
            let answer = self.connections.call("load", tally, read).await?.into_inner();
            revision = revision.min(answer.header.map_or(0, |header| header.revision));
            values.extend(answer.kvs);
        }
        Ok((values, revision))
    }
}

fn range(first: &str, last: &str) -> RangeRequest {
    RangeRequest {
        key: first.as_bytes().to_vec(),
        range_end: key::range_end(last),
        ..RangeRequest::default()
    }
}

fn create(first: &str, last: &str, revision: i64) -> WatchRequest {
    let create = WatchCreateRequest {
        key: first.as_bytes().to_vec(),
        range_end: key::range_end(last),
        start_revision: revision,
        progress_notify: false,
    };
    WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) }
}

/// Tells of the changes in an answer; returns whether it created a watch.
fn apply(feed: &mut ChangeFeed, answer: Option<WatchResponse>) -> Result<bool, StoreError> {
    let answer = answer.ok_or(StoreError::Closed { step: "watch" })?;
    if answer.canceled {
        // Changes were compacted away, or the store gave the watch up: only a
        // new reading of the whole state tells what happened.
        return Err(StoreError::Closed { step: "watch" });
    }
    for event in answer.events {
        let kind = event.r#type();
        let Some(value) = event.kv else { continue };
        match kind {
            EventType::Put => feed.put(value),
            EventType::Delete => feed.delete(&value.key),
        }
    }
    Ok(answer.created)
}
