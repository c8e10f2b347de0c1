//! Tests of the first use of a limiter's shares, shortly after its process has started.

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::messages::Ask;
use oleander_limits::messages::LimitReply;
use oleander_limits::messages::LimitRequest;
use oleander_limits::messages::Settled;
use oleander_limits::rates::actions::Action;
use oleander_limits::rates::actions::Decision;
use oleander_limits::rates::actions::Ticket;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_limits::rates::limiter::RateRequest;
use oleander_limits::rates::owner::GRANT_HOLD;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_limits::rates::ownership::ShareLayout;
use oleander_limits::rates::tokens::Limit;
use oleander_limits::rates::tokens::Tokens;
use rstest::rstest;
use smallvec::SmallVec;
use smallvec::smallvec;

const VM: VmId = VmId(7);
const LIMIT: Limit = Limit { rate: 100, burst: 100 };
const FOREVER: Time = Time(u64::MAX);

/// `Start` describes how a limiter starts to use its shares, and its first request.
struct Start {
    /// Whether the limiter waits until earlier loans have expired.
    waits: bool,
    /// The time of the request since the start.
    after: Span,
    admitted: bool,
}

/// Guards against a needless wait: after the whole fleet had lost power, all requests were refused
/// for 2 s because of earlier loans, although no loan was left. The clock of a new process starts
/// below the length of the wait.
#[rstest]
#[case::active_at_once_without_earlier_loans(Start {
    waits: false, after: Span::from_millis(50), admitted: true,
})]
#[case::starts_with_empty_buckets(Start {
    waits: false, after: Span::from_millis(5), admitted: false,
})]
#[case::waits_for_earlier_loans(Start {
    waits: true, after: Span::from_millis(50), admitted: false,
})]
#[case::admits_after_the_wait(Start {
    waits: true, after: Span(LOAN_EXPIRY_WAIT.0 + 50_000), admitted: true,
})]
fn admits_only_once_shares_are_usable(#[case] start: Start) {
    let now = Time(300_000);
    let workspace = WorkspaceId(1);
    let mut limiter = RateLimiter::with_layout(VM, 1, ShareLayout::Hashed(2));
    let mut out = Vec::new();
    limiter.set_limits(now, [(workspace, LIMIT)], &mut out);
    if start.waits {
        limiter.set_shares(now, &[Some(VM); 64], FOREVER);
    } else {
        limiter.activate_shares(now, &[Some(VM); 64], FOREVER, now);
    }
    let asked = now + start.after;
    let decision = limiter.acquire(asked, Ticket(1), workspace, 1, asked, &mut out);
    assert_eq!(decision == Decision::Admit, start.admitted);
}

#[test]
fn limits_of_an_empty_configuration_start_no_wait() {
    let now = Time(300_000);
    let workspace = WorkspaceId(1);
    let mut limiter = RateLimiter::with_layout(VM, 1, ShareLayout::Hashed(2));
    let mut out = Vec::new();
    limiter.set_limits(Time(0), [], &mut out);
    limiter.set_limits(now, [(workspace, LIMIT)], &mut out);
    limiter.activate_shares(now, &[Some(VM); 64], FOREVER, now);
    let asked = now + Span::from_millis(50);
    let decision = limiter.acquire(asked, Ticket(1), workspace, 1, asked, &mut out);
    assert_eq!(decision, Decision::Admit);
}

/// Load: a fleet that lost power as a whole serves the callers that waited for it. Guards against
/// leaving out the tokens gained while the VMs asked each other about earlier loans.
#[rstest]
#[case::nothing_since_the_activation(Span::ZERO, 0)]
#[case::of_the_time_without_use(Span::from_millis(300), 30)]
#[case::no_more_than_the_burst(Span::from_secs(3), 100)]
fn a_start_counts_the_tokens_gained_since_the_shares_were_last_in_use(
    #[case] unused: Span,
    #[case] admitted: usize,
    #[values(false, true)] asked_before: bool,
) {
    let first = Time(10_000_000);
    let now = first + unused;
    let workspace = WorkspaceId(1);
    let mut limiter = RateLimiter::with_layout(VM, 1, ShareLayout::Hashed(2));
    let mut out = Vec::new();
    limiter.set_limits(first, [(workspace, LIMIT)], &mut out);
    let mut ask = |limiter: &mut RateLimiter, serial| {
        limiter.acquire(now, Ticket(serial), workspace, 1, now, &mut out) == Decision::Admit
    };
    if asked_before {
        // The account exists before the shares are usable.
        assert!(!ask(&mut limiter, 0));
    }
    limiter.activate_shares(now, &[Some(VM); 64], FOREVER, first);
    let count = (1..=200).filter(|serial| ask(&mut limiter, *serial)).count();
    assert_eq!(count, admitted);
}

/// Guards against a VM that has just joined refusing its callers until the wait for its own shares
/// has ended.
#[test]
fn a_vm_without_usable_shares_asks_other_owners() {
    let now = Time(300_000);
    let workspace = WorkspaceId(1);
    let mut limiter = RateLimiter::with_layout(VM, 1, ShareLayout::Hashed(2));
    let mut out = Vec::new();
    limiter.set_limits(now, [(workspace, LIMIT)], &mut out);
    limiter.suspend_shares(now, &[Some(VmId(8)); 64]);
    let decision =
        limiter.acquire(now, Ticket(1), workspace, 1, now + Span::from_secs(1), &mut out);
    assert_eq!(decision, Decision::Wait);
    assert!(matches!(&out[..], [Action::Send { to: VmId(8), .. }]), "{out:?}");
}

