//! Large values of the store that are sent as deltas to earlier ones.

use oleander_core::time::Span;
use oleander_node::control::delta;
use oleander_node::control::delta::Delta;
use oleander_node::control::feed;
use oleander_node::control::feed::ValueForm;
use oleander_node::control::store_copy::StoreCopy;
use oleander_peer::messages::FollowReply;
use oleander_peer::messages::StoreChange;
use oleander_peer::messages::StoreContent;
use oleander_ports::store::Change;
use oleander_ports::store::Changes;
use oleander_ports::store::Entry;
use oleander_ports::store::ReadResponse;
use oleander_ports::store::StoreRevision;
use proptest::prelude::*;
use rstest::rstest;

const KEY: &str = "configuration";

/// The number of bytes that the slowest link of a VM, one of 10 Mbit/s, carries in a second.
const LINK_BYTES: usize = 10_000_000 / 8;

fn entry(value: &[u8], revision: u64) -> Entry {
    Entry { key: KEY.to_owned(), value: value.to_vec(), revision: StoreRevision(revision) }
}

/// Returns the copy of a VM that has read `value` as of `revision`.
fn copy(value: &[u8], revision: u64) -> StoreCopy {
    let mut copy = StoreCopy::default();
    let entries = vec![entry(value, revision)];
    copy.apply_reading(&ReadResponse { revision: StoreRevision(revision), entries });
    copy
}

fn put(copy: &mut StoreCopy, value: &[u8], revision: u64) {
    let changes = vec![Change::Put(entry(value, revision))];
    copy.apply_changes(&Changes { revision: StoreRevision(revision), changes });
}

/// Returns the answer of a VM with `copy` to one that has all changes up to `after`.
fn answer(copy: &mut StoreCopy, after: u64, form: ValueForm) -> FollowReply {
    let after = StoreRevision(after);
    let found = copy.changes_after(after).expect("the changes are known");
    let changes = feed::encode_changes(copy, found.changes, after, form);
    FollowReply { revision: found.revision.0, age: Span::ZERO, held: Span::ZERO, changes }
}

/// Returns a configuration with this number of routes. An edit changes its version and the time
/// limit of one route.
fn configuration(routes: usize, version: usize) -> Vec<u8> {
    let route = |number: usize| {
        let timeout = if number == routes / 2 { 1_000 + version } else { 1_000 };
        format!(
            r#"{{"Name":"r-{:08x}","Database":"d{number}","Prefix":"/","TimeoutMs":{timeout}}}"#,
            number * 0x9e37
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"Version":{version},"Routes":[{}]}}"#, routes.join(",")).into_bytes()
}

/// `AnswerCase` is the revision that a follower has, with the value it then has of the key, and
/// whether the answer is a delta.
struct AnswerCase {
    after: u64,
    value: usize,
    is_delta: bool,
}

/// Guards against a VM that applies a delta to another value than its base: it would act on a
/// configuration that nobody has written.
#[rstest]
#[case::next_version(AnswerCase { after: 12, value: 2, is_delta: true })]
#[case::other_changes_since(AnswerCase { after: 13, value: 2, is_delta: true })]
#[case::earlier_version(AnswerCase { after: 11, value: 1, is_delta: false })]
fn deltas_are_sent_to_vms_that_have_the_previous_value(#[case] case: AnswerCase) {
    let value = |version| configuration(300, version);
    let mut watcher = copy(&value(1), 10);
    put(&mut watcher, &value(2), 12);
    put(&mut watcher, &value(3), 14);
    let reply = answer(&mut watcher, case.after, ValueForm::Deltas);
    let is_delta = matches!(reply.changes[0].content, StoreContent::Delta { .. });
    assert_eq!(is_delta, case.is_delta);
    let mut follower = copy(&value(1), 10);
    if case.value == 2 {
        put(&mut follower, &value(2), 12);
    }
    let changes = feed::decode_changes(&follower, reply).expect("the follower has the value");
    assert_eq!(changes.changes, [Change::Put(entry(&value(3), 14))]);
}

