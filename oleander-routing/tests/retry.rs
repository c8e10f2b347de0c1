//! The table of failure points, and the retries that follow from it.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_core::verdict::Verdict::MayHaveRun;
use oleander_core::verdict::Verdict::NotRun;
use oleander_core::verdict::Verdict::Ran;
use oleander_routing::budget::RetryBudget;
use oleander_routing::budget::RetryOptions;
use oleander_routing::retry;
use oleander_routing::retry::Attempt;
use oleander_routing::retry::Cut;
use oleander_routing::retry::Effect;
use oleander_routing::retry::Next;
use oleander_routing::retry::Resend;
use rstest::rstest;
use strum::IntoEnumIterator as _;

/// `Row` holds the verdicts at one failure point, in the order of `Effect`, and the effects of the
/// requests that may be sent again.
struct Row {
    cut: Cut,
    verdicts: [Verdict; 7],
    resend: &'static [Effect],
}

const OUTSIDE_TRANSACTION: &[Effect] =
    &[Effect::Read, Effect::IdempotentWrite, Effect::Write, Effect::Begin];
const REPEATABLE: &[Effect] = &[Effect::Read, Effect::IdempotentWrite, Effect::Begin];
const CONNECTION_BROKEN: [Verdict; 7] =
    [MayHaveRun, MayHaveRun, MayHaveRun, NotRun, NotRun, MayHaveRun, NotRun];
const NO_REPLY: [Verdict; 7] =
    [MayHaveRun, MayHaveRun, MayHaveRun, NotRun, MayHaveRun, MayHaveRun, MayHaveRun];

const TABLE: &[Row] = &[
    Row { cut: Cut::HomeUnreachable, verdicts: [NotRun; 7], resend: OUTSIDE_TRANSACTION },
    Row { cut: Cut::HomeDraining, verdicts: [NotRun; 7], resend: OUTSIDE_TRANSACTION },
    Row { cut: Cut::QueueFull, verdicts: [NotRun; 7], resend: OUTSIDE_TRANSACTION },
    Row { cut: Cut::QueueDeadline, verdicts: [NotRun; 7], resend: &[] },
    Row { cut: Cut::HomeLost, verdicts: NO_REPLY, resend: REPEATABLE },
    Row { cut: Cut::ReplyCrossed, verdicts: NO_REPLY, resend: REPEATABLE },
    Row { cut: Cut::BeforeSend, verdicts: [NotRun; 7], resend: OUTSIDE_TRANSACTION },
    Row { cut: Cut::RefusedBeforeRun, verdicts: [NotRun; 7], resend: OUTSIDE_TRANSACTION },
    Row { cut: Cut::PartSent, verdicts: CONNECTION_BROKEN, resend: REPEATABLE },
    Row { cut: Cut::Sent, verdicts: CONNECTION_BROKEN, resend: REPEATABLE },
    Row { cut: Cut::TimedOut, verdicts: CONNECTION_BROKEN, resend: REPEATABLE },
    Row { cut: Cut::PartAnswered, verdicts: CONNECTION_BROKEN, resend: REPEATABLE },
    Row {
        cut: Cut::AnswerTooLarge,
        verdicts: [Ran, MayHaveRun, MayHaveRun, NotRun, NotRun, MayHaveRun, NotRun],
        resend: &[],
    },
    Row { cut: Cut::StatementFailed, verdicts: [NotRun; 7], resend: &[] },
    Row {
        cut: Cut::AnswerStale,
        verdicts: [Ran; 7],
        resend: &[Effect::Read, Effect::IdempotentWrite],
    },
    Row { cut: Cut::NotReplicated, verdicts: [MayHaveRun; 7], resend: &[] },
];

#[test]
fn the_table_lists_every_cut_once() {
    let named: Vec<Cut> = TABLE.iter().map(|row| row.cut).collect();
    assert_eq!(named, Cut::iter().collect::<Vec<_>>());
}

#[test]
fn every_cut_has_its_verdict_and_action() {
    for row in TABLE {
        for (effect, verdict) in Effect::iter().zip(row.verdicts) {
            let outcome = retry::outcome(row.cut, effect);
            assert_eq!(outcome.verdict, verdict, "{} of {effect}", row.cut);
            let resend = outcome.resend == Resend::Elsewhere;
            assert_eq!(resend, row.resend.contains(&effect), "{} of {effect}", row.cut);
        }
    }
}

