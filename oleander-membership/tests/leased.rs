//! How long new owners of shares wait for loans after a roster change, and which VM is the first
//! home when leases end.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::leased::LeasedMember;
use oleander_membership::leased::LeasedRoster;
use oleander_membership::leased::SHARE_COUNT;
use rstest::rstest;

/// The wait for loans of a VM that announced no time.
const UNKNOWN: Span = Span::from_millis(1_000);
const SHORT: Span = Span::from_millis(200);
const LONG: Span = Span::from_millis(400);

/// `Change` is one event between two states of the roster.
#[derive(Clone, Copy)]
enum Change {
    /// The VM joins or renews its lease.
    Joins(&'static str),
    /// The VM announces that it is leaving, with the time for which its loans may be in use.
    Leaves(&'static str, Option<Span>),
    /// The VM's lease ends.
    Lapses(&'static str),
}

/// `Case` is a sequence of events and the wait that new owners of shares need after it; `None` if
/// there are none.
struct Case {
    changes: &'static [Change],
    wait: Option<Span>,
}

fn member(name: &str, leaving: bool, lent: Option<Span>) -> LeasedMember {
    let place = Place { region: "r".into(), zone: "z".into() };
    let peers = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    LeasedMember {
        name: name.into(),
        place,
        peers,
        life: 1,
        cpu: 0,
        leaving,
        promotion: 0,
        leases: 0,
        lent,
    }
}

fn apply(roster: &mut LeasedRoster, change: Change) {
    match change {
        Change::Joins(name) => roster.put(member(name, false, None)),
        Change::Leaves(name, lent) => roster.put(member(name, true, lent)),
        Change::Lapses(name) => roster.end_lease(VmId::from_name(name), Time(5)),
    }
}

#[rstest]
#[case::no_change(Case { changes: &[], wait: None })]
#[case::another_joins(Case { changes: &[Change::Joins("c")], wait: None })]
#[case::one_leaves(Case { changes: &[Change::Leaves("a", Some(SHORT))], wait: Some(SHORT) })]
#[case::one_leaves_without_a_loan_time(Case { changes: &[Change::Leaves("a", None)], wait: Some(UNKNOWN) })]
#[case::one_lease_ends(Case { changes: &[Change::Lapses("a")], wait: Some(UNKNOWN) })]
#[case::longest_loan_counts(Case {
    changes: &[Change::Leaves("a", Some(LONG)), Change::Leaves("b", Some(SHORT))],
    wait: Some(LONG),
})]
#[case::one_leaves_and_another_lease_ends(Case {
    changes: &[Change::Leaves("a", Some(SHORT)), Change::Lapses("b")],
    wait: Some(UNKNOWN),
})]
#[case::one_leaves_and_its_lease_ends(Case {
    changes: &[Change::Leaves("a", Some(SHORT)), Change::Lapses("a")],
    wait: Some(UNKNOWN),
})]
fn new_owners_wait_for_loans_of_former_owners(#[case] case: Case) {
    let mut former = LeasedRoster::default();
    apply(&mut former, Change::Joins("a"));
    apply(&mut former, Change::Joins("b"));
    let mut roster = former.clone();
    case.changes.iter().for_each(|change| apply(&mut roster, *change));
    assert_eq!(roster.loan_wait(&former, UNKNOWN), case.wait);
}

#[test]
fn time_of_the_last_expiry_survives_a_rejoin() {
    let mut roster = LeasedRoster::default();
    apply(&mut roster, Change::Joins("a"));
    assert_eq!(roster.last_expiry(), None);
    apply(&mut roster, Change::Lapses("a"));
    apply(&mut roster, Change::Joins("a"));
    assert_eq!(roster.last_expiry(), Some(Time(5)));
}

/// `Homes` lists the events since VM `a` was the first home, and whether `a` is still the first
/// home for reads and for writes.
struct Homes {
    changes: &'static [Change],
    reads: bool,
    writes: bool,
}

