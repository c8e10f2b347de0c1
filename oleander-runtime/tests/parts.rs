//! Timers, shutdown, journals and metrics.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use log::LevelFilter;
use oleander_core::events::Event;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::RefusalCode;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs;
use oleander_runtime::logs::BUDGET_PERIOD;
use oleander_runtime::logs::EVENT_BUDGET;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::logs::RING_LENGTH;
use oleander_runtime::metrics::MAX_HISTOGRAMS;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::metrics::MetricsOptions;
use oleander_runtime::metrics::OTHER;
use oleander_runtime::shutdown::Shutdown;
use oleander_runtime::timer::TimerService;
use rstest::rstest;

/// The timeout of every wait, far longer than any should take.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn sleeps_end_in_order_of_their_due_times() {
    let timers = TimerService::start(Clock::new());
    let order = Arc::new(Mutex::new(Vec::new()));
    let start = timers.now();
    let sleeper = |millis: u64| {
        let (timers, order) = (timers.clone(), Arc::clone(&order));
        async move {
            timers.sleep_until(start + Span::from_millis(millis)).await;
            order.lock().unwrap().push(millis);
        }
    };
    let all = async { tokio::join!(sleeper(40), sleeper(1), sleeper(20)) };
    tokio::time::timeout(TEST_TIMEOUT, all).await.unwrap();
    assert_eq!(*order.lock().unwrap(), [1, 20, 40]);
}

#[tokio::test]
async fn a_dropped_sleep_cancels_its_timer() {
    let timers = TimerService::start(Clock::new());
    tokio::select! {
        () = timers.sleep(Span::from_secs(3_600)) => panic!("an hour has passed"),
        () = timers.sleep(Span::from_millis(1)) => {}
    }
    assert_eq!(timers.pending(), 0);
}

#[tokio::test]
async fn an_interval_ticks_no_earlier_than_its_period() {
    let timers = TimerService::start(Clock::new());
    let period = Span::from_millis(2);
    let start = timers.now();
    let mut interval = timers.interval(period);
    for count in 1..=3 {
        let now = tokio::time::timeout(TEST_TIMEOUT, interval.tick()).await.unwrap();
        assert!(start + period.times(count) <= now);
    }
}

#[tokio::test]
async fn tasks_waiting_before_and_after_the_trigger_see_the_shutdown() {
    let shutdown = Shutdown::new();
    let waiting = tokio::spawn({
        let shutdown = shutdown.clone();
        async move { shutdown.wait().await }
    });
    assert!(!shutdown.is_triggered());
    shutdown.trigger();
    tokio::time::timeout(TEST_TIMEOUT, waiting).await.unwrap().unwrap();
    shutdown.wait().await;
}

#[test]
fn log_writer_can_be_set_up_repeatedly() {
    logs::init(LevelFilter::Warn).unwrap();
    logs::init(LevelFilter::Error).unwrap();
}

#[test]
fn a_journal_keeps_typed_records() {
    let journal = Journal::new("agent/a", Clock::new());
    journal.record(
        Event::ShareMoved,
        &[
            Field::number("share", 3_u64),
            Field::text("to", "vm-2"),
            Field::millis("after", Span(5_000)),
        ],
    );
    let records = journal.recent();
    assert_eq!((records[0].serial, records[0].number), (1, 302));
    assert_eq!(
        (records[0].program.as_str(), records[0].event.as_str()),
        ("agent/a", "share-moved")
    );
    assert_eq!(
        serde_json::to_string(&records[0].fields).unwrap(),
        r#"{"after":5,"share":3,"to":"vm-2"}"#
    );
    assert_eq!(journal.recent_json().len(), 1);
}

#[test]
fn a_journal_omits_events_beyond_their_budget_and_says_so() {
    let journal = Journal::new("proxy/a", Clock::new());
    for _ in 0..EVENT_BUDGET + 10 {
        journal.record_at(Time(0), Event::RequestRefused, &[]);
    }
    assert_eq!(journal.recent().len(), EVENT_BUDGET as usize);
    journal.record_at(Time(BUDGET_PERIOD.0), Event::RequestRefused, &[]);
    let last = journal.recent().pop().unwrap();
    assert_eq!(last.fields.get("omitted"), Some(&10.into()));
}

#[test]
fn a_journal_drops_the_oldest_records() {
    let journal = Journal::new("proxy/a", Clock::new());
    let extra = 3;
    for number in 0..RING_LENGTH + extra {
        journal.record_at(Time(BUDGET_PERIOD.0 * number as u64), Event::ShareMoved, &[]);
    }
    let records = journal.recent();
    assert_eq!((records.len(), records[0].serial), (RING_LENGTH, extra as u64 + 1));
}

