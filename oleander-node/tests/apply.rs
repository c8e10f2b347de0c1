//! Tests of the views that are built from readings of the store.

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
use oleander_ports::store::ReadResponse;
use oleander_ports::store::StoreRevision;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use rstest::rstest;

/// The drain limit of the settings.
const DRAIN: Span = Span::from_secs(7);

fn applier() -> Applier {
    let sources = Sources {
        configuration_key: "configuration",
        directory_prefix: "instances/",
        evacuation_prefix: "evacuations/",
        own_prefix: "own/",
        decode_configuration: |_| Ok(Snapshot::default()),
        decode_entry: |_, value| {
            Ok(DirectoryEntry {
                instance: support::name("i-1"),
                life: 1,
                database: support::name("ledger"),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: String::new(),
                slots: 2,
                leaving: value == b"leaving",
                primary: true,
                warmup: Span::ZERO,
            })
        },
    };
    Applier::new(sources, Arc::new(support::settings()), Journal::new("test", Clock::new()))
}

fn reading(revision: u64, state: &str) -> ReadResponse {
    let entry = Entry {
        key: "instances/i-1".to_owned(),
        value: state.as_bytes().to_vec(),
        revision: StoreRevision(revision),
    };
    ReadResponse { revision: StoreRevision(revision), entries: vec![entry] }
}

/// `Observations` are the states that a VM reads one after the other, one second apart, and the
/// bounds of the time for which the instance must count as leaving at the last reading.
struct Observations {
    states: &'static [&'static str],
    min_leaving: Span,
    max_leaving: Span,
}

/// A VM that starts while an instance is leaving must not grant it the whole drain window again:
/// work would be sent to the instance after the bound on leaving instances.
#[rstest]
#[case::while_running(Observations { states: &["ready", "leaving"], min_leaving: Span::ZERO, max_leaving: Span::ZERO })]
#[case::before_the_start(Observations {
    states: &["leaving"],
    min_leaving: Span(DRAIN.0 / 3),
    max_leaving: Span(DRAIN.0 / 2),
})]
#[case::read_again(Observations {
    states: &["ready", "leaving", "leaving"],
    min_leaving: Span::from_secs(1),
    max_leaving: Span::from_secs(1),
})]
fn an_instance_counts_as_leaving_since_the_right_time(#[case] observed: Observations) {
    let applier = applier();
    let mut view = View::default();
    let mut now = Time(60_000_000);
    for (index, state) in observed.states.iter().enumerate() {
        now = now + Span::from_secs(1);
        view = applier.apply_reading(&view, &reading(index as u64 + 1, state), now);
    }
    let leaving_since = view.instances[&InstanceKey::from_name("i-1")].leaving_since.unwrap();
    let passed = now.since(leaving_since);
    assert!(observed.min_leaving <= passed && passed <= observed.max_leaving, "{passed:?}");
}
