//! How a reading of the store becomes a view.

mod support;

use std::sync::Arc;

use oleander_config::snapshot::Snapshot;
use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_node::control::apply::Applier;
use oleander_node::fleet::View;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::sources::Sources;
use oleander_ports::store::Entry;
use oleander_ports::store::Reading;
use oleander_ports::store::StoreRevision;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use rstest::rstest;

const DRAIN: Span = Span::from_secs(7);

fn applier() -> Applier {
    let sources = Sources {
        configuration: "configuration",
        directory: "instances/",
        own: "own/",
        decode_configuration: |_| Ok(Snapshot::default()),
        decode_entry: |_, value| {
            Ok(DirectoryEntry {
                instance: "i-1".to_owned(),
                life: 1,
                database: "ledger".to_owned(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: String::new(),
                slots: 2,
                leaving: value == b"leaving",
                primary: true,
            })
        },
    };
    Applier::new(sources, Arc::new(support::settings()), Journal::new("test", Clock::new()))
}

fn reading(revision: u64, state: &str) -> Reading {
    let entry = Entry {
        key: "instances/i-1".to_owned(),
        value: state.as_bytes().to_vec(),
        revision: StoreRevision(revision),
    };
    Reading { revision: StoreRevision(revision), entries: vec![entry] }
}

/// `Seen` is what a VM reads one after the other, and the time for which it holds that the
/// instance has been leaving at the last reading.
struct Seen {
    states: &'static [&'static str],
    for_at_least: Span,
    for_at_most: Span,
}

/// A VM that started while an instance was leaving sent work to it for the whole time again.
#[rstest]
#[case::while_running(Seen { states: &["ready", "leaving"], for_at_least: Span::ZERO, for_at_most: Span::ZERO })]
#[case::before_the_start(Seen {
    states: &["leaving"],
    for_at_least: Span(DRAIN.0 / 3),
    for_at_most: Span(DRAIN.0 / 2),
})]
#[case::read_again(Seen {
    states: &["ready", "leaving", "leaving"],
    for_at_least: Span::from_secs(1),
    for_at_most: Span::from_secs(1),
})]
fn an_instance_counts_as_leaving_since(#[case] seen: Seen) {
    let applier = applier();
    let mut view = View::default();
    let mut now = Time(60_000_000);
    for (at, state) in seen.states.iter().enumerate() {
        now = now + Span::from_secs(1);
        view = applier.read(&view, &reading(at as u64 + 1, state), now);
    }
    let leaving_since = view.instances[&InstanceKey::from_name("i-1")].leaving_since.unwrap();
    let passed = now.since(leaving_since);
    assert!(seen.for_at_least <= passed && passed <= seen.for_at_most, "{passed:?}");
}
