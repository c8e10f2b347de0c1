//! Views after the store was restored from a copy some seconds old: what the copy lacks is kept,
//! and what it shows of before is not taken for new.

mod support;

use std::sync::Arc;

use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::keeper::messages::RecordState;
use oleander_membership::leased::LeasedMember;
use oleander_node::control::apply::Applier;
use oleander_node::fleet::KeeperRecord;
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
use rstest::rstest;

const NOW: Time = Time(60_000_000);

/// An era of the store, and the one that follows a restore.
const ERA: u64 = 3;
const NEXT_ERA: u64 = 4;

fn applier() -> Applier {
    let sources = Sources {
        configuration_key: "configuration",
        directory_prefix: "instances/",
        evacuation_prefix: "evacuations/",
        own_prefix: "own/",
        decode_configuration: |value| {
            let mut snapshot = Snapshot::default();
            snapshot.revision = Revision(value[0].into());
            Ok(snapshot)
        },
        decode_entry: |key, _| {
            Ok(DirectoryEntry {
                instance: support::name(key.strip_prefix("instances/").unwrap()),
                life: 1,
                database: support::name("ledger"),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: String::new(),
                slots: 2,
                leaving: false,
                primary: true,
                warmup: Span::ZERO,
            })
        },
    };
    Applier::new(sources, Arc::new(support::settings()), Journal::new("test", Clock::new()))
}

fn revision(era: u64, change: u64) -> StoreRevision {
    StoreRevision::new(era, change).unwrap()
}

fn reading(era: u64, change: u64, values: &[(&str, &[u8])]) -> ReadResponse {
    let entry = |(key, value): &(&str, &[u8])| Entry {
        key: (*key).to_owned(),
        value: value.to_vec(),
        revision: revision(era, change),
    };
    ReadResponse { revision: revision(era, change), entries: values.iter().map(entry).collect() }
}

/// `Order` is two revisions, the earlier one first.
struct Order {
    earlier: (u64, u64),
    later: (u64, u64),
}

/// Fencing tokens are revisions, so that they must grow although revisions are given out again.
#[rstest]
#[case::within_an_era(Order { earlier: (3, 7), later: (3, 8) })]
#[case::in_the_next_era(Order { earlier: (3, 900_000), later: (4, 1) })]
#[case::first_era(Order { earlier: (0, 900_000), later: (1, 1) })]
fn revisions_grow_across_eras(#[case] order: Order) {
    let [earlier, later] = [order.earlier, order.later].map(|(era, change)| revision(era, change));
    assert!(earlier < later);
    assert_eq!((later.era(), later.change()), order.later);
}

#[rstest]
#[case::change(0, 1 << 40)]
#[case::era(1 << 24, 1)]
fn a_revision_out_of_range_is_rejected(#[case] era: u64, #[case] change: u64) {
    assert_eq!(StoreRevision::new(era, change), None);
}

/// `Reading` is what the copy shows of an instance, and which instances count after it.
struct DirectoryCase {
    before: &'static [&'static str],
    copy: &'static [&'static str],
    after: &'static [&'static str],
}

#[rstest]
#[case::unchanged(DirectoryCase { before: &["a"], copy: &["a"], after: &["a"] })]
#[case::joined_since(DirectoryCase { before: &["a", "b"], copy: &["a"], after: &["a", "b"] })]
#[case::left_since(DirectoryCase { before: &["a"], copy: &["a", "b"], after: &["a"] })]
fn the_directory_of_the_copy_does_not_count(#[case] case: DirectoryCase) {
    let applier = applier();
    let read = |era, names: &[&str]| {
        let keys: Vec<String> = names.iter().map(|name| format!("instances/{name}")).collect();
        let values: Vec<(&str, &[u8])> = keys.iter().map(|key| (key.as_str(), &b""[..])).collect();
        reading(era, 20, &values)
    };
    let names = |view: &View| {
        let mut found: Vec<String> =
            view.instances.values().map(|instance| instance.entry.instance.to_string()).collect();
        found.sort();
        found
    };
    let before = applier.apply_reading(&View::default(), &read(ERA, case.before), NOW);
    let restored = applier.apply_reading(&before, &read(NEXT_ERA, case.copy), NOW);
    assert_eq!(names(&restored), case.after);
    assert_eq!(restored.revision.era(), NEXT_ERA);
    // The instances have written again by the next reading.
    let settled = applier.apply_reading(&restored, &read(NEXT_ERA, case.copy), NOW);
    assert_eq!(names(&settled), case.copy);
}

/// A key that has been withdrawn would otherwise work again.
#[rstest]
#[case::earlier_version(4, 5)]
#[case::same_version(5, 5)]
#[case::written_again_with_a_later_version(6, 6)]
fn an_earlier_configuration_does_not_come_back(#[case] copy: u8, #[case] in_force: u64) {
    let applier = applier();
    let before =
        applier.apply_reading(&View::default(), &reading(ERA, 20, &[("configuration", &[5])]), NOW);
    let read = reading(NEXT_ERA, 12, &[("configuration", &[copy])]);
    let restored = applier.apply_reading(&before, &read, NOW);
    assert_eq!(restored.snapshot.revision, Revision(in_force));
    let settled = applier.apply_reading(&restored, &read, NOW);
    assert_eq!(settled.snapshot.revision, Revision(in_force));
}

