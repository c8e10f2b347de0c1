//! Tests of what an instance's status proves about the points that a session has seen.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_session::proof;
use oleander_session::proof::Proof;
use oleander_session::token::SeenPoint;
use rstest::rstest;

struct Case {
    /// The instance's term, its position and the start of the term.
    has: (u64, u64, u64),
    /// The point that the session has seen.
    seen: SeenPoint,
    proof: Proof,
}

fn seen(term: u64, position: u64) -> SeenPoint {
    SeenPoint { point: point(term, position), durable: false }
}

fn durable(term: u64, position: u64) -> SeenPoint {
    SeenPoint { point: point(term, position), durable: true }
}

fn point(term: u64, position: u64) -> LogPoint {
    LogPoint { term: Term(term), position: Position(position) }
}

fn status(role: Role, (term, position, start): (u64, u64, u64)) -> InstanceStatus {
    InstanceStatus { role, point: point(term, position), fence: Term(term), start: Position(start) }
}

#[rstest]
#[case::same_term_at(Case { has: (2, 50, 10), seen: seen(2, 50), proof: Proof::Fresh })]
#[case::same_term_before(Case { has: (2, 49, 10), seen: seen(2, 50), proof: Proof::Behind })]
#[case::of_a_newer_term(Case { has: (2, 50, 10), seen: seen(3, 1), proof: Proof::Behind })]
#[case::previous_term_before_start(Case { has: (2, 50, 40), seen: seen(1, 39), proof: Proof::Fresh })]
#[case::previous_term_at_start(Case { has: (2, 50, 40), seen: seen(1, 40), proof: Proof::Fresh })]
#[case::previous_term_past_start(Case { has: (2, 50, 40), seen: seen(1, 41), proof: Proof::Lost })]
#[case::joined_but_not_caught_up(Case { has: (2, 30, 40), seen: seen(1, 35), proof: Proof::Behind })]
#[case::two_terms_ago(Case { has: (3, 90, 80), seen: seen(1, 10), proof: Proof::Lost })]
#[case::two_terms_ago_durable(Case { has: (3, 90, 80), seen: durable(1, 10), proof: Proof::Fresh })]
#[case::durable_not_caught_up(Case { has: (3, 9, 80), seen: durable(1, 10), proof: Proof::Behind })]
#[case::forged_position(Case { has: (2, 50, 10), seen: seen(2, u64::MAX), proof: Proof::Behind })]
#[case::forged_term(Case { has: (2, 50, 10), seen: seen(u64::MAX, 1), proof: Proof::Behind })]
fn a_point_is_checked_against_a_status(#[case] case: Case) {
    assert_eq!(proof::check_point(&status(Role::Replica, case.has), case.seen), case.proof);
}

#[test]
fn the_worst_of_several_points_is_returned() {
    let has = status(Role::Replica, (2, 50, 40));
    assert_eq!(proof::check_points(&has, &[]), Proof::Fresh);
    assert_eq!(proof::check_points(&has, &[seen(2, 50), seen(2, 51)]), Proof::Behind);
    assert_eq!(proof::check_points(&has, &[seen(1, 45), seen(2, 51)]), Proof::Lost);
}

#[test]
fn a_primary_behind_its_own_term_has_lost_the_point() {
    let primary = status(Role::Primary, (2, 50, 40));
    assert_eq!(proof::check_current(&primary, &[seen(2, 51)]), Proof::Lost);
    assert_eq!(proof::check_current(&primary, &[seen(3, 1)]), Proof::Behind);
    let replica = status(Role::Replica, (2, 50, 40));
    assert_eq!(proof::check_current(&replica, &[seen(2, 51)]), Proof::Behind);
}

/// `Holders` is who holds a point at term 2, position 10, and whether the point is durable.
struct Holders {
    /// The role of the instance that sent the status.
    role: Role,
    fence: u64,
    /// The other instances: role, term, position and fence.
    known: &'static [(Role, u64, u64, u64)],
    size: usize,
    durable: bool,
}

#[rstest]
#[case::replica_of_three(Holders { role: Role::Replica, fence: 2, known: &[], size: 3, durable: true })]
#[case::replica_of_five(Holders { role: Role::Replica, fence: 2, known: &[], size: 5, durable: false })]
#[case::primary_alone(Holders { role: Role::Primary, fence: 2, known: &[], size: 3, durable: false })]
#[case::primary_of_one(Holders { role: Role::Primary, fence: 2, known: &[], size: 1, durable: true })]
#[case::replica_is_behind(Holders { role: Role::Primary, fence: 2, known: &[(Role::Replica, 2, 9, 2)], size: 3, durable: false })]
#[case::replica_has_it(Holders { role: Role::Primary, fence: 2, known: &[(Role::Replica, 2, 10, 2)], size: 3, durable: true })]
#[case::replica_follows_a_later_term(Holders { role: Role::Primary, fence: 2, known: &[(Role::Replica, 2, 10, 4)], size: 3, durable: false })]
#[case::answered_by_one_that_follows_a_later_term(Holders { role: Role::Replica, fence: 4, known: &[], size: 3, durable: false })]
#[case::other_term(Holders { role: Role::Primary, fence: 2, known: &[(Role::Replica, 3, 10, 3)], size: 3, durable: false })]
#[case::primary_counts_once(Holders { role: Role::Replica, fence: 2, known: &[(Role::Primary, 2, 10, 2)], size: 5, durable: false })]
fn a_point_is_durable_with_a_majority(#[case] case: Holders) {
    let id = |ordinal| InstanceId { database: DatabaseId(1), ordinal };
    let known = case.known.iter().enumerate().map(|(at, (role, term, position, fence))| {
        let fence = Term(*fence);
        (id(at as u8 + 1), InstanceStatus { fence, ..status(*role, (*term, *position, 0)) })
    });
    let answer = InstanceStatus { fence: Term(case.fence), ..status(case.role, (2, 10, 0)) };
    assert_eq!(proof::is_durable(&answer, id(0), known, case.size), case.durable);
}
