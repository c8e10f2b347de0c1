//! The choice of an instance for a read, and the check of its answer.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::places::Distance;
use oleander_core::statement::Access;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::RefusalCode;
use oleander_routing::lag::Lag;
use oleander_routing::reads;
use oleander_routing::reads::Candidate;
use oleander_routing::reads::CandidateState;
use oleander_routing::reads::Check;
use oleander_routing::reads::Choice;
use oleander_routing::reads::Group;
use oleander_routing::reads::Options;
use oleander_routing::reads::ReadNeed;
use oleander_routing::samples::Sample;
use oleander_routing::samples::Samples;
use oleander_routing::samples::StatusAt;
use oleander_session::token::SeenPoint;
use rstest::rstest;

const NOW: Time = Time(1_000_000);
const LATER: Time = Time(3_000_000);

fn point(term: u64, position: u64) -> LogPoint {
    LogPoint { term: Term(term), position: Position(position) }
}

fn seen(term: u64, position: u64) -> SeenPoint {
    SeenPoint { point: point(term, position), durable: false }
}

fn status(role: Role, term: u64, position: u64) -> InstanceStatus {
    InstanceStatus { role, point: point(term, position), fence: Term(term), start: Position(40) }
}

fn id(ordinal: u8) -> InstanceId {
    InstanceId { database: DatabaseId(1), ordinal }
}

/// Returns a candidate whose measured lag is 20 ms.
fn candidate(ordinal: u8, role: Role, term: u64, position: u64) -> Candidate {
    let mut lag = Lag::default();
    lag.record(Span::from_millis(20));
    Candidate {
        instance: id(ordinal),
        distance: Distance::Region,
        state: CandidateState::Ready,
        status: Some(StatusAt { status: status(role, term, position), requested_at: NOW }),
        lag,
        wait: Span::ZERO,
        service: Span::from_millis(2),
    }
}

fn group() -> [Candidate; 3] {
    [
        candidate(0, Role::Primary, 2, 100),
        candidate(1, Role::Replica, 2, 90),
        candidate(2, Role::Replica, 2, 80),
    ]
}

fn progress() -> Samples {
    let mut samples = Samples::default();
    for at in 0..10 {
        let time = Time(900_000 + at * 10_000);
        samples.push(Sample { time, point: point(2, 91 + at) });
    }
    samples
}

fn choose(need: &ReadNeed<'_>, candidates: &[Candidate]) -> Choice {
    let progress = progress();
    let group = Group { candidates, progress: &progress, confirmed: &progress };
    reads::choose(NOW, need, &group, &Options::default())
}

fn need(seen: &[SeenPoint]) -> ReadNeed<'_> {
    ReadNeed { seen, max_age: None, deadline: LATER }
}

#[test]
fn a_replica_that_has_the_point_serves() {
    assert_eq!(choose(&need(&[seen(2, 85)]), &group()), Choice::Run(id(1)));
}

#[test]
fn a_replica_that_will_soon_have_the_point_is_waited_for() {
    let choice = choose(&need(&[seen(2, 100)]), &group());
    let Choice::WaitFor { instance, until } = choice else { panic!("{choice:?}") };
    assert_eq!(instance, id(1));
    // The primary had the point at 990 ms; the replica is 20 ms behind, 30 at most.
    assert_eq!(until, Time(1_020_000));
}

#[test]
fn a_slow_replica_is_not_waited_for() {
    let mut group = group();
    for replica in &mut group[1..] {
        replica.lag = Lag::default();
        replica.lag.record(Span::from_millis(1_000));
    }
    assert_eq!(choose(&need(&[seen(2, 100)]), &group), Choice::Run(id(0)));
}

#[test]
fn an_idle_primary_is_preferred_to_a_long_replica_queue() {
    let mut group = group();
    for replica in &mut group[1..] {
        replica.wait = Span::from_millis(60);
    }
    assert_eq!(choose(&need(&[]), &group), Choice::Run(id(0)));
}

#[test]
fn a_farther_replica_that_has_the_point_is_preferred_to_a_wait() {
    let mut group = group();
    group[2] = Candidate { distance: Distance::Remote, ..candidate(2, Role::Replica, 2, 100) };
    group[1].lag.record(Span::from_millis(200));
    assert_eq!(choose(&need(&[seen(2, 100)]), &group), Choice::Run(id(2)));
}

#[test]
fn a_slow_replica_is_preferred_to_a_busy_primary() {
    let mut group = group();
    group[0].wait = Span::from_secs(1);
    for replica in &mut group[1..] {
        replica.lag = Lag::default();
        replica.lag.record(Span::from_millis(500));
    }
    let choice = choose(&need(&[seen(2, 100)]), &group);
    assert!(matches!(choice, Choice::WaitFor { instance, .. } if instance == id(1)));
}

