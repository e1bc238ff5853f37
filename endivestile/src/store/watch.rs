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

/// Watched ranges, each from a first key to the end of a prefix. The audit
/// trail sorts before the configuration and is excluded, since no host needs it.
const RANGES: [(&str, &str); 2] =
    [(key::CONFIG, key::STOPS), (key::PLATFORM_HOSTS, key::PLATFORM_HOSTS)];

/// Reads and watches the store until the process ends.
pub(crate) async fn run(connections: Connections, context: Context) {
    let mut feed = ChangeFeed::new(context.inbox.clone(), context.checker.clone());
    let mut backoff = Backoff::new(context.settings.backoff_ms);
    let mut session = Session { connections, context, up: false };
    let mut first = true;
    loop {
        let Err(e) = session.run(&mut feed, &mut backoff).await;
        // Only the first error of an outage is a warning; the repeated attempts
        // would flood the log.
        let level = if session.up || first { log::Level::Warn } else { log::Level::Debug };
        log::log!(level, "event=store_down {e}");
        first = false;
        if session.up {
            session.up = false;
            session.context.inbox.post_event(Input::StoreAvailable(false));
        }
        backoff.wait().await;
    }
}

/// Uninhabited type: a session only ever ends with an error.
enum Never {}

/// A session of the watch, from reading the state to the first error.
struct Session {
    /// The store.
    connections: Connections,
    /// State shared by the tasks of the client.
    context: Context,
    /// Whether the watch is established and the kernel has been notified.
    up: bool,
}

impl Session {
    /// Reads the whole state, then follows the changes after it.
    async fn run(
        &mut self,
        feed: &mut ChangeFeed,
        backoff: &mut Backoff,
    ) -> Result<Never, StoreError> {
        let (values, revision) = self.load().await?;
        feed.reconcile(values);
        let (requests, queue) = mpsc::channel(RANGES.len());
        for (first, last) in RANGES {
            let _ = requests.try_send(watch_request(first, last, revision + 1));
        }
        let mut client = self.connections.watch_client();
        let open = client.watch(ReceiverStream::new(queue));
        let metric = Some(IoMetric::WatchCalls);
        let mut answers = self.connections.call("watch", metric, open).await?.into_inner();
        let mut created = 0;
        while created < RANGES.len() {
            let answer = self.connections.call("watch", None, answers.message()).await?;
            created += usize::from(apply(feed, answer)?);
        }
        self.up = true;
        backoff.reset();
        log::info!("event=store_up revision={revision}");
        self.context.inbox.post_event(Input::StoreAvailable(true));
        self.follow(feed, &mut answers).await
    }

    /// Follows changes. A store that hangs sends nothing, like one without
    /// changes; only failed lease renewals distinguish the two.
    async fn follow(
        &self,
        feed: &mut ChangeFeed,
        answers: &mut Streaming<WatchResponse>,
    ) -> Result<Never, StoreError> {
        let stream_error = |status: tonic::Status| StoreError::Status {
            step: "watch",
            peer: "store".to_owned(),
            reason: status.message().to_owned(),
        };
        loop {
            tokio::select! {
                answer = answers.message() => {
                    apply(feed, answer.map_err(stream_error)?)?;
                }
                () = self.connections.unresponsive.notified() => {
                    return Err(StoreError::Closed { step: "refresh" });
                }
            }
        }
    }

    /// Reads all watched keys. Returns the earliest revision of the reads, after
    /// which changes are followed, so that none between two reads is missed.
    async fn load(&self) -> Result<(Vec<KeyValue>, i64), StoreError> {
        let mut values = Vec::new();
        let mut revision = i64::MAX;
        for (first, last) in RANGES {
            let mut client = self.connections.kv_client();
            let read = client.range(range_request(first, last));
            let metric = Some(IoMetric::WatchCalls);
            let answer = self.connections.call("load", metric, read).await?.into_inner();
            revision = revision.min(answer.header.map_or(0, |header| header.revision));
            values.extend(answer.kvs);
        }
        Ok((values, revision))
    }
}

fn range_request(first: &str, last: &str) -> RangeRequest {
    RangeRequest {
        key: first.as_bytes().to_vec(),
        range_end: key::range_end(last),
        ..RangeRequest::default()
    }
}

fn watch_request(first: &str, last: &str, revision: i64) -> WatchRequest {
    let create = WatchCreateRequest {
        key: first.as_bytes().to_vec(),
        range_end: key::range_end(last),
        start_revision: revision,
        progress_notify: false,
    };
    WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) }
}

/// Reports the changes in an answer. Returns whether it confirms a new watch.
fn apply(feed: &mut ChangeFeed, answer: Option<WatchResponse>) -> Result<bool, StoreError> {
    let answer = answer.ok_or(StoreError::Closed { step: "watch" })?;
    if answer.canceled {
        // Changes were compacted, or the store cancelled the watch. The whole
        // state has to be read again to find out what has changed.
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