/// Guards against writes being sent to a home without a lease, which refuses them until its lease
/// is renewed; three seconds of writes were refused that way.
#[rstest]
#[case::all_leases_valid(Homes { changes: &[], reads: true, writes: true })]
#[case::lease_of_the_home_ended(Homes { changes: &[Change::Lapses("a")], reads: true, writes: false })]
#[case::all_leases_ended(Homes {
    changes: &[Change::Lapses("a"), Change::Lapses("b")],
    reads: true,
    writes: true,
})]
#[case::only_the_other_lease_was_renewed(Homes {
    changes: &[Change::Lapses("a"), Change::Lapses("b"), Change::Joins("b")],
    reads: true,
    writes: false,
})]
fn writes_prefer_homes_with_a_lease(#[case] homes: Homes) {
    let place = Place { region: "r".into(), zone: "z".into() };
    let mut roster = LeasedRoster::default();
    apply(&mut roster, Change::Joins("a"));
    apply(&mut roster, Change::Joins("b"));
    let a = VmId::from_name("a");
    // A key whose first home is `a`.
    let key = (0..).find(|key| roster.homes(*key, &place, |_| true)[0] == a).unwrap();
    homes.changes.iter().for_each(|change| apply(&mut roster, *change));
    assert_eq!(roster.homes(key, &place, |_| true)[0] == a, homes.reads);
    assert_eq!(roster.write_homes(key, &place, |_| true)[0] == a, homes.writes);
}

/// `Ranked` is a fleet of VMs with their region, zone and processor time, and the home of the region
/// `r`.
struct Ranked {
    vms: &'static [(&'static str, &'static str, &'static str, u32)],
    home: &'static str,
}

/// Guards against small VMs that become the home of many instances while a larger one is free, and
/// against homes in other regions.
#[rstest]
#[case::most_processor_time(Ranked {
    vms: &[("a", "r", "z1", 120), ("b", "r", "z2", 500), ("c", "r", "z1", 120)],
    home: "b",
})]
#[case::own_region_first(Ranked { vms: &[("a", "r", "z1", 120), ("b", "s", "z3", 500)], home: "a" })]
#[case::no_vm_in_the_region(Ranked {
    vms: &[("a", "s", "z3", 120), ("b", "s", "z3", 500)],
    home: "b",
})]
fn the_home_of_a_region_owns_its_shares(#[case] ranked: Ranked) {
    let roster = roster_of(ranked.vms);
    let home = Some(VmId::from_name(ranked.home));
    assert_eq!(roster.regional_homes(7, "r", |_| true).first().copied(), home);
    let owners = roster.regional_owners(&["r".into(), "s".into()]);
    assert_eq!((owners.len(), owners[0], owners[2]), (SHARE_COUNT, home, home));
}

/// Load: each VM of a region brings callers of its own. Guards against a home that has to run the
/// statements of a fleet of any size, and against homes that are spread where one suffices.
#[rstest]
#[case::one_for_a_small_region(20, 1)]
#[case::one_up_to_twice_the_size(63, 1)]
#[case::several_for_a_large_region(100, 4)]
fn homes_of_a_region_grow_with_its_vms(#[case] vms: usize, #[case] homes: usize) {
    let mut roster = LeasedRoster::default();
    for index in 0..vms {
        roster.put(spread_member(&format!("vm-{index}"), 3 * index));
    }
    let home_of = |key: u64| roster.regional_homes(key, "r", |_| true)[0];
    let found: BTreeSet<VmId> = (0..200).map(home_of).collect();
    assert_eq!(found.len(), homes);
    let owner = roster.regional_owners(&["r".into()])[0];
    assert!(owner.is_some_and(|owner| found.contains(&owner)));
}

/// Guards against shares that move between two VMs that stay: the rate limiter reckons only with
/// moves to a VM that joins and from one that leaves.
#[test]
fn a_vm_that_joins_or_leaves_moves_only_its_own_shares() {
    let names: Vec<String> = (0..24).map(|index| format!("vm-{index}")).collect();
    let regions = ["r".into(), "s".into(), "t".into()];
    for index in 0..names.len() {
        let mut roster = LeasedRoster::default();
        for (other, name) in names.iter().enumerate().filter(|(other, _)| *other != index) {
            roster.put(spread_member(name, other));
        }
        let before = roster.regional_owners(&regions);
        roster.put(spread_member(&names[index], index));
        let joined = Some(VmId::from_name(&names[index]));
        for (former, owner) in before.iter().zip(roster.regional_owners(&regions)) {
            assert!(owner == *former || owner == joined, "{} moved another share", names[index]);
        }
    }
}