#[rstest]
#[case::unreachable(CandidateState::Unreachable)]
#[case::leaving(CandidateState::Leaving)]
#[case::excluded(CandidateState::Excluded)]
fn an_unusable_instance_is_skipped(#[case] state: CandidateState) {
    let mut group = group();
    group[1].state = state;
    assert_eq!(choose(&need(&[]), &group), Choice::Run(id(2)));
}

#[test]
fn a_primary_of_an_older_term_is_not_chosen() {
    let mut group = group();
    group[0] = candidate(0, Role::Primary, 1, 100);
    assert_eq!(choose(&need(&[seen(2, 95)]), &group), Choice::Run(id(1)));
}

#[rstest]
#[case::deadline(&[], None, NOW, RefusalCode::DeadlineExceeded)]
#[case::lost_history(&[(1, 41)], None, LATER, RefusalCode::HistoryLost)]
#[case::age_not_shown(&[], Some(Span::from_millis(1)), LATER, RefusalCode::UpstreamUnavailable)]
fn a_read_is_refused(
    #[case] points: &[(u64, u64)],
    #[case] age: Option<Span>,
    #[case] deadline: Time,
    #[case] code: RefusalCode,
) {
    let points: Vec<SeenPoint> = points.iter().map(|(term, at)| seen(*term, *at)).collect();
    let choice = choose(&ReadNeed { seen: &points, max_age: age, deadline }, &group());
    assert!(matches!(&choice, Choice::Refuse(refusal) if refusal.code == code), "{choice:?}");
}

#[test]
fn a_replica_within_the_maximum_age_serves() {
    // 85 ms ago the primary was at 93 at most; the replica at 95 includes that.
    let mut group = group();
    group[1] = candidate(1, Role::Replica, 2, 95);
    let need = ReadNeed { seen: &[], max_age: Some(Span::from_millis(85)), deadline: LATER };
    assert_eq!(choose(&need, &group), Choice::Run(id(1)));
}

/// `Answer` is a read's answer and the expected result of its check.
struct Answer {
    status: InstanceStatus,
    seen: SeenPoint,
    age: Option<Span>,
    check: Check,
}

#[rstest]
#[case::fresh(Answer { status: status(Role::Replica, 2, 90), seen: seen(2, 90), age: None, check: Check::Accept(point(2, 90)) })]
#[case::stale(Answer { status: status(Role::Replica, 2, 89), seen: seen(2, 90), age: None, check: Check::Retry })]
#[case::older_term(Answer { status: status(Role::Primary, 1, 500), seen: seen(2, 90), age: None, check: Check::Retry })]
#[case::lost(Answer { status: status(Role::Replica, 2, 90), seen: seen(1, 60), age: None, check: Check::HistoryLost })]
#[case::forged(Answer { status: status(Role::Primary, 2, 90), seen: seen(2, u64::MAX), age: None, check: Check::HistoryLost })]
#[case::young(Answer { status: status(Role::Replica, 2, 95), seen: seen(2, 90), age: Some(Span::from_millis(60)), check: Check::Accept(point(2, 95)) })]
#[case::too_old(Answer { status: status(Role::Replica, 2, 94), seen: seen(2, 90), age: Some(Span::from_millis(60)), check: Check::Retry })]
#[case::age_not_shown(Answer { status: status(Role::Primary, 2, 100), seen: seen(2, 90), age: Some(Span(1)), check: Check::Retry })]
fn an_answer_is_checked(#[case] case: Answer) {
    let need = ReadNeed { seen: &[case.seen], max_age: case.age, deadline: LATER };
    assert_eq!(reads::check_answer(NOW, &case.status, &need, &progress()), case.check);
}

#[rstest]
#[case::primary(Role::Primary, Access::Write, None)]
#[case::replica(Role::Replica, Access::Write, Some(RefusalCode::UpstreamUnavailable))]
#[case::idempotent(Role::Replica, Access::IdempotentWrite, Some(RefusalCode::UpstreamUnavailable))]
fn a_write_needs_the_primary(
    #[case] role: Role,
    #[case] access: Access,
    #[case] refused: Option<RefusalCode>,
) {
    let checked = reads::check_primary(&status(role, 2, 90), access, &[]);
    assert_eq!(checked.err().map(|refusal| refusal.code), refused);
}

#[test]
fn a_write_after_lost_history_is_refused() {
    let checked =
        reads::check_primary(&status(Role::Primary, 2, 90), Access::Write, &[seen(1, 60)]);
    assert_eq!(checked.map_err(|refusal| refusal.code), Err(RefusalCode::HistoryLost));
}