#[test]
fn a_write_that_may_have_run_is_never_sent_again() {
    for (cut, effect) in Cut::iter().flat_map(|cut| Effect::iter().map(move |e| (cut, e))) {
        let outcome = retry::outcome(cut, effect);
        let is_idempotent = matches!(effect, Effect::Read | Effect::IdempotentWrite);
        if outcome.resend == Resend::Elsewhere && !is_idempotent {
            assert_eq!(outcome.verdict, NotRun, "{cut} of {effect}");
        }
    }
}

#[rstest]
#[case::sent(Cut::Sent, Effect::InTransaction)]
#[case::before_commit(Cut::BeforeSend, Effect::Commit)]
fn a_cut_connection_ends_its_transaction(#[case] cut: Cut, #[case] effect: Effect) {
    assert_eq!(retry::outcome(cut, effect).code, RefusalCode::TransactionGone);
}

#[test]
fn a_commit_without_an_answer_may_have_run() {
    let outcome = retry::outcome(Cut::Sent, Effect::Commit);
    assert_eq!((outcome.verdict, outcome.code), (MayHaveRun, RefusalCode::UpstreamLost));
}

fn attempt() -> Attempt {
    Attempt {
        effect: Effect::Read,
        sends: 1,
        prior_verdict: NotRun,
        deadline: Time(100_000),
        expected: Span(5_000),
    }
}

fn budget() -> RetryBudget {
    RetryBudget::new(RetryOptions { capacity: 1, ..RetryOptions::default() }, Time(0))
}

#[rstest]
#[case::in_time(attempt(), 0, true)]
#[case::too_late(attempt(), 96_000, false)]
#[case::sent_too_often(Attempt { sends: retry::MAX_SENDS, ..attempt() }, 0, false)]
#[case::not_safe(Attempt { effect: Effect::Write, ..attempt() }, 0, false)]
fn a_retry_needs_time_and_safety(
    #[case] attempt: Attempt,
    #[case] now: u64,
    #[case] retried: bool,
) {
    let next = retry::decide(Time(now), Cut::Sent, &attempt, &mut budget(), 0);
    assert_eq!(matches!(next, Next::Retry { .. }), retried);
}

#[test]
fn a_refusal_without_budget_tells_the_caller_when_to_retry() {
    let mut budget = budget();
    assert!(budget.take(Time(0)));
    let next = retry::decide(Time(0), Cut::BeforeSend, &attempt(), &mut budget, 0);
    let Next::Refuse(refusal) = next else { panic!("{next:?}") };
    assert_eq!(refusal.verdict, NotRun);
    assert!(refusal.retry_after.is_some());
}

#[rstest]
#[case::dead_home(Cut::HomeUnreachable, 1, true)]
#[case::draining_home(Cut::HomeDraining, 1, true)]
#[case::both_homes_dead(Cut::HomeUnreachable, 2, false)]
#[case::accepted_by_the_home(Cut::QueueFull, 1, false)]
fn the_other_home_is_tried_with_an_empty_budget(
    #[case] cut: Cut,
    #[case] sends: u32,
    #[case] retried: bool,
) {
    let mut budget = budget();
    assert!(budget.take(Time(0)));
    let attempt = Attempt { effect: Effect::Write, sends, ..attempt() };
    let next = retry::decide(Time(0), cut, &attempt, &mut budget, 0);
    assert_eq!(matches!(next, Next::Retry { .. }), retried);
}

#[test]
fn the_worst_verdict_of_all_sends_counts() {
    let attempt = Attempt { prior_verdict: MayHaveRun, sends: retry::MAX_SENDS, ..attempt() };
    let next = retry::decide(Time(0), Cut::BeforeSend, &attempt, &mut budget(), 0);
    assert!(matches!(next, Next::Refuse(refusal) if refusal.verdict == MayHaveRun));
}

#[test]
fn retries_are_at_most_a_tenth_of_the_requests() {
    let mut budget = budget();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.take(Time(0)));
    }
    // The first request finds the budget full, with one retry in it.
    assert_eq!(retries, 100);
}

#[test]
fn an_idle_proxy_gains_a_retry_a_second() {
    let mut budget = budget();
    assert!(budget.take(Time(0)));
    assert!(!budget.take(Time(999_999)));
    assert!(budget.take(Time(1_000_000)));
    assert!(!budget.take(Time(1_999_999)));
}
