//! When a VM that disappears from the platform's VM list loses its shares.

use oleander_core::ids::Incarnation;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use oleander_membership::node::ListedVm;
use oleander_membership::node::Node;
use oleander_membership::node::NodeOptions;
use oleander_membership::shares::ShareMap;
use oleander_membership::shares::ShareOwner;

/// The interval at which the tests read the VM list.
const READ_INTERVAL: Span = Span::from_secs(1);

#[derive(Debug)]
struct Case {
    name: &'static str,
    /// `true` if the list contained the VM in a read before its registration was known.
    listed: bool,
    /// The time after the VM has disappeared from the list.
    elapsed: Span,
    /// `true` if its shares are reclaimed by then.
    reclaimed: bool,
}

/// Guards against a VM that counts as never listed, and keeps its shares for `unlisted` instead of
/// `grace`, because it left the list before the read that followed its registration.
#[test]
fn a_vm_that_was_listed_before_it_registered_loses_its_shares_after_the_grace_time() {
    let NodeOptions { grace, unlisted, .. } = NodeOptions::default();
    let early = grace.saturating_sub(READ_INTERVAL);
    let cases = [
        Case { name: "within the grace time", listed: true, elapsed: early, reclaimed: false },
        Case { name: "after the grace time", listed: true, elapsed: grace, reclaimed: true },
        Case { name: "never listed", listed: false, elapsed: grace, reclaimed: false },
        Case { name: "never listed, later", listed: false, elapsed: unlisted, reclaimed: true },
    ];
    for case in cases {
        assert_eq!(is_reclaimed(&case), case.reclaimed, "{}", case.name);
    }
}

fn is_reclaimed(case: &Case) -> bool {
    let (own, other) = (member("vm-0", 1), member("vm-1", 2));
    let mut node = Node::new(Time(0), own.clone(), NodeOptions::default());
    let listed = |member: &Member| ListedVm { vm: member.vm, state: MemberState::Alive };
    let before = if case.listed { vec![listed(&own), listed(&other)] } else { vec![listed(&own)] };
    node.on_list_read(Time(0), &before);
    node.on_roster_read(Time(0), 2, vec![own.clone(), other.clone()]);
    let map = ShareMap {
        version: 1,
        owners: vec![Some(owner(&own)), Some(owner(&other))],
        voters: vec![own.vm, other.vm],
        former: vec![own.vm, other.vm],
        ..ShareMap::default()
    };
    node.learn_shares(Time(0), map.clone());
    let gone = Time(0) + READ_INTERVAL;
    let mut now = gone;
    while now < gone + case.elapsed {
        node.on_list_read(now, &[listed(&own)]);
        now = now + READ_INTERVAL;
    }
    node.on_list_read(now, &[listed(&own)]);
    node.plan(now, &map).is_some_and(|plan| plan.removed == [owner(&other)])
}

fn owner(member: &Member) -> ShareOwner {
    ShareOwner { vm: member.vm, incarnation: member.incarnation }
}

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        vm: VmId::from_name(name),
        name: name.to_owned(),
        incarnation: Incarnation(incarnation),
        place: Place { region: "south".to_owned(), zone: "south-1".to_owned() },
        agent: "127.0.0.1:1".parse().unwrap(),
        proxy: "127.0.0.1:2".parse().unwrap(),
        state: MemberState::Alive,
    }
}