/// Another VM would otherwise take over the shares that a VM still uses under the lost lease.
#[test]
fn a_vm_whose_lease_was_lost_stays_until_the_next_reading() {
    let applier = applier();
    let member = LeasedMember {
        name: "vm-1".to_owned(),
        place: Place::default(),
        peers: "127.0.0.1:1".parse().unwrap(),
        life: 1,
        cpu: 0,
        leaving: false,
        promotion: 0,
        leases: 0,
        lent: None,
    };
    let value = serde_json::to_vec(&member).unwrap();
    let read = reading(ERA, 20, &[("own/vm/vm-1", &value)]);
    let before = applier.apply_reading(&View::default(), &read, NOW);
    let restored = applier.apply_reading(&before, &reading(NEXT_ERA, 12, &[]), NOW);
    assert!(restored.roster.may_own(VmId::from_name("vm-1")));
    let settled = applier.apply_reading(&restored, &reading(NEXT_ERA, 12, &[]), NOW);
    assert!(!settled.roster.is_present(VmId::from_name("vm-1")));
}

fn record(primary: Option<&str>, era: u64) -> Vec<u8> {
    let record = KeeperRecord {
        holder: Some("vm-1".to_owned()),
        duty: 1,
        primary: primary.map(str::to_owned),
        ordered: None,
        term: 1,
        era,
        restored: false,
        members: None,
        ordered_life: None,
    };
    serde_json::to_vec(&record).unwrap()
}

/// A keeper puts its own record into its view before the watch tells of the records before it.
#[test]
fn an_earlier_record_does_not_replace_a_later_one() {
    let applier = applier();
    let key = "own/keeper/ledger";
    let later = reading(ERA, 20, &[(key, &record(Some("a"), ERA))]);
    let view = applier.apply_reading(&View::default(), &later, NOW);
    let earlier = reading(ERA, 19, &[(key, &record(None, ERA))]);
    let changes = Changes {
        revision: earlier.revision,
        changes: earlier.entries.into_iter().map(Change::Put).collect(),
    };
    let view = applier.apply_changes(&view, &changes, NOW).unwrap();
    let keeper = &view.keepers[&DatabaseId::from_name("ledger")];
    assert_eq!(keeper.primary, Some(InstanceKey::from_name("a")));
}

/// `RecordCase` is the keeper record that a VM knew, the one in the restored store, and what the VM
/// goes by.
struct RecordCase {
    known: Option<Option<&'static str>>,
    /// The record in the store with the era in which it was written; `None` if there is none.
    stored: Option<(Option<&'static str>, u64)>,
    primary: Option<&'static str>,
    state: RecordState,
}

const A: InstanceKey = InstanceKey(0);

#[rstest]
#[case::the_copy_is_older(RecordCase {
    known: Some(None),
    stored: Some((Some("a"), ERA)),
    primary: None,
    state: RecordState::Restored,
})]
#[case::the_copy_lacks_the_record(RecordCase {
    known: Some(Some("a")),
    stored: None,
    primary: Some("a"),
    state: RecordState::Restored,
})]
#[case::a_process_that_has_just_started(RecordCase {
    known: None,
    stored: Some((Some("a"), ERA)),
    primary: None,
    state: RecordState::Restored,
})]
#[case::written_since(RecordCase {
    known: Some(None),
    stored: Some((Some("a"), NEXT_ERA)),
    primary: Some("a"),
    state: RecordState::Settled(A),
})]
fn a_keeper_record_from_the_copy_names_no_primary(#[case] case: RecordCase) {
    let applier = applier();
    let key = "own/keeper/ledger";
    let mut view = View::default();
    if let Some(primary) = case.known {
        let read = reading(ERA, 20, &[(key, &record(primary, ERA))]);
        view = applier.apply_reading(&view, &read, NOW);
    }
    let value = case.stored.map(|(primary, era)| record(primary, era));
    let values: Vec<(&str, &[u8])> = value.iter().map(|value| (key, &value[..])).collect();
    let read = reading(NEXT_ERA, 12, &values);
    for _ in 0..2 {
        // The next reading shows the same, as nobody has written the record again.
        view = applier.apply_reading(&view, &read, NOW);
        let keeper = &view.keepers[&DatabaseId::from_name("ledger")];
        assert_eq!(keeper.primary, case.primary.map(InstanceKey::from_name));
        let state = match case.state {
            RecordState::Settled(_) => RecordState::Settled(InstanceKey::from_name("a")),
            other => other,
        };
        assert_eq!(keeper.record_state(), state);
    }
}
