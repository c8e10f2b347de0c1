//! Following the store through another VM: the changes that it tells, the time until which they
//! show a view to be complete, and the calls to the store that a fleet needs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::leased::LeasedMember;
use oleander_membership::leased::LeasedRoster;
use oleander_node::control::Pace;
use oleander_node::control::feed;
use oleander_node::control::relay::Path;
use oleander_node::control::store_copy::StoreCopy;
use oleander_ports::store::Change;
use oleander_ports::store::Changes;
use oleander_ports::store::Entry;
use oleander_ports::store::ReadResponse;
use oleander_ports::store::StoreRevision;
use rstest::rstest;

fn entry(key: &str, revision: u64) -> Entry {
    Entry { key: key.to_owned(), value: vec![revision as u8], revision: StoreRevision(revision) }
}

fn put(key: &str, revision: u64) -> Change {
    Change::Put(entry(key, revision))
}

fn deleted(key: &str, revision: u64) -> Change {
    Change::Deleted { key: key.to_owned(), revision: StoreRevision(revision) }
}

fn changes(revision: u64, changes: &[Change]) -> Changes {
    Changes { revision: StoreRevision(revision), changes: changes.to_vec() }
}

fn reading(revision: u64, entries: &[Entry]) -> ReadResponse {
    ReadResponse { revision: StoreRevision(revision), entries: entries.to_vec() }
}

/// Returns a copy with a full read at revision 10 and changes up to revision 14.
fn copy() -> StoreCopy {
    let mut copy = StoreCopy::default();
    copy.apply_reading(&reading(10, &[entry("a", 4), entry("b", 9)]));
    copy.apply_changes(&changes(12, &[put("a", 11), deleted("b", 12)]));
    copy.apply_changes(&changes(14, &[put("a", 13), put("c", 14)]));
    copy
}

/// `FollowCase` is the revision that a follower has, and what it is told; `None` if it has to read
/// the store.
struct FollowCase {
    after: u64,
    told: Option<Vec<Change>>,
}

#[rstest]
#[case::before_the_full_read(FollowCase { after: 9, told: None })]
#[case::from_the_full_read_on(FollowCase {
    after: 10,
    told: Some(vec![deleted("b", 12), put("a", 13), put("c", 14)]),
})]
#[case::some_later(FollowCase { after: 13, told: Some(vec![put("c", 14)]) })]
#[case::all(FollowCase { after: 14, told: Some(vec![]) })]
#[case::more_than_this_vm(FollowCase { after: 15, told: None })]
fn a_follower_is_told_the_latest_change_of_each_key(#[case] case: FollowCase) {
    let found = copy().changes_after(StoreRevision(case.after));
    assert_eq!(found.as_ref().map(|found| &found.changes), case.told.as_ref());
    assert!(found.is_none_or(|found| found.revision == StoreRevision(14)));
}

#[test]
fn before_a_full_read_a_vm_tells_nothing() {
    assert_eq!(StoreCopy::default().changes_after(StoreRevision(0)), None);
}

/// A key that vanished while the store had dropped its history would otherwise stay in the views of
/// followers: a server that has left would be in use again.
#[test]
fn a_key_that_a_later_full_read_lacks_is_told_as_deleted() {
    let mut copy = copy();
    copy.apply_reading(&reading(20, &[entry("c", 14), entry("d", 19)]));
    let found = copy.changes_after(StoreRevision(14)).unwrap();
    assert_eq!(found.changes, [put("d", 19), deleted("a", 20)]);
}

#[test]
fn a_key_that_is_written_again_is_told_after_its_deletion() {
    let mut copy = copy();
    copy.apply_changes(&changes(15, &[put("b", 15)]));
    let found = copy.changes_after(StoreRevision(10)).unwrap();
    let of_b: Vec<&Change> = found
        .changes
        .iter()
        .filter(|change| {
            matches!(change, Change::Put(entry) if entry.key == "b") || **change == deleted("b", 12)
        })
        .collect();
    assert_eq!(of_b, [&deleted("b", 12), &put("b", 15)]);
}

