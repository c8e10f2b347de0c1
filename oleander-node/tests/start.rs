//! What callers wait for while a VM starts, and what a watch proves.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_node::control::follow::proven;
use oleander_node::entry::start::rate_retry_time;
use oleander_ports::store::Change;
use oleander_ports::store::Changes;
use oleander_ports::store::StoreRevision;
use rstest::rstest;

const STARTED: Time = Time(60_000_000);
const TARGET: Span = Span::from_millis(600);

/// `Refused` is a refusal at a time after the start of the VM, of an operation that was admitted
/// some time before, and whether the rate limiter is asked again.
struct Refused {
    code: RefusalCode,
    up_for: Span,
    waited: Span,
    again: bool,
}

/// Requests used all their tries up while the VMs that had lost power together shared rates out.
#[rstest]
#[case::at_the_start(Refused {
    code: RefusalCode::RateLimited,
    up_for: Span::from_millis(100),
    waited: Span::from_millis(20),
    again: true,
})]
#[case::no_time_left_for_service(Refused {
    code: RefusalCode::RateLimited,
    up_for: Span::from_millis(600),
    waited: Span::from_millis(300),
    again: false,
})]
#[case::long_after_the_start(Refused {
    code: RefusalCode::RateLimited,
    up_for: Span::from_secs(5),
    waited: Span::from_millis(20),
    again: false,
})]
#[case::another_reason(Refused {
    code: RefusalCode::KeyRejected,
    up_for: Span::from_millis(100),
    waited: Span::from_millis(20),
    again: false,
})]
fn rates_are_asked_again_while_a_vm_starts(#[case] refused: Refused) {
    let refusal = Refusal::not_run(refused.code, "");
    let now = STARTED + refused.up_for;
    let admitted = Time(now.0 - refused.waited.0);
    let again = rate_retry_time(&refusal, now, STARTED, admitted, TARGET);
    assert_eq!(again.is_some(), refused.again);
    assert!(again.is_none_or(|at| now < at));
}

/// `Watched` is how long a watch took, whether it told of a change, and for how long after the
/// question its answer holds.
struct Watched {
    took: Span,
    changed: bool,
    proves: Span,
}

const WAIT: Span = Span::from_secs(2);

#[rstest]
#[case::nothing_in_the_whole_wait(Watched { took: Span::from_millis(2_010), changed: false, proves: WAIT })]
#[case::answer_that_came_late(Watched { took: Span::from_secs(9), changed: false, proves: WAIT })]
#[case::cut_short(Watched { took: Span::from_millis(700), changed: false, proves: Span::ZERO })]
#[case::a_change(Watched { took: Span::from_millis(2_010), changed: true, proves: Span::ZERO })]
fn a_watch_proves_the_view(#[case] watched: Watched) {
    let deleted = Change::Deleted { key: String::new(), revision: StoreRevision(2) };
    let changes = if watched.changed { vec![deleted] } else { Vec::new() };
    let changes = Changes { revision: StoreRevision(2), changes };
    let at = proven(STARTED, STARTED + watched.took, WAIT, &changes);
    assert_eq!(at, STARTED + watched.proves);
}
