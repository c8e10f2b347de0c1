//! Tests of `AckTracker`: which reports acknowledge a write.

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use oleander_failover::acks::AckTracker;
use oleander_failover::acks::Settled;
use oleander_failover::acks::WriteId;
use rstest::rstest;

const NOW: Time = Time(1_000);
const WRITE: WriteId = WriteId(7);

fn point(term: u64, position: u64) -> LogPoint {
    LogPoint { term: Term(term), position: Position(position) }
}

fn status(role: Role, term: u64, position: u64) -> InstanceStatus {
    let start = Position(0);
    InstanceStatus { role, point: point(term, position), fence: Term(term), start }
}

/// `Case` is the reports before and after a write at term 2, position 10 on instance 0, and what
/// settles the write. A report is an ordinal, role, term and position.
struct Case {
    before: &'static [(u8, Role, u64, u64)],
    after: &'static [(u8, Role, u64, u64)],
    settled: &'static [Settled],
}

const ACKNOWLEDGED: &[Settled] = &[Settled::Acknowledged(WRITE)];
const UNCONFIRMED: &[Settled] = &[Settled::Unconfirmed(WRITE)];

#[rstest]
#[case::nothing(Case { before: &[], after: &[], settled: &[] })]
#[case::primary_again(Case { before: &[], after: &[(0, Role::Primary, 2, 12)], settled: &[] })]
#[case::replica_behind(Case { before: &[], after: &[(1, Role::Replica, 2, 9)], settled: &[] })]
#[case::replica_there(Case { before: &[], after: &[(1, Role::Replica, 2, 10)], settled: ACKNOWLEDGED })]
#[case::replica_of_older_term(Case { before: &[], after: &[(1, Role::Replica, 1, 99)], settled: &[] })]
#[case::known_before(Case { before: &[(2, Role::Replica, 2, 10)], after: &[], settled: ACKNOWLEDGED })]
#[case::fenced_with_it(Case { before: &[], after: &[(1, Role::Fenced, 2, 10)], settled: ACKNOWLEDGED })]
#[case::next_term(Case { before: &[], after: &[(1, Role::Primary, 3, 11)], settled: UNCONFIRMED })]
#[case::next_term_on_a_replica(Case { before: &[], after: &[(2, Role::Replica, 3, 11)], settled: UNCONFIRMED })]
#[case::own_primary_again(Case { before: &[], after: &[(0, Role::Primary, 3, 11)], settled: &[] })]
#[case::own_primary_and_majority(Case { before: &[], after: &[(0, Role::Primary, 3, 11), (2, Role::Replica, 3, 11)], settled: ACKNOWLEDGED })]
#[case::own_primary_two_terms_on(Case { before: &[], after: &[(0, Role::Primary, 4, 11)], settled: UNCONFIRMED })]
fn write_is_settled_by_reports(#[case] case: Case) {
    let mut tracker = AckTracker::new(3);
    let mut settled = Vec::new();
    for (ordinal, role, term, position) in case.before {
        tracker.observe(NOW, *ordinal, status(*role, *term, *position));
    }
    settled.extend(tracker.add(NOW, WRITE, 0, point(2, 10)));
    for (ordinal, role, term, position) in case.after {
        settled.extend(tracker.observe(NOW, *ordinal, status(*role, *term, *position)));
    }
    assert_eq!(settled, case.settled);
    assert_eq!(tracker.is_idle(), !case.settled.is_empty());
}

#[test]
fn write_of_an_older_term_is_unconfirmed() {
    let mut tracker = AckTracker::new(3);
    tracker.observe(NOW, 1, status(Role::Primary, 3, 5));
    let settled = tracker.add(NOW, WRITE, 0, point(2, 10));
    assert_eq!(settled.as_slice(), UNCONFIRMED);
}

#[test]
fn replicas_are_polled_only_while_a_write_waits() {
    let mut tracker = AckTracker::new(3);
    assert_eq!(tracker.next_poll(), None);
    tracker.add(NOW, WRITE, 0, point(2, 10));
    assert!(tracker.next_poll().is_some_and(|due| NOW < due));
    assert!(tracker.forget(WRITE));
    assert_eq!(tracker.next_poll(), None);
}
