//! Counters, gauges and latencies of the host, and the page that shows them.

use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use endivestile_kernel::fleet::{Count, Gauge, Span};
use hdrhistogram::Histogram;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};

use super::store_calls::StoreCalls;
use crate::counters::Counters;
use crate::http_server::Gate;
use crate::status::{cpu_ms, rss_kb};

/// Longest recorded span, in microseconds: one hour. Longer spans count as this.
const MAX_SPAN_US: u64 = 3_600_000_000;
/// Significant decimal digits of a recorded span.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles shown on the page, with their labels.
const QUANTILES: [(f64, &str); 4] = [(0.5, "0.5"), (0.9, "0.9"), (0.99, "0.99"), (1.0, "1")];

/// Counters, gauges and latencies since the start of the process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    inner: Arc<Mutex<Inner>>,
    io: Counters,
    store_calls: StoreCalls,
    gates: Arc<[Gate]>,
}

#[derive(Debug)]
struct Inner {
    counts: [u64; Count::ALL.len()],
    gauges: [u64; Gauge::ALL.len()],
    spans: Vec<Histogram<u64>>,
    /// Batches of inputs that the engine has handled.
    batches: u64,
    /// Time spent in them, in microseconds.
    engine_us: u64,
}

impl Metrics {
    /// Starts at zero. `io` holds the counters of links and log lines, `gates` the connections of
    /// all listeners.
    pub(crate) fn new(io: Counters, store_calls: StoreCalls, gates: Vec<Gate>) -> Self {
        // The library accepts these constant bounds.
        let histogram =
            |_| Histogram::new_with_bounds(1, MAX_SPAN_US, SIGNIFICANT_DIGITS).expect("bounds");
        let spans = Span::ALL.iter().map(histogram).collect();
        let inner = Inner {
            counts: [0; Count::ALL.len()],
            gauges: [0; Gauge::ALL.len()],
            spans,
            batches: 0,
            engine_us: 0,
        };
        Self { inner: Arc::new(Mutex::new(inner)), io, store_calls, gates: gates.into() }
    }

    /// Counts an event.
    pub(crate) fn count(&self, count: Count) {
        self.lock().counts[count as usize] += 1;
    }

    /// Sets a gauge.
    pub(crate) fn set_gauge(&self, gauge: Gauge, value: u64) {
        self.lock().gauges[gauge as usize] = value;
    }

    /// Records the length of a span, in microseconds.
    pub(crate) fn record_span(&self, span: Span, took_us: u64) {
        self.lock().spans[span as usize].saturating_record(took_us.max(1));
    }

    /// Records a batch of inputs that the engine handled, and how long that took, in
    /// microseconds.
    pub(crate) fn record_batch(&self, took_us: u64) {
        let mut inner = self.lock();
        inner.batches += 1;
        inner.engine_us += took_us;
    }

    /// Returns the page, one value per line.
    pub(crate) fn page(&self) -> Response<Bytes> {
        let mut text = String::new();
        let inner = self.lock();
        for count in Count::ALL {
            let _ = writeln!(text, "endivestile_{} {}", count.name(), inner.counts[count as usize]);
        }
        for gauge in Gauge::ALL {
            let _ = writeln!(text, "endivestile_{} {}", gauge.name(), inner.gauges[gauge as usize]);
        }
        for (name, count) in self.io.all().filter(|(_, count)| *count > 0) {
            let _ = writeln!(text, "endivestile_edge_{name} {count}");
        }
        self.store_calls.write_page(&mut text);
        self.gates.iter().for_each(|gate| gate.write_page(&mut text));
        for span in Span::ALL {
            let histogram = &inner.spans[span as usize];
            let name = span.name();
            for (quantile, label) in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "endivestile_{name}_us{{quantile=\"{label}\"}} {value}");
            }
            let _ = writeln!(text, "endivestile_{name}_us_count {}", histogram.len());
        }
        let _ = writeln!(text, "endivestile_engine_batches {}", inner.batches);
        let _ = writeln!(text, "endivestile_engine_us {}", inner.engine_us);
        let _ = writeln!(text, "endivestile_cpu_ms {}", cpu_ms());
        let _ = writeln!(text, "endivestile_rss_kb {}", rss_kb());
        let mut response = Response::new(Bytes::from(text));
        let plain = HeaderValue::from_static("text/plain; charset=utf-8");
        response.headers_mut().insert(CONTENT_TYPE, plain);
        response
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