/// Guards against a view that stays behind for good: a VM without the base of a delta has to be able
/// to ask for the whole value.
#[test]
fn a_vm_that_lacks_the_base_of_a_delta_gets_the_whole_value() {
    let mut watcher = copy(&configuration(300, 1), 10);
    put(&mut watcher, &configuration(300, 2), 12);
    // The watcher has not seen the version of revision 11.
    let follower = copy(&configuration(300, 7), 11);
    assert_eq!(feed::decode_changes(&follower, answer(&mut watcher, 11, ValueForm::Deltas)), None);
    let whole = feed::decode_changes(&follower, answer(&mut watcher, 11, ValueForm::Whole));
    assert_eq!(whole.unwrap().changes, [Change::Put(entry(&configuration(300, 2), 12))]);
}

/// Guards against the delta of an earlier edit in the answer to a later one: the configuration has
/// become so small in between that it is sent whole.
#[test]
fn a_value_that_shrinks_is_sent_whole() {
    let mut watcher = copy(&configuration(300, 1), 10);
    put(&mut watcher, &configuration(300, 2), 11);
    answer(&mut watcher, 10, ValueForm::Deltas);
    put(&mut watcher, &configuration(2, 3), 12);
    let mut follower = copy(&configuration(300, 1), 10);
    for (after, value) in [(10, 1), (11, 2)] {
        put(&mut follower, &configuration(300, value), after);
        let reply = answer(&mut watcher, after, ValueForm::Deltas);
        let changes = feed::decode_changes(&follower, reply).expect("the value is whole");
        assert_eq!(changes.changes, [Change::Put(entry(&configuration(2, 3), 12))]);
    }
}

/// The pattern is an edit of the configuration of a large fleet. Its routes grow with the fleet, and
/// so do the VMs that follow one watcher, so that whole values take the watcher's link for seconds:
/// its followers give up, ask again and lose their view of the store.
#[rstest]
#[case::thirty(30)]
#[case::hundred(100)]
#[case::three_hundred(300)]
fn an_edit_takes_a_small_part_of_the_watchers_link(#[case] vms: usize) {
    let followers = vms / 3 / feed::WATCHERS;
    let mut watcher = copy(&configuration(4 * vms, 1), 10);
    put(&mut watcher, &configuration(4 * vms, 2), 11);
    let bytes: usize = (0..followers)
        .map(|_| {
            oleander_peer::codec::encode(&answer(&mut watcher, 10, ValueForm::Deltas)).unwrap()
        })
        .map(|frame| frame.len())
        .sum();
    assert!(bytes < LINK_BYTES / 20, "{bytes} bytes for {followers} followers");
}

proptest! {
    /// Guards against deltas that lose or mix bytes.
    #[test]
    fn a_delta_gives_the_value(
        former in prop::collection::vec(any::<u8>(), 0..6_000),
        cuts in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
    ) {
        let mut value = former.repeat(2);
        value.extend([0; delta::MIN_VALUE_SIZE]);
        for (index, byte) in &cuts {
            let at = index.index(value.len());
            value.insert(at, *byte);
        }
        if let Some(found) = Delta::new(&former, &value) {
            prop_assert_eq!(found.apply(&former), Some(value));
        }
    }

    /// Guards against a malformed message that ends a process, and against a value of another size
    /// or content than the one that was written.
    #[test]
    fn malformed_deltas_give_no_value(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        hash in any::<u64>(),
    ) {
        let former = configuration(40, 1);
        let malformed = Delta { bytes: bytes.clone().into(), hash };
        prop_assert_eq!(malformed.apply(&former), None);
        let content = StoreContent::Delta { base: 10, delta: bytes, hash };
        let change = StoreChange { key: KEY.to_owned(), content, revision: 11 };
        let reply = FollowReply {
            revision: 11,
            age: Span::ZERO,
            held: Span::ZERO,
            changes: vec![change],
        };
        prop_assert_eq!(feed::decode_changes(&copy(&former, 10), reply), None);
    }

    /// Guards against deltas that were damaged on the way.
    #[test]
    fn damaged_deltas_give_no_other_value(at in any::<prop::sample::Index>(), bit in 0..8) {
        let (former, value) = (configuration(80, 1), configuration(80, 2));
        let mut found = Delta::new(&former, &value).expect("the values are similar");
        let mut bytes = found.bytes.to_vec();
        let at = at.index(bytes.len());
        bytes[at] ^= 1_u8 << bit;
        found.bytes = bytes.into();
        prop_assert!(found.apply(&former).is_none_or(|given| given == value));
    }
}
