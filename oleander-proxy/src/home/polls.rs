//! Polls the status of instances while writes wait for replication or requests wait in the queue.

use std::sync::Weak;

use oleander_core::terms::InstanceStatus;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_runtime::timer::TimerService;
use oleander_upstream::group::Admin;
use oleander_upstream::pool::PoolOptions;

use crate::home::acks::Acks;
use crate::home::admission::Admission;

/// The interval between polls of an instance while requests are queued and no write waits.
const QUEUE_POLL_INTERVAL: Span = Span::from_millis(20);

/// The timeout of a status query.
const STATUS_TIMEOUT: Span = Span::from_millis(300);

/// The pause after a failed status query.
const FAILED_POLL_PAUSE: Span = Span::from_millis(100);

/// `PollTarget` is a home whose instances are polled.
pub(crate) trait PollTarget: Send + Sync {
    /// Returns the writes that wait for replication.
    fn acks(&self) -> &Acks;

    /// Returns the queue of requests that wait for a slot.
    fn admission(&self) -> &Admission;

    /// Returns the timers used for poll intervals and request times.
    fn timers(&self) -> &TimerService;

    /// Records a status that was requested from an instance at `requested_at`.
    fn record_status(&self, ordinal: u8, status: InstanceStatus, requested_at: Time);
}

/// Polls an instance while writes or requests wait, until the home is dropped.
///
/// Returns at once if `address` is invalid.
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
