//! Tests of detection, promotion and rejoin.

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::messages::Action;
use oleander_failover::messages::FailoverReply;
use oleander_failover::messages::Input;
use oleander_failover::messages::Rank;
use oleander_failover::messages::Step;
use oleander_failover::messages::StepResult;
use oleander_failover::options::Options;
use oleander_failover::promoter::Progress;
use oleander_failover::promoter::Promoter;
use oleander_failover::supervisor::Supervisor;
use rstest::rstest;

const NOW: Time = Time(1_000_000);

fn status(role: Role, term: u64, position: u64, fence: u64) -> InstanceStatus {
    let point = LogPoint { term: Term(term), position: Position(position) };
    InstanceStatus { role, point, fence: Term(fence), start: Position(0) }
}

fn replica() -> InstanceStatus {
    status(Role::Replica, 1, 5, 1)
}

/// Creates a supervisor that knows instance 0 as primary and the others as replicas.
fn supervisor(rank: Rank) -> Supervisor {
    let mut supervisor = Supervisor::new(3, rank, Options::default(), NOW, 0);
    supervisor.handle(NOW, Input::Answered(0, status(Role::Primary, 1, 5, 1)));
    supervisor.handle(NOW, Input::Answered(1, replica()));
    supervisor.handle(NOW, Input::Answered(2, replica()));
    supervisor
}

fn starts_promotion(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Run { step: Step::Fence, .. }))
}

/// `Case` is the number of missed pings of the primary, the opinion of a peer on it and the time
/// after both, and whether the home starts a promotion.
struct Case {
    rank: Rank,
    misses: u32,
    opinion: Option<FailoverReply>,
    wait: Span,
    promotes: bool,
}

#[rstest]
#[case::confirmed(Case { rank: Rank::First, misses: 3, opinion: Some(FailoverReply::Unreachable), wait: Span::ZERO, promotes: true })]
#[case::too_few_misses(Case { rank: Rank::First, misses: 2, opinion: Some(FailoverReply::Unreachable), wait: Span::ZERO, promotes: false })]
#[case::no_opinion(Case { rank: Rank::First, misses: 9, opinion: None, wait: Span::from_secs(9), promotes: false })]
#[case::contradicted(Case { rank: Rank::First, misses: 9, opinion: Some(FailoverReply::Reachable(status(Role::Primary, 1, 5, 1))), wait: Span::ZERO, promotes: false })]
#[case::witness_unsure(Case { rank: Rank::First, misses: 9, opinion: Some(FailoverReply::Unknown), wait: Span::ZERO, promotes: false })]
#[case::second_home_at_once(Case { rank: Rank::Second, misses: 3, opinion: Some(FailoverReply::Unreachable), wait: Span::ZERO, promotes: false })]
#[case::second_home_later(Case { rank: Rank::Second, misses: 3, opinion: Some(FailoverReply::Unreachable), wait: Span::from_millis(1_300), promotes: true })]
#[case::old_opinion(Case { rank: Rank::First, misses: 2, opinion: Some(FailoverReply::Unreachable), wait: Span::from_secs(5), promotes: false })]
fn promotion_needs_misses_and_a_witness(#[case] case: Case) {
    let mut supervisor = supervisor(case.rank);
    let mut promoted = false;
    for _ in 0..case.misses {
        promoted |= starts_promotion(&supervisor.handle(NOW, Input::Missed(0)));
    }
    if let Some(reply) = case.opinion {
        promoted |= starts_promotion(&supervisor.handle(NOW, Input::Opinion(0, reply)));
    }
    promoted |= starts_promotion(&supervisor.handle(NOW + case.wait, Input::Tick));
    assert_eq!(promoted, case.promotes);
}

#[test]
fn home_that_reaches_no_majority_starts_no_promotion() {
    let mut supervisor = supervisor(Rank::First);
    let mut promoted = false;
    for ordinal in [0, 1].repeat(4) {
        promoted |= starts_promotion(&supervisor.handle(NOW, Input::Missed(ordinal)));
        let opinion = Input::Opinion(ordinal, FailoverReply::Unreachable);
        promoted |= starts_promotion(&supervisor.handle(NOW, opinion));
    }
    assert!(!promoted);
}

#[test]
fn returned_primary_is_told_to_follow() {
    let mut supervisor = supervisor(Rank::First);
    supervisor.handle(NOW, Input::Answered(1, status(Role::Primary, 2, 6, 2)));
    supervisor.handle(NOW, Input::Answered(2, status(Role::Replica, 2, 6, 2)));
    let later = NOW + Options::default().rejoin_interval;
    let actions = supervisor.handle(later, Input::Answered(0, status(Role::Primary, 1, 5, 1)));
    let follow = Action::Run { ordinal: 0, step: Step::Follow, term: Term(2) };
    assert!(actions.contains(&follow));
}

