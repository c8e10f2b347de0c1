//! Requests that reach a VM while it starts, and with it perhaps the whole fleet.
//!
//! What they wait for comes within moments: the first view, and the shares of rates. A refusal
//! would send them to another VM that starts, too.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

use crate::fleet::Fleet;

/// The time after the start of a VM in which others may be starting, too: VMs that lost power
/// together are back within a second of each other.
const START_TIME: Span = Span::from_millis(1_500);

/// The longest wait of a caller for the first view; a caller waits 2 s for its session to open.
const VIEW_WAIT: Span = Span::from_millis(500);

/// The part of an operation's target, as a divisor, for which it waits for rates to be shared out:
/// what is then left serves it in time.
const TARGET_PART: u64 = 2;

/// The pause before the rate limiter is asked again.
const RATE_PAUSE: Span = Span::from_millis(50);

/// Waits for the first view of a VM that has just started.
pub async fn first_view(fleet: &Fleet) {
    if fleet.view_age().is_none() && is_starting(fleet.now(), fleet.started()) {
        let mut changes = fleet.changes();
        let viewed = changes.changed();
        // Without a view the caller is told so.
        let _ = fleet.timers.within(VIEW_WAIT, viewed).await;
    }
}

/// Gets the time at which a request that was refused for its rate is to ask again; `None` if the
/// refusal stands.
pub fn rate_retry_time(
    refusal: &Refusal,
    now: Time,
    started: Time,
    admitted: Time,
    target: Span,
) -> Option<Time> {
    let again = now + RATE_PAUSE;
    let waits = refusal.code == RefusalCode::RateLimited
        && is_starting(now, started)
        && again <= admitted + Span(target.0 / TARGET_PART);
    waits.then_some(again)
}

fn is_starting(now: Time, started: Time) -> bool {
    now.since(started) < START_TIME
}
