//! Status questions to the instances while writes wait for their replication or requests for a place.

use std::sync::Weak;

use oleander_core::terms::InstanceStatus;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_runtime::timer::TimerService;
use oleander_upstream::group::Admin;
use oleander_upstream::pool::PoolOptions;

use crate::home::acks::Acks;
use crate::home::admission::Admission;

/// The time between two status questions to one instance while requests wait in the queue only.
const QUEUE_POLL_INTERVAL: Span = Span::from_millis(20);

/// The time within which an instance must answer a status question.
const STATUS_TIMEOUT: Span = Span::from_millis(300);

/// The time after a failed status question before the next one.
const FAILED_POLL_PAUSE: Span = Span::from_millis(100);

/// `PollTarget` is a home whose instances are asked for their status.
pub(crate) trait PollTarget: Send + Sync {
    /// Gets the writes that wait for their replication.
    fn acks(&self) -> &Acks;

    /// Gets the requests that wait for a place.
    fn admission(&self) -> &Admission;

    /// Gets the timers.
    fn timers(&self) -> &TimerService;

    /// Takes in the status of an instance that was asked for at `requested_at`.
    fn record_status(&self, ordinal: u8, status: InstanceStatus, requested_at: Time);
}

/// Asks the instance for its status while anything waits, until the home is dropped.
pub(crate) async fn poll_instance(home: Weak<impl PollTarget>, ordinal: u8, address: String) {
    let Ok(admin) = Admin::new(&address, &PoolOptions::default()) else { return };
    while let Some(target) = home.upgrade() {
        tokio::select! {
            () = target.acks().wait_pending() => {}
            () = target.admission().wait_non_empty() => {}
        }
        let pause = poll_once(&*target, &admin, ordinal).await;
        let timers = target.timers().clone();
        drop(target);
        timers.sleep(pause).await;
    }
}

async fn poll_once(home: &impl PollTarget, admin: &Admin, ordinal: u8) -> Span {
    let requested_at = home.timers().now();
    match admin.status(STATUS_TIMEOUT.duration()).await {
        Ok(status) => {
            home.record_status(ordinal, status, requested_at);
            home.acks().next_poll().unwrap_or(QUEUE_POLL_INTERVAL)
        }
        Err(_) => FAILED_POLL_PAUSE,
    }
}
