//! Counts and latencies of the host, and the page that shows them.

use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use endivestile_kernel::fleet::{Count, Gauge, Span};
use hdrhistogram::Histogram;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};

use crate::counters::Counters;
use crate::status::rss_kb;

/// Longest span that is told from a longer one, in microseconds: an hour.
const MAX_US: u64 = 3_600_000_000;
/// Decimal digits that a span keeps.
const DIGITS: u8 = 2;
/// Quantiles that are shown.
const QUANTILES: [(f64, &str); 4] = [(0.5, "0.5"), (0.9, "0.9"), (0.99, "0.99"), (1.0, "1")];

/// Counts and latencies since the start of the process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    inner: Arc<Mutex<Inner>>,
    edges: Counters,
}

#[derive(Debug)]
struct Inner {
    counts: [u64; Count::ALL.len()],
    gauges: [u64; Gauge::ALL.len()],
    spans: Vec<Histogram<u64>>,
}

impl Metrics {
    /// Starts at zero; `edges` counts links and log lines.
    pub(crate) fn new(edges: Counters) -> Self {
        // The bounds are constants that the library accepts.
        let histogram = |_| Histogram::new_with_bounds(1, MAX_US, DIGITS).expect("bounds");
        let spans = Span::ALL.iter().map(histogram).collect();
        let inner = Inner { counts: [0; Count::ALL.len()], gauges: [0; Gauge::ALL.len()], spans };
        Self { inner: Arc::new(Mutex::new(inner)), edges }
    }

    /// Counts an event.
    pub(crate) fn count(&self, count: Count) {
        self.lock().counts[count as usize] += 1;
    }

    /// Sets a gauge.
    pub(crate) fn set_gauge(&self, gauge: Gauge, value: u64) {
        self.lock().gauges[gauge as usize] = value;
    }

    /// Notes a span.
    pub(crate) fn record_span(&self, span: Span, took_us: u64) {
        self.lock().spans[span as usize].saturating_record(took_us.max(1));
    }

    /// Returns the page, one line a figure.
    pub(crate) fn page(&self) -> Response<Bytes> {
        let mut text = String::new();
        let inner = self.lock();
        for count in Count::ALL {
            let _ = writeln!(text, "endivestile_{} {}", count.name(), inner.counts[count as usize]);
        }
        for gauge in Gauge::ALL {
            let _ = writeln!(text, "endivestile_{} {}", gauge.name(), inner.gauges[gauge as usize]);
        }
        for (name, count) in self.edges.all().filter(|(_, count)| *count > 0) {
            let _ = writeln!(text, "endivestile_edge_{name} {count}");
        }
        for span in Span::ALL {
            let histogram = &inner.spans[span as usize];
            let name = span.name();
            for (quantile, label) in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "endivestile_{name}_us{{quantile=\"{label}\"}} {value}");
            }
            let _ = writeln!(text, "endivestile_{name}_us_count {}", histogram.len());
        }
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