/// Guards against memory that the ring buffer keeps because of texts which callers choose.
#[rstest]
#[case::short("a".repeat(256), "a".repeat(256))]
#[case::long("a".repeat(257), "a".repeat(256) + "... (257 bytes)")]
#[case::within_a_character("a".repeat(255) + "\u{e4}b", "a".repeat(255) + "... (258 bytes)")]
fn a_long_text_is_cut(#[case] text: String, #[case] kept: String) {
    let journal = Journal::new("proxy/a", Clock::new());
    journal.record(Event::RequestRefused, &[Field::text("database", text)]);
    assert_eq!(journal.recent()[0].fields["database"], kept);
}

#[test]
fn latencies_are_kept_for_each_workspace_and_kind() {
    let metrics = Metrics::local();
    for millis in [1, 2, 3] {
        metrics.record_latency("north", "order", Span::from_millis(millis));
    }
    metrics.record_latency("south", "order", Span::from_secs(1_000));
    let latencies = metrics.latencies();
    assert_eq!(latencies.iter().map(|entry| entry.count).collect::<Vec<_>>(), [3, 1]);
    // Two significant digits bound the relative error of a histogram by one hundredth.
    assert!((latencies[0].p50_ms - 2.0).abs() < 0.02, "{:?}", latencies[0]);
    assert!((latencies[1].max_ms - 60_000.0).abs() < 600.0, "{:?}", latencies[1]);
}

#[test]
fn histograms_are_bounded_in_number() {
    let metrics = Metrics::local();
    for workspace in 0..MAX_HISTOGRAMS + 5 {
        metrics.record_latency(&workspace.to_string(), "order", Span::from_millis(1));
    }
    let latencies = metrics.latencies();
    assert_eq!(latencies.len(), MAX_HISTOGRAMS + 1);
    let other = latencies.iter().find(|entry| entry.workspace == OTHER).unwrap();
    assert_eq!(other.count, 5);
}

/// `LabelCase` is a name as a caller or an operator gives it, and its label.
struct LabelCase {
    name: &'static str,
    label: &'static str,
}

/// Guards against a name that ends its line, or its value, so that it counts as another metric or the
/// whole text cannot be read.
#[rstest]
#[case::plain(LabelCase { name: "order", label: "order" })]
#[case::line_feed(LabelCase { name: "a\nother 1", label: "a\\nother 1" })]
#[case::line_end(LabelCase { name: "a\r\nother 1", label: "a\u{fffd}\\nother 1" })]
#[case::quote(LabelCase { name: "a\"} 1", label: "a\\\"} 1" })]
#[case::backslash(LabelCase { name: "a\\", label: "a\\\\" })]
fn a_label_keeps_to_its_value(#[case] case: LabelCase) {
    let metrics = Metrics::local();
    metrics.count_refusal("rye", case.name, RefusalCode::UnknownRoute);
    metrics.record_latency("rye", case.name, Span::from_millis(1));
    let text = metrics.text();
    // One counter and the four figures of a latency.
    assert_eq!(text.lines().count(), 5, "{text}");
    let label = format!("kind=\"{}\"", case.label);
    assert!(text.lines().all(|line| line.contains(&label)), "{text}");
}

/// Guards against a name that becomes a metric of its own at the StatsD server.
#[test]
fn a_tag_keeps_to_its_metric() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let options =
        MetricsOptions { statsd: Some(server.local_addr().unwrap()), prefix: String::new() };
    {
        let metrics = Metrics::new(&options).unwrap();
        metrics.count_refusal("rye", "a\nother:1|c|#kind:b,c", RefusalCode::UnknownRoute);
    }
    let mut buffer = [0; 1_024];
    let length = server.recv(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..length]);
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    assert!(text.contains("kind:a_other_1_c__kind_b_c,"), "{text}");
}

#[test]
fn counters_reach_the_statsd_server() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let options = MetricsOptions {
        statsd: Some(server.local_addr().unwrap()),
        prefix: "oleander".to_owned(),
    };
    {
        let metrics = Metrics::new(&options).unwrap();
        metrics.count("requests", 7);
    }
    let mut buffer = [0; 1_024];
    let length = server.recv(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..length]);
    assert!(text.starts_with("oleander.requests:7|c"), "{text}");
}
