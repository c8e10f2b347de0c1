//! Metrics: counters and timings over StatsD, and a latency histogram for each workspace and kind.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cadence::BufferedUdpMetricSink;
use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed as _;
use hdrhistogram::Histogram;
use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::errors::setup_error;

/// The number of histograms that are kept; what comes after is counted together.
pub const MAX_HISTOGRAMS: usize = 1_024;

/// The number of counters that are kept by name; what comes after is counted together.
pub const MAX_COUNTERS: usize = 4_096;

/// The longest latency that a histogram tells apart.
pub const MAX_LATENCY: Span = Span::from_secs(60);

/// The name under which latencies beyond `MAX_HISTOGRAMS` are counted.
pub const OTHER: &str = "other";

/// The number of metrics that wait to be sent; more are dropped.
const QUEUE_LENGTH: usize = 4_096;

/// The significant decimal digits of a histogram.
const DIGITS: u8 = 2;

/// `MetricsOptions` says where metrics go.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsOptions {
    /// The StatsD server's address; `None` sends nothing.
    pub statsd: Option<SocketAddr>,
    /// The prefix of all names; empty for none.
    pub prefix: String,
}

/// `Metrics` counts and times. Clones share their histograms.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    histograms: Arc<Mutex<Histograms>>,
    counters: Arc<Mutex<Counters>>,
}

/// The counts by name and labels, as the text form has them.
type Counters = BTreeMap<String, u64>;

type Histograms = BTreeMap<(String, String), Histogram<u32>>;

/// `LatencySummary` is the state of one histogram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The workspace.
    pub workspace: String,
    /// The kind of request.
    pub kind: String,
    /// The number of answers.
    pub count: u64,
    /// The median in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// The longest in milliseconds.
    pub max_ms: f64,
}

impl Metrics {
    /// Makes metrics as the options say.
    ///
    /// # Errors
    /// Fails if no socket can be opened.
    pub fn new(options: &MetricsOptions) -> Result<Self> {
        let client = match options.statsd {
            None => StatsdClient::from_sink(&options.prefix, NopMetricSink),
            Some(address) => StatsdClient::from_sink(&options.prefix, sink(address)?),
        };
        Ok(Self { client: Arc::new(client), histograms: Arc::default(), counters: Arc::default() })
    }

    /// Makes metrics that are sent nowhere; histograms are still kept.
    pub fn local() -> Self {
        let client = StatsdClient::from_sink("", NopMetricSink);
        Self { client: Arc::new(client), histograms: Arc::default(), counters: Arc::default() }
    }

    /// Adds `count` to a counter.
    pub fn count(&self, name: &str, count: u32) {
        self.add(name.to_owned(), u64::from(count));
        // Metrics are best effort: a full queue loses them.
        let _ = self.client.count(name, u64::from(count));
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Sends a timing.
    pub fn time(&self, name: &str, span: Span) {
        let _ = self.client.time(name, span.duration());
    }

    /// Records the latency of an answer in the histogram of its workspace and kind, and sends it.
    pub fn record_latency(&self, workspace: &str, kind: &str, span: Span) {
        self.record_histogram(workspace, kind, span);
        self.client
            .time_with_tags("request.latency", span.duration())
            .with_tag("workspace", workspace)
            .with_tag("kind", kind)
            .send();
    }

    /// Gets the state of all histograms, ordered by workspace and kind.
    pub fn latencies(&self) -> Vec<LatencySummary> {
        let histograms = self.lock();
        histograms
            .iter()
            .map(|((workspace, kind), histogram)| LatencySummary {
                workspace: workspace.clone(),
                kind: kind.clone(),
                count: histogram.len(),
                p50_ms: millis(histogram.value_at_quantile(0.5)),
                p99_ms: millis(histogram.value_at_quantile(0.99)),
                max_ms: millis(histogram.max()),
            })
            .collect()
    }

    /// Counts a refusal of a request of the workspace and kind.
    pub fn count_refusal(&self, workspace: &str, kind: &str, code: RefusalCode) {
        let code = code.to_string();
        let labels = [("workspace", workspace), ("kind", kind), ("code", code.as_str())];
        self.add(labelled("request.refused", &labels), 1);
        self.client
            .count_with_tags("request.refused", 1_u64)
            .with_tag("workspace", workspace)
            .with_tag("kind", kind)
            .with_tag("code", &code)
            .send();
    }

    /// Gets all counters and latencies as text, a line each: name, labels and value.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, count) in counters.iter() {
            let _ = writeln!(text, "{} {count}", name.replace('.', "_"));
        }
        drop(counters);
        for summary in self.latencies() {
            let LatencySummary { workspace, kind, count, p50_ms, p99_ms, max_ms } = summary;
            let labels = [("workspace", workspace.as_str()), ("kind", kind.as_str())];
            let mut line = |name: &str, value: f64| {
                let _ = writeln!(text, "{} {value}", labelled(name, &labels));
            };
            line("request_latency_count", count as f64);
            line("request_latency_p50_ms", p50_ms);
            line("request_latency_p99_ms", p99_ms);
            line("request_latency_max_ms", max_ms);
        }
        text
    }

    fn add(&self, name: String, count: u64) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let known = counters.contains_key(&name) || counters.len() < MAX_COUNTERS;
        let name = if known { name } else { OTHER.to_owned() };
        *counters.entry(name).or_default() += count;
    }

    fn record_histogram(&self, workspace: &str, kind: &str, span: Span) {
        let micros = span.0.min(MAX_LATENCY.0);
        let mut histograms = self.lock();
        let mut key = (workspace.to_owned(), kind.to_owned());
        if !histograms.contains_key(&key) && MAX_HISTOGRAMS <= histograms.len() {
            key = (OTHER.to_owned(), OTHER.to_owned());
        }
        let histogram = histograms.entry(key).or_insert_with(new_histogram);
        histogram.saturating_record(micros);
    }

    fn lock(&self) -> MutexGuard<'_, Histograms> {
        self.histograms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn labelled(name: &str, labels: &[(&str, &str)]) -> String {
    let labels: Vec<String> =
        labels.iter().map(|(label, value)| format!("{label}=\"{value}\"")).collect();
    format!("{name}{{{}}}", labels.join(","))
}

fn sink(address: SocketAddr) -> Result<QueuingMetricSink> {
    let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let Ok(socket) = UdpSocket::bind(local) else {
        return setup_error("cannot open a socket for metrics");
    };
    if socket.set_nonblocking(true).is_err() {
        return setup_error("cannot set up the socket for metrics");
    }
    match BufferedUdpMetricSink::from(address, socket) {
        Ok(sink) => Ok(QueuingMetricSink::with_capacity(sink, QUEUE_LENGTH)),
        Err(_) => setup_error("cannot send metrics to the address"),
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY.0, DIGITS).expect("the bounds are constants and valid")
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
