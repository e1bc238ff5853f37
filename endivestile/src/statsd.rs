//! Sends counters and gauges to a statsd server.

use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use endivestile_config::{HostSettings, MetricSettings};

use crate::counters::Counters;
use crate::error::RunError;
use crate::inbox::Inbox;
use crate::status::rss_kb;

/// Prefix of all metric names.
const PREFIX: &str = "endivestile";
/// Metrics queued for the sink's thread; more are dropped.
const MAX_QUEUED_METRICS: usize = 1_024;

/// Starts the thread that sends the metrics at a fixed interval.
pub(crate) fn start(
    settings: &MetricSettings,
    host: &HostSettings,
    counters: Counters,
    inbox: Inbox,
) -> Result<(), RunError> {
    let client = client(settings, &host.name)?;
    let interval = Duration::from_millis(settings.interval_ms);
    let work = move || {
        let mut reporter = Reporter { client, counters, inbox, sent: Vec::new() };
        loop {
            thread::sleep(interval);
            reporter.send();
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
    let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::builder(PREFIX, queue).with_tag("host", host).build())
}

/// Sends the changes of the counters since the last interval.
struct Reporter {
    /// The statsd client.
    client: StatsdClient,
    /// Counters of the process.
    counters: Counters,
    /// The engine's inbox, for its depth.
    inbox: Inbox,
    /// Values of the counters when they were last sent.
    sent: Vec<u64>,
}

impl Reporter {
    /// Sends counters as differences, and gauges. They are lost if the server is down.
    fn send(&mut self) {
        for (index, (name, count)) in self.counters.all().enumerate() {
            if self.sent.len() == index {
                self.sent.push(0);
            }
            let delta = count - self.sent[index];
            self.sent[index] = count;
            if delta > 0 {
                let _ = self.client.count(name, delta);
            }
        }
        let _ = self.client.gauge("rss_kb", rss_kb());
        let _ = self.client.gauge("queue", self.inbox.depth());
    }
}
