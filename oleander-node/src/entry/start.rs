//! Waits for requests that arrive while a VM, and perhaps the whole fleet, is starting.
//!
//! The first view and the VM's shares of the rates are available within moments. Refusing a request
//! instead would send its caller to another VM that may be starting as well.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

use crate::fleet::Fleet;

/// The time after the start of a VM during which others may be starting as well: VMs that lost
/// power together are back within a second of each other.
const STARTUP_PERIOD: Span = Span::from_millis(1_500);

/// The maximum time that the opening of a session waits for the first view; callers wait 2 s for
/// their session to open.
const FIRST_VIEW_TIMEOUT: Span = Span::from_millis(500);

/// The divisor of the route's target latency that gives the time for which an operation waits for
/// the VM's shares of the rates. The remaining time suffices to serve it within the target.
const RATE_RETRY_DIVISOR: u64 = 2;

/// The pause between two requests to the rate limiter.
const RATE_RETRY_PAUSE: Span = Span::from_millis(50);

/// Waits up to `FIRST_VIEW_TIMEOUT` for the first view if the VM has just started.
pub async fn wait_for_first_view(fleet: &Fleet) {
    if fleet.view_age().is_none() && is_starting(fleet.now(), fleet.started()) {
        let mut changes = fleet.changes();
        let viewed = changes.changed();
        // If the wait times out, the request is refused because there is no view.
        let _ = fleet.timers.within(FIRST_VIEW_TIMEOUT, viewed).await;
    }
}

/// Returns the time at which an operation refused by the rate limiter asks it again, or `None` if
/// the refusal is final.
///
/// `started` is the start of the VM, `admitted` that of the operation, and `target` the target
/// latency of its route.
pub fn rate_retry_time(
    refusal: &Refusal,
    now: Time,
    started: Time,
    admitted: Time,
    target: Span,
) -> Option<Time> {
    let retry_at = now + RATE_RETRY_PAUSE;
    let should_retry = refusal.code == RefusalCode::RateLimited
        && is_starting(now, started)
        && retry_at <= admitted + Span(target.0 / RATE_RETRY_DIVISOR);
    should_retry.then_some(retry_at)
}

fn is_starting(now: Time, started: Time) -> bool {
    now.since(started) < STARTUP_PERIOD
}
