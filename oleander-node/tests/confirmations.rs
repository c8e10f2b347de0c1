//! What the confirmations that VMs tell prove about the acknowledged commits of a primary.

use std::collections::HashMap;
use std::sync::Arc;

use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use oleander_membership::leased::LeasedMember;
use oleander_membership::leased::LeasedRoster;
use oleander_node::keeper::notify;
use oleander_node::keeper::watcher::PrimarySample;
use oleander_peer::messages::Confirmations;
use rstest::rstest;

/// The position of the primary when it was probed last.
const SAMPLED: u64 = 10;

/// `Told` is what a VM tells: the run of its process, whether it is the first one of the VM, and the
/// position of its last confirmed commit.
type Told = (&'static str, u64, bool, Option<u64>);

/// `Case` is what has happened since the primary was probed, with VMs `a` and `b`, what VMs tell, and
/// the position at or before which each acknowledged commit lies; `None` if none is known.
struct Case {
    change: fn(&mut LeasedRoster),
    told: &'static [Told],
    bound: Option<u64>,
}

fn process(name: &str, life: u64) -> LeasedMember {
    LeasedMember {
        name: name.to_owned(),
        place: Place::default(),
        peers: "127.0.0.1:1".parse().unwrap(),
        life,
        cpu: 0,
        leaving: false,
        promotion: 1,
        leases: 0,
        lent: None,
    }
}

fn point(position: u64) -> LogPoint {
    LogPoint { term: Term(1), position: Position(position) }
}

fn nothing(_: &mut LeasedRoster) {}

/// Guards against a promotion that loses a commit, because a VM that has confirmed it has not told.
#[rstest]
#[case::nobody_has_confirmed(Case {
    change: nothing,
    told: &[("a", 1, true, None), ("b", 1, true, None)],
    bound: Some(SAMPLED),
})]
#[case::one_has_confirmed_later(Case {
    change: nothing,
    told: &[("a", 1, true, Some(12)), ("b", 1, true, Some(11))],
    bound: Some(12),
})]
#[case::earlier_processes_do_not_matter_before_the_sample(Case {
    change: nothing,
    told: &[("a", 1, false, Some(9)), ("b", 1, false, Some(8))],
    bound: Some(SAMPLED),
})]
#[case::one_has_not_told(Case {
    change: nothing,
    told: &[("a", 1, true, Some(12))],
    bound: None,
})]
#[case::another_process_has_told(Case {
    change: nothing,
    told: &[("a", 1, true, Some(12)), ("b", 2, true, None)],
    bound: None,
})]
#[case::one_has_joined(Case {
    change: |roster| roster.put(process("c", 1)),
    told: &[("a", 1, true, Some(12)), ("b", 1, true, None), ("c", 1, true, Some(13))],
    bound: Some(13),
})]
#[case::one_has_joined_after_another_of_its_vm(Case {
    change: |roster| roster.put(process("c", 1)),
    told: &[("a", 1, true, Some(12)), ("b", 1, true, None), ("c", 1, false, Some(13))],
    bound: None,
})]
#[case::one_has_joined_and_not_told(Case {
    change: |roster| roster.put(process("c", 1)),
    told: &[("a", 1, true, Some(12)), ("b", 1, true, None)],
    bound: None,
})]
#[case::one_has_started_again(Case {
    change: |roster| roster.put(process("b", 2)),
    told: &[("a", 1, true, Some(12)), ("b", 2, false, None)],
    bound: None,
})]
#[case::one_has_lost_its_lease(Case {
    change: |roster| roster.end_lease(VmId::from_name("b"), Time(5)),
    told: &[("a", 1, true, Some(12))],
    bound: None,
})]
#[case::one_has_lost_its_lease_and_told(Case {
    change: |roster| roster.end_lease(VmId::from_name("b"), Time(5)),
    told: &[("a", 1, true, Some(12)), ("b", 1, true, Some(14))],
    bound: Some(14),
})]
fn the_bound_is_known_only_if_each_process_has_told(#[case] case: Case) {
    let mut roster = LeasedRoster::default();
    roster.put(process("a", 1));
    roster.put(process("b", 1));
    let sample =
        PrimarySample { point: point(SAMPLED), asked: Time(1), roster: Arc::new(roster.clone()) };
    (case.change)(&mut roster);
    let told = case.told.iter().map(|(name, life, first, position)| {
        let confirmations =
            Confirmations { life: *life, first: *first, point: position.map(point) };
        (VmId::from_name(name), confirmations)
    });
    let told: HashMap<VmId, Confirmations> = told.collect();
    assert_eq!(notify::confirmed_point(&roster, &sample, &told), case.bound.map(point));
}
