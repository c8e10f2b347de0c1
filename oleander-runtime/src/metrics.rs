//! Metrics: counters, gauges and timings sent over StatsD, and a latency histogram for each pair of
//! workspace and kind of request.

use std::borrow::Cow;
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

/// The maximum number of histograms; latencies of further pairs share one histogram under `OTHER`.
pub const MAX_HISTOGRAMS: usize = 1_024;

/// The maximum number of named counters; further ones share one counter under `OTHER`.
pub const MAX_COUNTERS: usize = 4_096;

/// The longest latency that a histogram can represent; longer ones are recorded as this value.
pub const MAX_LATENCY: Span = Span::from_secs(60);

/// The name under which latencies beyond `MAX_HISTOGRAMS` and counts beyond `MAX_COUNTERS` are
/// recorded.
pub const OTHER: &str = "other";

/// The maximum number of metrics waiting to be sent; further ones are dropped.
const SEND_QUEUE_LENGTH: usize = 4_096;

/// The precision of a histogram in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// `MetricsOptions` configures where metrics are sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsOptions {
    /// The address of the StatsD server; `None` disables sending.
    pub statsd: Option<SocketAddr>,
    /// The prefix of all metric names; empty for none.
    pub prefix: String,
}

/// `Metrics` collects and sends metrics. Clones share their counters and histograms.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    histograms: Arc<Mutex<Histograms>>,
    counters: Arc<Mutex<Counters>>,
}

/// The counters by name and labels, as in the text format.
type Counters = BTreeMap<String, u64>;

/// The histograms by workspace and kind of request, in microseconds.
type Histograms = BTreeMap<(String, String), Histogram<u32>>;

/// `LatencySummary` summarises one latency histogram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The workspace; `OTHER` beyond `MAX_HISTOGRAMS`.
    pub workspace: String,
    /// The kind of request; `OTHER` beyond `MAX_HISTOGRAMS`.
    pub kind: String,
    /// The number of recorded latencies.
    pub count: u64,
    /// The median latency in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// The maximum latency in milliseconds.
    pub max_ms: f64,
}

impl Metrics {
    /// Creates metrics that are sent as configured by `options`.
    ///
    /// # Errors
    /// Fails if the socket for the StatsD server cannot be set up.
    pub fn new(options: &MetricsOptions) -> Result<Self> {
        let client = match options.statsd {
            None => StatsdClient::from_sink(&options.prefix, NopMetricSink),
            Some(address) => StatsdClient::from_sink(&options.prefix, udp_sink(address)?),
        };
        Ok(Self { client: Arc::new(client), histograms: Arc::default(), counters: Arc::default() })
    }

    /// Creates metrics that are not sent. Counters and histograms are still kept.
    pub fn local() -> Self {
        let client = StatsdClient::from_sink("", NopMetricSink);
        Self { client: Arc::new(client), histograms: Arc::default(), counters: Arc::default() }
    }

    /// Adds `count` to the counter `name`, and sends it.
    pub fn count(&self, name: &str, count: u32) {
        self.add_to_counter(name.to_owned(), u64::from(count));
        // Metrics are best effort: they are dropped if the send queue is full.
        let _ = self.client.count(name, u64::from(count));
    }

    /// Sends the value of the gauge `name`; it is not kept.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Sends a timing under `name`; it is not kept.
    pub fn time(&self, name: &str, span: Span) {
        let _ = self.client.time(name, span.duration());
    }

    /// Records the latency of a request in the histogram of its workspace and kind, and sends it.
    pub fn record_latency(&self, workspace: &str, kind: &str, span: Span) {
        self.record_histogram(workspace, kind, span);
        self.client
            .time_with_tags("request.latency", span.duration())
            .with_tag("workspace", &tag_value(workspace))
            .with_tag("kind", &tag_value(kind))
            .send();
    }

    /// Returns a summary of each histogram, ordered by workspace and kind.
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

    /// Counts a refused request by workspace, kind and refusal code, and sends the count.
    pub fn count_refusal(&self, workspace: &str, kind: &str, code: RefusalCode) {
        let code = code.to_string();
        let labels = [("workspace", workspace), ("kind", kind), ("code", code.as_str())];
        self.add_to_counter(with_labels("request.refused", &labels), 1);
        self.client
            .count_with_tags("request.refused", 1_u64)
            .with_tag("workspace", &tag_value(workspace))
            .with_tag("kind", &tag_value(kind))
            .with_tag("code", &code)
            .send();
    }

    /// Returns all counters and latency summaries as text, one value on each line, after its name
    /// and labels.
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
                let _ = writeln!(text, "{} {value}", with_labels(name, &labels));
            };
            line("request_latency_count", count as f64);
            line("request_latency_p50_ms", p50_ms);
            line("request_latency_p99_ms", p99_ms);
            line("request_latency_max_ms", max_ms);
        }
        text
    }

    /// Adds to a counter; a new one beyond `MAX_COUNTERS` is counted under `OTHER`.
    fn add_to_counter(&self, name: String, count: u64) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let has_room = counters.contains_key(&name) || counters.len() < MAX_COUNTERS;
        let name = if has_room { name } else { OTHER.to_owned() };
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

/// Returns a metric's name with its labels, as in the text format. Values may have any characters, as
/// callers and operators choose them: they are escaped, so that they can neither end the line nor the
/// value.
pub fn with_labels(name: &str, labels: &[(&str, &str)]) -> String {
    let mut text = format!("{name}{{");
    for (index, (label, value)) in labels.iter().enumerate() {
        let separator = if index == 0 { "" } else { "," };
        let _ = write!(text, "{separator}{label}=\"{}\"", escaped(value));
    }
    text.push('}');
    text
}

/// Escapes a label's value as the text format demands. Control characters other than a line feed have
/// no escape there and are replaced.
fn escaped(value: &str) -> String {
    let mut text = String::with_capacity(value.len());
    for character in value.chars() {
        match character {
            '\\' => text.push_str("\\\\"),
            '"' => text.push_str("\\\""),
            '\n' => text.push_str("\\n"),
            _ if character.is_control() => text.push(char::REPLACEMENT_CHARACTER),
            _ => text.push(character),
        }
    }
    text
}

/// Replaces what would end a tag or a datagram's line in StatsD, which has no escapes.
fn tag_value(value: &str) -> Cow<'_, str> {
    let is_separator = |character: char| {
        character.is_control() || matches!(character, '|' | ',' | ':' | '#' | '@')
    };
    if value.contains(is_separator) {
        value.replace(is_separator, "_").into()
    } else {
        value.into()
    }
}

fn udp_sink(address: SocketAddr) -> Result<QueuingMetricSink> {
    let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let Ok(socket) = UdpSocket::bind(local) else {
        return setup_error("cannot open a socket for metrics");
    };
    if socket.set_nonblocking(true).is_err() {
        return setup_error("cannot set up the socket for metrics");
    }
    match BufferedUdpMetricSink::from(address, socket) {
        Ok(sink) => Ok(QueuingMetricSink::with_capacity(sink, SEND_QUEUE_LENGTH)),
        Err(_) => setup_error("cannot send metrics to the address"),
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY.0, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants and valid")
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
