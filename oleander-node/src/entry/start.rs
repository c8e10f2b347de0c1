//! Waits for sessions that are opened while a VM, and perhaps the whole fleet, is starting.
//!
//! The first view is available within moments. Refusing a session instead would send its caller to
//! another VM that may be starting as well.

use oleander_core::time::Span;

use crate::fleet::Fleet;
use crate::fleet::STARTUP_PERIOD;

/// The maximum time that the opening of a session waits for the first view; callers wait 2 s for
/// their session to open.
const FIRST_VIEW_TIMEOUT: Span = Span::from_millis(500);

/// Waits up to `FIRST_VIEW_TIMEOUT` for the first view if the VM has just started.
pub async fn wait_for_first_view(fleet: &Fleet) {
    if fleet.view_age().is_none() && fleet.now().since(fleet.started()) < STARTUP_PERIOD {
        let mut changes = fleet.changes();
        let viewed = changes.changed();
        // If the wait times out, the request is refused because there is no view.
        let _ = fleet.timers.within(FIRST_VIEW_TIMEOUT, viewed).await;
    }
}