#[rstest]
#[case::furthest_position(&[(0, 2, 5), (1, 2, 7)], Progress::Promote(1))]
#[case::later_term_before_position(&[(0, 1, 9), (2, 2, 7)], Progress::Promote(2))]
#[case::lowest_ordinal_among_equals(&[(1, 2, 7), (2, 2, 7)], Progress::Promote(1))]
fn most_advanced_fenced_instance_is_promoted(
    #[case] fenced: &[(u8, u64, u64)],
    #[case] expected: Progress,
) {
    let options = Options::default();
    let mut promoter = Promoter::new(Term(3), 3, NOW);
    for (ordinal, term, position) in fenced {
        let done = StepResult::Done(status(Role::Fenced, *term, *position, 3));
        promoter.step_finished(NOW, *ordinal, Step::Fence, done, &options);
    }
    let late = NOW + options.gather_limit;
    assert_eq!(promoter.tick(late, &options), expected);
}

#[rstest]
#[case::refused(StepResult::Refused)]
#[case::failed(StepResult::Failed)]
fn promotion_without_a_majority_is_abandoned(#[case] result: StepResult) {
    let options = Options::default();
    let mut promoter = Promoter::new(Term(3), 3, NOW);
    promoter.step_finished(NOW, 0, Step::Fence, result, &options);
    let progress = promoter.step_finished(NOW, 1, Step::Fence, result, &options);
    assert!(matches!(progress, Progress::Abandoned(_)));
}

#[test]
fn retry_uses_a_higher_term() {
    let mut supervisor = supervisor(Rank::First);
    for _ in 0..3 {
        supervisor.handle(NOW, Input::Missed(0));
    }
    let opinion = Input::Opinion(0, FailoverReply::Unreachable);
    let first = supervisor.handle(NOW, opinion);
    assert!(first.contains(&Action::Run { ordinal: 1, step: Step::Fence, term: Term(2) }));
    for ordinal in [1, 2] {
        let result = StepResult::Refused;
        let step = Step::Fence;
        supervisor.handle(NOW, Input::StepFinished { ordinal, step, term: Term(2), result });
    }
    let second = supervisor.handle(NOW + Options::default().retry_interval, Input::Tick);
    assert!(second.contains(&Action::Run { ordinal: 1, step: Step::Fence, term: Term(3) }));
}

#[rstest]
#[case::primary_leaves(Rank::First, &[0], true)]
#[case::replica_leaves(Rank::First, &[1], false)]
#[case::two_of_three_leave(Rank::First, &[0, 1], false)]
#[case::left_to_the_first_home(Rank::Second, &[0], false)]
fn leaving_primary_is_replaced(#[case] rank: Rank, #[case] leaving: &[u8], #[case] replaced: bool) {
    let mut supervisor = supervisor(rank).with_leaving(leaving.iter().copied());
    assert_eq!(starts_promotion(&supervisor.handle(NOW, Input::Tick)), replaced);
}

#[rstest]
#[case::others_are_a_majority(&[(0, 9), (1, 5), (2, 7)], 2)]
#[case::others_are_none(&[(0, 9), (1, 5)], 0)]
fn leaving_instance_is_excluded_if_others_are_a_majority(
    #[case] fenced: &[(u8, u64)],
    #[case] chosen: u8,
) {
    let options = Options::default();
    let mut promoter = Promoter::new(Term(3), 3, NOW).avoiding(&[0]);
    let mut steps = Vec::new();
    for (ordinal, position) in fenced {
        let done = StepResult::Done(status(Role::Fenced, 2, *position, 3));
        steps.push(promoter.step_finished(NOW, *ordinal, Step::Fence, done, &options));
    }
    steps.push(promoter.tick(NOW + options.gather_limit, &options));
    assert!(steps.contains(&Progress::Promote(chosen)));
}

#[test]
fn term_after_an_unseen_term_is_skipped() {
    let options = Options::default();
    let mut promoter = Promoter::new(Term(3), 3, NOW);
    let fence = |promoter: &mut Promoter, fence| {
        let steps = [1, 2].map(|ordinal| {
            let done = StepResult::Done(status(Role::Fenced, 1, 7, fence));
            promoter.step_finished(NOW, ordinal, Step::Fence, done, &options)
        });
        assert_eq!(steps, [Progress::Waiting, Progress::Fenced]);
    };
    fence(&mut promoter, 3);
    let late = NOW + options.gather_limit;
    assert_eq!(promoter.tick(late, &options), Progress::FenceAgain);
    assert_eq!(promoter.term(), Term(4));
    fence(&mut promoter, 4);
    assert_eq!(promoter.tick(late, &options), Progress::Promote(1));
}