/// `GrantCase` describes what the owner learns about a grant, and whether it may still be in use.
struct GrantCase {
    settled: bool,
    after: Span,
    lent: bool,
}

#[rstest]
#[case::until_the_grant_expires(GrantCase { settled: false, after: GRANT_HOLD, lent: true })]
#[case::not_after_the_grant_expired(GrantCase {
    settled: false, after: Span(GRANT_HOLD.0 + 10_000), lent: false,
})]
#[case::until_the_grant_is_settled(GrantCase {
    settled: true, after: Span::from_millis(1), lent: false,
})]
fn an_owner_reports_how_long_grants_may_be_in_use(#[case] case: GrantCase) {
    let now = Time(300_000);
    let workspace = WorkspaceId(1);
    let borrower = VmId(8);
    let mut limiter = RateLimiter::with_layout(VM, 1, ShareLayout::Hashed(2));
    let mut out = Vec::new();
    limiter.set_limits(now, [(workspace, LIMIT)], &mut out);
    limiter.activate_shares(now, &[Some(VM); 64], FOREVER, now);
    assert_eq!(limiter.lent(now), Span::ZERO);
    let later = now + Span::from_secs(1);
    let need = Tokens::whole(1);
    let (stock, demand) = (Tokens::ZERO, Tokens::ZERO);
    let ask = Ask::Borrow { need, urgent: need, stock, demand, settled: SmallVec::new() };
    let reply = limiter.handle_request(later, borrower, LimitRequest { workspace, ask }, &mut out);
    let LimitReply::Lent { grant: Some(grant), .. } = reply else { panic!("{reply:?}") };
    if case.settled {
        let settled = Settled { grant: grant.id, unused: need, age: Span::ZERO };
        let ask = Ask::Settle { settled: smallvec![settled] };
        limiter.handle_request(later, borrower, LimitRequest { workspace, ask }, &mut out);
    }
    assert_eq!(limiter.lent(later + case.after) != Span::ZERO, case.lent);
}

/// Guards against a request of a high level that waits for tokens behind those of lower levels of
/// its workspace.
#[test]
fn tokens_go_to_the_highest_level_that_waits() {
    let now = Time(300_000);
    let workspace = WorkspaceId(1);
    let mut limiter = RateLimiter::with_layout(VM, 1, ShareLayout::Hashed(2));
    let mut out = Vec::new();
    limiter.set_limits(now, [(workspace, LIMIT)], &mut out);
    limiter.activate_shares(now, &[Some(VM); 64], FOREVER, now);
    let deadline = now + Span::from_secs(1);
    let mut acquire = |ticket: u64, level| {
        let level = Level(level);
        let ticket = Ticket(ticket);
        let request = RateRequest { ticket, workspace, level, cost: 1, deadline };
        limiter.acquire_at_level(now, request, &mut out)
    };
    while acquire(1, 0) == Decision::Admit {}
    for (ticket, level) in [(2, 3), (3, 1), (4, 3), (5, 0)] {
        assert_eq!(acquire(ticket, level), Decision::Wait);
    }
    out.clear();
    for millis in (10..100).step_by(10) {
        limiter.tick(now + Span::from_millis(millis), &mut out);
    }
    assert_eq!(out, [1, 5, 3, 2, 4].map(|ticket| Action::Admit(Ticket(ticket))));
}

/// `Near` gives the distances of two owners and whether both are asked.
struct Near {
    first: Distance,
    second: Distance,
    /// The tokens that a request costs: an owner holds 50.
    cost: u32,
    asked: &'static [VmId],
}

/// Load: a fleet of many VMs in several regions, each of which gets few requests of a workspace, so
/// that nearly each one asks an owner. Guards against asking other regions while a near owner has
/// tokens, and against leaving the far owners' tokens unused.
#[rstest]
#[case::the_first_is_near(Near {
    first: Distance::Zone, second: Distance::Remote, cost: 10, asked: &[VmId(8)],
})]
#[case::the_second_is_near(Near {
    first: Distance::Remote, second: Distance::Region, cost: 10, asked: &[VmId(9)],
})]
#[case::the_near_one_has_too_few(Near {
    first: Distance::Zone, second: Distance::Remote, cost: 60, asked: &[VmId(8), VmId(9)],
})]
fn the_nearest_owner_with_enough_tokens_is_asked(#[case] near: Near) {
    let now = Time(300_000);
    let workspace = WorkspaceId(1);
    let mut limiter = RateLimiter::new(VM, 1);
    let mut out = Vec::new();
    limiter.set_limits(now, [(workspace, LIMIT)], &mut out);
    let owners: Vec<Option<VmId>> = (0..64).map(|share| Some(VmId(8 + share % 2))).collect();
    limiter.set_distances([(VmId(8), near.first), (VmId(9), near.second)]);
    limiter.suspend_shares(now, &owners);
    let until = now + Span::from_secs(1);
    limiter.acquire(now, Ticket(1), workspace, near.cost, until, &mut out);
    let mut asked: Vec<VmId> = out
        .iter()
        .map(|action| match action {
            Action::Send { to, .. } => *to,
            other => panic!("{other:?}"),
        })
        .collect();
    asked.sort_unstable();
    assert_eq!(asked, near.asked);
}