/// `Vouched` is an answer of a watcher, in milliseconds, and the age of the follower's view when it
/// arrives.
struct Vouched {
    /// The time on the way to the watcher and back.
    ways: [u64; 2],
    held: u64,
    age: u64,
    view_age: u64,
}

/// A withdrawn key must stop on a VM that only another VM vouches for: neither delay on the way may
/// make the view seem newer than it is.
#[rstest]
#[case::no_delay(Vouched { ways: [0, 0], held: 0, age: 300, view_age: 300 })]
#[case::slow_question(Vouched { ways: [900, 0], held: 0, age: 300, view_age: 1_200 })]
#[case::slow_answer(Vouched { ways: [0, 900], held: 0, age: 300, view_age: 1_200 })]
#[case::waited_for_a_change(Vouched { ways: [1, 1], held: 1_000, age: 300, view_age: 302 })]
fn the_age_of_a_view_counts_from_the_question_to_the_store(#[case] case: Vouched) {
    let asked = Time(60_000_000);
    let millis = Span::from_millis;
    let synced = feed::synced_time(asked, millis(case.held), millis(case.age));
    let arrived = asked + millis(case.ways[0] + case.held + case.ways[1]);
    assert_eq!(arrived.since(synced), millis(case.view_age));
}

/// `Fleet` is a number of VMs that start at once, spread over six availability zones.
struct FleetSize {
    vms: u32,
    /// The number of VMs that watch the store.
    watchers: usize,
}

fn place(zone: u32) -> Place {
    Place { region: format!("r{}", zone / 2), zone: format!("z{zone}") }
}

fn roster(vms: u32) -> LeasedRoster {
    let mut roster = LeasedRoster::default();
    for index in 0..vms {
        let name = format!("vm-{index}");
        let peers = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let place = place(index % 6);
        let member = LeasedMember {
            name,
            place,
            peers,
            life: 1,
            cpu: 0,
            leaving: false,
            promotion: 0,
            leases: 0,
            lent: None,
        };
        roster.put(member);
    }
    roster
}

/// The pattern is the start of a whole fleet: each VM writes a record within two seconds, and each
/// record is a change that ends every watch. The calls to the store were the largest price of a day
/// with 195 VMs.
#[rstest]
#[case::small(FleetSize { vms: 9, watchers: 6 })]
#[case::grown(FleetSize { vms: 58, watchers: 6 })]
#[case::large(FleetSize { vms: 195, watchers: 6 })]
#[case::target(FleetSize { vms: 420, watchers: 6 })]
fn the_calls_of_a_starting_fleet_do_not_grow_with_its_square(#[case] size: FleetSize) {
    let roster = roster(size.vms);
    let of_region = |region| roster.watchers(region, |_| 0, |_| true).len().min(feed::WATCHERS);
    let watchers: usize = ["r0", "r1", "r2"].map(of_region).iter().sum();
    assert_eq!(watchers, size.watchers);
    let joins =
        |index: u32| Time(60_000_000) + Span::from_millis(u64::from(index * 2_000 / size.vms));
    let mut calls = 0;
    let mut pace = Pace::new(Span::from_millis(100), 5);
    let mut now = Time(60_000_000);
    while now < joins(size.vms) {
        now = pace.next(now) + Span::from_millis(4);
        calls += 1;
    }
    // Five at once and ten a second: whatever the number of records.
    assert!(calls <= 5 + 20 + 1, "{calls} calls of each watcher");
}

