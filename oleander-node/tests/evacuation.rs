//! Which instances may run statements while an availability zone is evacuated, and how a VM learns
//! of an evacuation.

mod support;

use std::sync::Arc;

use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_node::control::apply::Applier;
use oleander_node::eligibility;
use oleander_node::eligibility::Obstacle;
use oleander_node::eligibility::Rules;
use oleander_node::eligibility::StatementKind;
use oleander_node::fleet::Instance;
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

/// The instance of the rules' cases.
const KEY: InstanceKey = InstanceKey(1);

/// The zone of that instance, and the key of its evacuation.
const ZONE: &str = "east";
const ZONE_KEY: &str = "evacuations/east";

/// `RuleCase` is what is known of an instance, the statement, and what keeps the instance from
/// running it. Times are in milliseconds before now.
struct RuleCase {
    evacuated: Option<u64>,
    leaving: Option<u64>,
    primary: bool,
    kind: StatementKind,
    obstacle: Option<Obstacle>,
}

const READY: RuleCase = RuleCase {
    evacuated: None,
    leaving: None,
    primary: false,
    kind: StatementKind::New,
    obstacle: None,
};

const EVACUATED: RuleCase =
    RuleCase { evacuated: Some(0), obstacle: Some(Obstacle::Evacuated), ..READY };

const IN_TRANSACTION: StatementKind = StatementKind::InTransaction;

/// Guards against statements that reach an evacuated instance, and against refusals beyond that.
/// Half of the time for an evacuation is 2,500 ms, the drain window 5,500 ms.
#[rstest]
#[case::ready(READY)]
#[case::ready_in_transaction(RuleCase { kind: IN_TRANSACTION, ..READY })]
#[case::evacuated_replica(EVACUATED)]
#[case::evacuated_primary(RuleCase { primary: true, ..EVACUATED })]
#[case::evacuated_for_long(RuleCase { evacuated: Some(50_000), ..EVACUATED })]
#[case::evacuated_in_transaction(RuleCase { kind: IN_TRANSACTION, obstacle: None, ..EVACUATED })]
#[case::before_half_of_the_time(RuleCase {
    evacuated: Some(2_000),
    kind: IN_TRANSACTION,
    obstacle: None,
    ..EVACUATED
})]
#[case::after_half_of_the_time(RuleCase {
    evacuated: Some(2_500),
    primary: true,
    kind: IN_TRANSACTION,
    ..EVACUATED
})]
#[case::leaving_replica(RuleCase {
    leaving: Some(0),
    obstacle: Some(Obstacle::Leaving),
    ..READY
})]
#[case::leaving_primary(RuleCase { leaving: Some(5_000), primary: true, ..READY })]
#[case::primary_left(RuleCase {
    leaving: Some(5_500),
    primary: true,
    obstacle: Some(Obstacle::Leaving),
    ..READY
})]
#[case::leaving_in_transaction(RuleCase { leaving: Some(50_000), kind: IN_TRANSACTION, ..READY })]
#[case::leaving_and_evacuated(RuleCase { leaving: Some(0), primary: true, ..EVACUATED })]
fn an_instance_runs_what_the_rules_allow(#[case] case: RuleCase) {
    let ago = |millis: u64| Time(NOW.0 - Span::from_millis(millis).0);
    let view = View {
        evacuated: Arc::new(
            case.evacuated.map(|passed| (ZONE.to_owned(), ago(passed))).into_iter().collect(),
        ),
        ..View::default()
    };
    let settings = support::settings();
    let primary = case.primary.then_some(KEY);
    let rules = Rules { view: &view, settings: &settings, primary, now: NOW };
    let found = rules.obstacle(&instance(KEY, ZONE, case.leaving.map(ago)), case.kind);
    assert_eq!(found, case.obstacle);
    let elsewhere = instance(InstanceKey(2), "west", None);
    assert_eq!(rules.obstacle(&elsewhere, case.kind), None, "other zones are not concerned");
}

/// Guards against callers that return long before or after the instance elsewhere can serve them.
#[rstest]
#[case::an_instance_elsewhere_takes_over(&[ZONE, "west"], 600)]
#[case::no_instance_elsewhere(&[ZONE, ZONE], 2_000)]
fn a_refusal_tells_when_to_come_back(#[case] zones: &[&str], #[case] millis: u64) {
    let listed = zones.iter().zip(1..).map(|(zone, key)| {
        let key = InstanceKey(key);
        (key, instance(key, zone, None))
    });
    let view = View {
        instances: Arc::new(listed.collect()),
        evacuated: Arc::new([(ZONE.to_owned(), NOW)].into()),
        ..View::default()
    };
    let settings = support::settings();
    let rules = Rules { view: &view, settings: &settings, primary: Some(KEY), now: NOW };
    let refusal = rules.evacuation_refusal(DatabaseId(1));
    assert_eq!(
        (refusal.code, refusal.verdict),
        (RefusalCode::UpstreamUnavailable, Verdict::NotRun)
    );
    assert_eq!(refusal.retry_after, Some(Span::from_millis(millis)));
}

fn instance(key: InstanceKey, zone: &str, leaving_since: Option<Time>) -> Instance {
    Instance {
        key,
        database: DatabaseId(1),
        place: Place::default(),
        cold_until: None,
        leaving_since,
        entry: DirectoryEntry {
            instance: support::name("i"),
            life: 1,
            database: support::name("ledger"),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: zone.to_owned(),
            slots: 2,
            leaving: leaving_since.is_some(),
            primary: false,
            warmup: Span::ZERO,
        },
    }
}