/// Guards against new owners that do not wait for the loans of a VM that starts again with less
/// processor time, and so loses shares without leaving.
#[test]
fn loans_of_a_vm_that_starts_again_smaller_are_waited_for() {
    let former = roster_of(&[("a", "r", "z1", 500), ("b", "r", "z1", 120)]);
    let smaller = roster_of(&[("a", "r", "z1", 100), ("b", "r", "z1", 120)]);
    assert_eq!(smaller.loan_wait(&former, UNKNOWN), Some(UNKNOWN));
    assert_eq!(former.loan_wait(&smaller, UNKNOWN), None);
}

fn roster_of(vms: &[(&str, &str, &str, u32)]) -> LeasedRoster {
    let mut roster = LeasedRoster::default();
    for (name, region, zone, cpu) in vms {
        let place = Place { region: (*region).into(), zone: (*zone).into() };
        roster.put(LeasedMember { place, cpu: *cpu, ..member(name, false, None) });
    }
    roster
}

/// Returns the record of a VM in one of three regions, with one of two sizes.
fn spread_member(name: &str, index: usize) -> LeasedMember {
    let place = Place { region: ["r", "s", "t"][index % 3].into(), zone: "z".into() };
    let cpu = if index.is_multiple_of(5) { 500 } else { 120 };
    LeasedMember { place, cpu, ..member(name, false, None) }
}

/// `Since` is what happens to a roster of `a` and `b`, and the processes that have joined since; `None`
/// if one may be gone that was a member meanwhile.
struct Since {
    change: fn(&mut LeasedRoster),
    joined: Option<&'static [&'static str]>,
}

fn started_again(name: &str) -> LeasedMember {
    LeasedMember { life: 2, ..member(name, false, None) }
}

/// Guards against a process that has confirmed commits and is forgotten.
#[rstest]
#[case::nothing(Since { change: |_| {}, joined: Some(&[]) })]
#[case::renewed(Since { change: |roster| roster.put(member("a", false, None)), joined: Some(&[]) })]
#[case::leaving(Since { change: |roster| roster.put(member("a", true, None)), joined: Some(&[]) })]
#[case::lapsed(Since {
    change: |roster| roster.end_lease(VmId::from_name("a"), Time(5)),
    joined: Some(&[]),
})]
#[case::joined(Since {
    change: |roster| roster.put(member("c", false, None)),
    joined: Some(&["c"]),
})]
#[case::joined_and_lapsed(Since {
    change: |roster| {
        roster.put(member("c", false, None));
        roster.end_lease(VmId::from_name("c"), Time(5));
    },
    joined: None,
})]
#[case::joined_and_left(Since {
    change: |roster| {
        roster.put(member("c", true, None));
        roster.end_lease(VmId::from_name("c"), Time(5));
    },
    joined: None,
})]
#[case::joined_and_started_again(Since {
    change: |roster| {
        roster.put(member("c", false, None));
        roster.put(started_again("c"));
    },
    joined: None,
})]
#[case::started_again(Since { change: |roster| roster.put(started_again("a")), joined: None })]
#[case::dropped(Since {
    change: |roster| {
        roster.end_lease(VmId::from_name("a"), Time(5));
        roster.drop_ended(Time(500), Span(1));
    },
    joined: None,
})]
#[case::taken_another_lease(Since {
    change: |roster| roster.put(member("lapsed", false, None)),
    joined: Some(&["lapsed"]),
})]
#[case::taken_another_lease_that_ended(Since {
    change: |roster| {
        roster.put(member("lapsed", false, None));
        roster.end_lease(VmId::from_name("lapsed"), Time(7));
    },
    joined: None,
})]
fn each_process_since_an_earlier_roster_is_known(#[case] case: Since) {
    let mut roster = LeasedRoster::default();
    roster.put(member("a", false, None));
    roster.put(member("b", false, None));
    roster.put(member("lapsed", false, None));
    roster.end_lease(VmId::from_name("lapsed"), Time(5));
    let former = roster.clone();
    (case.change)(&mut roster);
    let joined = roster.joined_since(&former);
    let names =
        joined.map(|joined| joined.into_iter().map(|member| member.name.as_str()).collect());
    assert_eq!(names, case.joined.map(<[&str]>::to_vec));
}