/// All VMs of a region follow the same ones, which a lost zone does not take away together, and a
/// lost watcher is replaced by another VM.
#[test]
fn the_vms_of_a_region_agree_on_their_watchers() {
    let mut roster = roster(60);
    let ranked = roster.watchers("r1", |_| 0, |_| true);
    assert_eq!(ranked.len(), 20);
    let by_vm: BTreeMap<VmId, Place> =
        roster.present().map(|member| (member.vm(), member.place.clone())).collect();
    assert!(ranked.iter().all(|vm| by_vm[vm].region == "r1"));
    assert_ne!(by_vm[&ranked[0]].zone, by_vm[&ranked[1]].zone);
    let others = |roster: &LeasedRoster| roster.watchers("r1", |_| 0, |vm| vm != ranked[0]);
    let sorted = |vms: &[VmId]| vms.iter().copied().collect::<BTreeSet<VmId>>();
    assert_eq!(sorted(&others(&roster)), sorted(&ranked[1..]));
    assert!(others(&roster)[..feed::WATCHERS].contains(&ranked[1]));
    roster.end_lease(ranked[1], Time(5));
    assert!(!others(&roster).contains(&ranked[1]));
    assert_ne!(by_vm[&others(&roster)[0]].zone, by_vm[&others(&roster)[1]].zone);
}

/// The pattern is a fleet of few large VMs and many small ones with slow links: a watcher answers all
/// VMs of its region.
#[test]
fn large_vms_of_different_zones_watch_where_size_counts() {
    let mut roster = roster(60);
    for index in 0..12 {
        let name = format!("vm-{index}");
        let member = roster.member(VmId::from_name(&name)).expect("the VM is in the roster");
        let large = LeasedMember { cpu: 500, ..member.clone() };
        roster.put(large);
    }
    let ranked = roster.watchers("r1", |member| member.cpu, |_| true);
    assert_eq!(ranked.len(), 20);
    let members: Vec<&LeasedMember> = ranked.iter().filter_map(|vm| roster.member(*vm)).collect();
    let sizes: Vec<u32> = members.iter().map(|member| member.cpu).collect();
    assert_eq!(sizes[..5], [500, 500, 500, 500, 0]);
    assert_ne!(members[0].place.zone, members[1].place.zone);
}

/// `PathCase` is the outcomes of this VM's own calls to the store, each with the milliseconds since
/// the start, and what holds for its own calls and for those of others at `at`.
struct PathCase {
    outcomes: &'static [(u64, bool)],
    at: u64,
    is_down: bool,
    is_sound: bool,
}

/// The pattern is a store that turns a third of the VMs away: those call it through others. If it is
/// down for all, nobody passes calls on, so that it is not called more often.
#[rstest]
#[case::before_the_first_call(PathCase { outcomes: &[], at: 100, is_down: false, is_sound: false })]
#[case::reached(PathCase { outcomes: &[(0, true)], at: 1_000, is_down: false, is_sound: true })]
#[case::not_called_for_long(PathCase {
    outcomes: &[(0, true)],
    at: 2_600,
    is_down: false,
    is_sound: false,
})]
#[case::just_lost(PathCase {
    outcomes: &[(0, true), (500, false)],
    at: 600,
    is_down: true,
    is_sound: false,
})]
#[case::tried_again_later(PathCase {
    outcomes: &[(0, true), (500, false)],
    at: 1_500,
    is_down: false,
    is_sound: true,
})]
#[case::lost_for_long(PathCase {
    outcomes: &[(0, true), (500, false), (1_500, false), (2_500, false)],
    at: 3_500,
    is_down: false,
    is_sound: false,
})]
#[case::reached_again(PathCase {
    outcomes: &[(0, true), (500, false), (700, true)],
    at: 800,
    is_down: false,
    is_sound: true,
})]
fn a_vm_passes_calls_on_only_while_its_own_succeed(#[case] case: PathCase) {
    let start = Time(60_000_000);
    let at = |millis| start + Span::from_millis(millis);
    let mut path = Path::default();
    for (millis, succeeded) in case.outcomes {
        path.record(at(*millis), *succeeded);
    }
    assert_eq!(path.is_down(at(case.at)), case.is_down);
    assert_eq!(path.is_sound(at(case.at)), case.is_sound);
}
