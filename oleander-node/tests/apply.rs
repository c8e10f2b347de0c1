//! Tests of the views that are built from readings of the store.

mod support;

use std::sync::Arc;

use oleander_config::snapshot::Snapshot;
use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_node::control::apply::Applier;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::MAX_REJECTED;
use oleander_node::fleet::View;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::sources::Sources;
use oleander_ports::store::Change;
use oleander_ports::store::Changes;
use oleander_ports::store::Entry;
use oleander_ports::store::ReadResponse;
use oleander_ports::store::StoreRevision;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// The drain limit of the settings.
const DRAIN: Span = Span::from_secs(7);

fn applier() -> Applier {
    applier_with(Journal::new("test", Clock::new()))
}

/// Returns an applier to which a value that begins with "odd" names no instance, for that reason.
fn applier_with(journal: Journal) -> Applier {
    let sources = Sources {
        configuration_key: "configuration",
        directory_prefix: "instances/",
        evacuation_prefix: "evacuations/",
        own_prefix: "own/",
        decode_configuration: |_| Ok(Snapshot::default()),
        decode_entry: |_, value| {
            if value.starts_with(b"odd") {
                return Err(String::from_utf8_lossy(value).into_owned());
            }
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
    Applier::new(sources, Arc::new(support::settings()), journal)
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

/// `RejectedCase` are the states that a VM reads one after the other, and the reasons that it logs, each
/// with what the entry named before.
struct RejectedCase {
    states: &'static [&'static str],
    logged: &'static [(&'static str, &'static str)],
    rejected: usize,
}

/// Guards against a log that another writer fills with one entry, and against an instance whose entry
/// becomes incomplete without a record of it.
#[rstest]
#[case::never_whole(RejectedCase {
    states: &["odd", "odd", "odd"], logged: &[("odd", "none")], rejected: 1,
})]
#[case::another_reason(RejectedCase {
    states: &["odd 1", "odd 2", "odd 2"], logged: &[("odd 1", "none"), ("odd 2", "none")], rejected: 1,
})]
#[case::incomplete_in_use(RejectedCase {
    states: &["ready", "odd", "odd"], logged: &[("odd", "an instance")], rejected: 1,
})]
#[case::whole_in_between(RejectedCase {
    states: &["odd", "ready", "odd"],
    logged: &[("odd", "none"), ("odd", "an instance")],
    rejected: 1,
})]
#[case::whole_again(RejectedCase { states: &["odd", "ready"], logged: &[("odd", "none")], rejected: 0 })]
fn a_rejected_entry_is_logged_once_for_each_reason(#[case] case: RejectedCase) {
    let journal = Journal::new("test", Clock::new());
    let applier = applier_with(journal.clone());
    let mut view = View::default();
    for (index, state) in case.states.iter().enumerate() {
        let reading = reading(index as u64 + 1, state);
        view = applier.apply_reading(&view, &reading, Time(60_000_000));
        let key = InstanceKey::from_name("i-1");
        assert_eq!(view.instances.contains_key(&key), !state.starts_with("odd"));
    }
    let records = journal.recent();
    let rejected = records.iter().filter(|record| record.event == Event::EntryRejected.to_string());
    let logged: Vec<(&str, &str)> = rejected
        .map(|record| {
            let text = |field: &str| record.fields[field].as_str().unwrap();
            (text("reason"), text("former"))
        })
        .collect();
    assert_eq!(logged, case.logged);
    assert_eq!(view.rejected.len(), case.rejected);
}

/// Guards against memory that entries of another writer use up, by their number or by the values that
/// reasons quote.
#[test]
fn rejected_entries_are_bounded() {
    let applier = applier();
    let value = format!("odd{}", "x".repeat(10_000));
    let entry = |number: usize| Entry {
        key: format!("instances/i-{number}"),
        value: value.clone().into_bytes(),
        revision: StoreRevision(1),
    };
    let entries = (0..MAX_REJECTED + 10).map(entry).collect();
    let reading = ReadResponse { revision: StoreRevision(1), entries };
    let view = applier.apply_reading(&View::default(), &reading, Time(60_000_000));
    assert_eq!(view.rejected.len(), MAX_REJECTED);
    assert!(view.rejected.values().all(|reason| reason.len() <= 200));
    let empty = ReadResponse { revision: StoreRevision(2), entries: Vec::new() };
    assert!(applier.apply_reading(&view, &empty, Time(60_000_000)).rejected.is_empty());
}

/// Records of VMs, keepers and the era, as VMs write them.
const RECORDS: [(&str, &str); 3] = [
    (
        "own/vm/vm-1",
        r#"{"name":"vm-1","place":{"zone":"east","region":"coast"},"peers":"127.0.0.1:7","life":9,
        "cpu":250,"leaving":true,"promotion":3,"leases":1,"lent":400000}"#,
    ),
    (
        "own/keeper/ledger",
        r#"{"holder":"vm-1","duty":7,"primary":"i-1","ordered":null,"term":3,"era":0,"restored":false,
        "members":[],"ordered_life":null}"#,
    ),
    ("own/era", r#"{"era":2}"#),
];

/// Returns the value with parts replaced by other bytes, mostly digits.
fn damaged(value: &str, damages: Vec<(prop::sample::Index, usize, Vec<u8>)>) -> Vec<u8> {
    let mut bytes = value.as_bytes().to_vec();
    for (at, length, new) in damages {
        let start = at.index(bytes.len() + 1);
        let end = (start + length).min(bytes.len());
        bytes.splice(start..end, new);
    }
    bytes
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(61),
        cases: 4_000,
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a damaged record that ends the VMs which read it, or that hides the others.
    #[test]
    fn a_damaged_record_is_read_or_ignored(
        (key, value) in prop::sample::select(RECORDS.to_vec()),
        damages in prop::collection::vec(
            (
                any::<prop::sample::Index>(),
                0..6_usize,
                prop_oneof![
                    prop::collection::vec(prop::sample::select(b"0123456789-e.".to_vec()), 0..24),
                    prop::collection::vec(any::<u8>(), 0..6),
                ],
            ),
            0..3,
        ),
    ) {
        let entry = |key: &str, value: Vec<u8>| Entry {
            key: key.to_owned(),
            value,
            revision: StoreRevision(3),
        };
        let whole = entry("own/vm/vm-2", RECORDS[0].1.replace("vm-1", "vm-2").into_bytes());
        let damaged = entry(key, damaged(value, damages));
        let entries = vec![damaged.clone(), whole, entry("instances/i-1", b"ready".to_vec())];
        let applier = applier();
        let now = Time(60_000_000);
        let read = ReadResponse { revision: StoreRevision(3), entries };
        let view = applier.apply_reading(&View::default(), &read, now);
        let changes = Changes { revision: StoreRevision(4), changes: vec![Change::Put(damaged)] };
        let view = applier.apply_changes(&view, &changes, now + Span::from_secs(1)).unwrap_or(view);
        prop_assert!(view.roster.member(VmId::from_name("vm-2")).is_some());
        prop_assert_eq!(view.instances.len(), 1);
        // The timers of a fleet run on it.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let _guard = runtime.enter();
        let fleet = Fleet::new(Arc::new(support::settings()), TimerService::start(Clock::new()));
        let _ = view.roster.loan_wait(&Default::default(), Span::ZERO);
        let _ = fleet.share_owners(&view.roster);
        fleet.set_view(view);
        let instance = fleet.view().instances[&InstanceKey::from_name("i-1")].clone();
        let _ = (fleet.homes(&instance), fleet.write_homes(&instance));
    }
}
