//! Sends counts and gauges to a statsd sink.

use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use endivestile_config::{HostSettings, MetricSettings};

use crate::counters::Counters;
use crate::error::RunError;
use crate::inbox::Inbox;
use crate::status::rss_kb;

/// Prefix of all metrics.
const PREFIX: &str = "endivestile";
/// Metrics that may wait for the sink's thread; more are dropped.
const WAITING: usize = 1_024;

/// Starts the thread that sends the metrics.
pub(crate) fn start(
    settings: &MetricSettings,
    host: &HostSettings,
    counters: Counters,
    inbox: Inbox,
) -> Result<(), RunError> {
    let client = client(settings, &host.name)?;
    let pause = Duration::from_millis(settings.interval_ms);
    let work = move || {
        let mut sender = Sender { client, counters, inbox, sent: Vec::new() };
        loop {
            thread::sleep(pause);
            sender.send();
        }
    };
    let thread = thread::Builder::new().name("metrics".to_owned());
    thread.spawn(work).map_err(|source| RunError::Thread { step: "send-metrics", source })?;
    Ok(())
}

fn client(settings: &MetricSettings, host: &str) -> Result<StatsdClient, RunError> {
    let Some(address) = settings.statsd_address else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let failed = |reason: String| RunError::Bind {
        step: "open-metrics",
        address: address.to_string(),
        reason,
    };
    let any = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any).map_err(|e| failed(e.to_string()))?;
    socket.set_nonblocking(true).map_err(|e| failed(e.to_string()))?;
    let sink = UdpMetricSink::from(address, socket).map_err(|e| failed(e.to_string()))?;
    let queue = QueuingMetricSink::with_capacity(sink, WAITING);
    Ok(StatsdClient::builder(PREFIX, queue).with_tag("host", host).build())
}

/// Sends what changed since the last time.
struct Sender {
    /// The sink.
    client: StatsdClient,
    /// Counts of the process.
    counters: Counters,
    /// The engine's channel, for its depth.
    inbox: Inbox,
    /// Counts when they were last sent.
    sent: Vec<u64>,
}

impl Sender {
    /// Sends counts as differences, and gauges. A sink that is down drops them.
    fn send(&mut self) {
        for (at, (name, count)) in self.counters.all().enumerate() {
            if self.sent.len() == at {
                self.sent.push(0);
            }
            let grown = count - self.sent[at];
            self.sent[at] = count;
            if grown > 0 {
                let _ = self.client.count(name, grown);
            }
        }
        let _ = self.client.gauge("rss_kb", rss_kb());
        let _ = self.client.gauge("queue", self.inbox.depth());
    }
}