/// `Answer` is an answer of the store.
enum Answer {
    /// A full read in an era, which has these keys.
    Read(u64, &'static [&'static str]),
    Put(&'static str),
    Deleted(&'static str),
}

use Answer::Deleted;
use Answer::Put;
use Answer::Read;

/// `StoreCase` is what the store answers, one second apart, and the seconds since the VM learned of
/// the evacuation at the last answer; `None` if there is none.
struct StoreCase {
    answers: &'static [Answer],
    learned: Option<u64>,
}

/// Guards against an evacuation that a VM does not learn of, that is forgotten when the store comes
/// back from a copy, that starts anew with each answer, or that never ends.
#[rstest]
#[case::watched(StoreCase { answers: &[Read(1, &[]), Put(ZONE_KEY)], learned: Some(0) })]
#[case::read(StoreCase { answers: &[Read(1, &[ZONE_KEY])], learned: Some(0) })]
#[case::read_again(StoreCase {
    answers: &[Read(1, &[ZONE_KEY]), Put(ZONE_KEY), Read(1, &[ZONE_KEY])],
    learned: Some(2),
})]
#[case::other_key(StoreCase { answers: &[Put("evacuate/east"), Put("evacuations")], learned: None })]
#[case::no_zone(StoreCase { answers: &[Put("evacuations/")], learned: None })]
#[case::deleted(StoreCase { answers: &[Put(ZONE_KEY), Deleted(ZONE_KEY)], learned: None })]
#[case::other_zone_deleted(StoreCase {
    answers: &[Put(ZONE_KEY), Deleted("evacuations/west")],
    learned: Some(1),
})]
#[case::deleted_unseen(StoreCase { answers: &[Read(1, &[ZONE_KEY]), Read(1, &[])], learned: None })]
#[case::requested_again(StoreCase {
    answers: &[Put(ZONE_KEY), Deleted(ZONE_KEY), Put(ZONE_KEY)],
    learned: Some(0),
})]
#[case::the_copy_lacks_it(StoreCase { answers: &[Put(ZONE_KEY), Read(2, &[])], learned: Some(1) })]
#[case::the_second_read_lacks_it(StoreCase {
    answers: &[Put(ZONE_KEY), Read(2, &[]), Read(2, &[])],
    learned: None,
})]
#[case::requested_again_after_the_restore(StoreCase {
    answers: &[Put(ZONE_KEY), Read(2, &[]), Read(2, &[ZONE_KEY])],
    learned: Some(2),
})]
#[case::only_in_the_copy(StoreCase {
    answers: &[Read(1, &[]), Read(2, &[ZONE_KEY])],
    learned: Some(0),
})]
fn a_vm_learns_of_an_evacuation_from_the_store(#[case] case: StoreCase) {
    let sources = Sources {
        configuration_key: "configuration",
        directory_prefix: "instances/",
        evacuation_prefix: "evacuations/",
        own_prefix: "own/",
        decode_configuration: |_| Ok(Snapshot::default()),
        decode_entry: |_, _| Err("no entry".to_owned()),
    };
    let journal = Journal::new("test", Clock::new());
    let applier = Applier::new(sources, Arc::new(support::settings()), journal);
    let mut view = View::default();
    let mut now = NOW;
    let mut era = 1;
    for (answer, change) in case.answers.iter().zip(1..) {
        now = now + Span::from_secs(1);
        era = if let Read(read, _) = answer { *read } else { era };
        let revision = StoreRevision::new(era, change).unwrap();
        let entry = |key: &&str| Entry { key: (*key).to_owned(), value: b"?".to_vec(), revision };
        let changed = |change| Changes { revision, changes: vec![change] };
        view = match answer {
            Read(_, keys) => {
                let entries = keys.iter().map(entry).collect();
                applier.apply_reading(&view, &ReadResponse { revision, entries }, now)
            }
            Put(key) => {
                applier.apply_changes(&view, &changed(Change::Put(entry(key))), now).unwrap()
            }
            Deleted(key) => {
                let deleted = Change::Deleted { key: (*key).to_owned(), revision };
                applier.apply_changes(&view, &changed(deleted), now).unwrap()
            }
        };
    }
    assert!(view.evacuated.keys().all(|zone| zone == ZONE));
    let learned = view.evacuated.get(ZONE).map(|learned| now.since(*learned));
    assert_eq!(learned, case.learned.map(Span::from_secs));
}

/// `SilenceCase` is the age of the former view, whether it had the evacuation, and the time for which
/// statements of open transactions may still run, in milliseconds.
struct SilenceCase {
    age: u64,
    known: bool,
    left: u64,
}

/// Guards against a VM that was without contact and lets transactions go on beyond the time for the
/// evacuation.
#[rstest]
#[case::in_contact(SilenceCase { age: 1_500, known: false, left: 2_200 })]
#[case::learned_late(SilenceCase { age: 4_000, known: false, left: 700 })]
#[case::without_contact(SilenceCase { age: 5_000, known: false, left: 0 })]
#[case::known_before(SilenceCase { age: 5_000, known: true, left: 2_200 })]
fn the_time_for_transactions_counts_from_the_earliest_time_of_the_request(
    #[case] case: SilenceCase,
) {
    let settings = support::settings();
    let mut view = View { evacuated: Arc::new([(ZONE.to_owned(), NOW)].into()), ..View::default() };
    let former = if case.known { view.clone() } else { View::default() };
    let synced = Time(NOW.0 - Span::from_millis(case.age).0);
    eligibility::shorten_window(&mut view, &former, synced, NOW, &settings);
    let runs_at = |millis: u64| {
        let now = NOW + Span::from_millis(millis);
        let rules = Rules { view: &view, settings: &settings, primary: None, now };
        rules.obstacle(&instance(KEY, ZONE, None), IN_TRANSACTION).is_none()
    };
    assert!(!runs_at(case.left));
    assert!(case.left == 0 || runs_at(case.left - 1));
}
