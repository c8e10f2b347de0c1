//! Tests of the retries of rate-limited requests while a VM starts, and of the time up to which a
//! watch shows that the view is complete.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_node::charges::rate_retry_time;
use oleander_node::control::follow::synced_time;
use oleander_ports::store::Change;
use oleander_ports::store::Changes;
use oleander_ports::store::StoreRevision;
use rstest::rstest;

/// The time at which the VM starts, or at which the watch is sent.
const STARTED: Time = Time(60_000_000);

/// The target latency of the route.
const TARGET: Span = Span::from_millis(600);

/// `Refused` is a refusal `up_for` after the start of the VM, of an operation that was admitted
/// `waited` before, and whether the rate limiter must be asked again.
struct Refused {
    code: RefusalCode,
    up_for: Span,
    waited: Span,
    retried: bool,
}

/// When VMs lose power together, their rates are unusable until shares are assigned again. Requests
/// must wait for that instead of using up all their attempts.
#[rstest]
#[case::at_the_start(Refused {
    code: RefusalCode::RateLimited,
    up_for: Span::from_millis(100),
    waited: Span::from_millis(20),
    retried: true,
})]
#[case::no_time_left_for_service(Refused {
    code: RefusalCode::RateLimited,
    up_for: Span::from_millis(600),
    waited: Span::from_millis(300),
    retried: false,
})]
#[case::long_after_the_start(Refused {
    code: RefusalCode::RateLimited,
    up_for: Span::from_secs(5),
    waited: Span::from_millis(20),
    retried: false,
})]
#[case::another_reason(Refused {
    code: RefusalCode::KeyRejected,
    up_for: Span::from_millis(100),
    waited: Span::from_millis(20),
    retried: false,
})]
fn a_rate_limited_request_asks_again_while_a_vm_starts(#[case] refused: Refused) {
    let refusal = Refusal::not_run(refused.code, "");
    let now = STARTED + refused.up_for;
    let admitted = Time(now.0 - refused.waited.0);
    let retry_at = rate_retry_time(&refusal, now, STARTED, admitted, TARGET);
    assert_eq!(retry_at.is_some(), refused.retried);
    assert!(retry_at.is_none_or(|retry_at| now < retry_at));
}

/// `Watched` is how long a watch took, whether it returned a change, and for how long after its
/// start the view is shown to be complete.
struct Watched {
    took: Span,
    changed: bool,
    complete_for: Span,
}

/// The wait that the watch asks for.
const WAIT: Span = Span::from_secs(2);

/// A view must not count as complete for longer than the answer of the store shows: withdrawn keys
/// would be accepted.
#[rstest]
#[case::nothing_in_the_whole_wait(Watched { took: Span::from_millis(2_010), changed: false, complete_for: WAIT })]
#[case::answer_that_came_late(Watched { took: Span::from_secs(9), changed: false, complete_for: WAIT })]
#[case::cut_short(Watched { took: Span::from_millis(700), changed: false, complete_for: Span::ZERO })]
#[case::a_change(Watched { took: Span::from_millis(2_010), changed: true, complete_for: Span::ZERO })]
fn only_an_empty_watch_of_full_length_shows_that_the_view_is_complete(#[case] watched: Watched) {
    let deleted = Change::Deleted { key: String::new(), revision: StoreRevision(2) };
    let changes = if watched.changed { vec![deleted] } else { Vec::new() };
    let changes = Changes { revision: StoreRevision(2), changes };
    let synced_at = synced_time(STARTED, STARTED + watched.took, WAIT, &changes);
    assert_eq!(synced_at, STARTED + watched.complete_for);
}
