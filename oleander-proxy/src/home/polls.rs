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
const QUEUE_INTERVAL: Span = Span::from_millis(20);

/// The time within which an instance must answer a status question.
const POLL_LIMIT: Span = Span::from_millis(300);

/// The time after a failed status question before the next one.
const FAILED_PAUSE: Span = Span::from_millis(100);

/// `Polled` is a home whose instances are asked for their status.
pub(crate) trait Polled: Send + Sync {
    /// Gets the writes that wait for their replication.
    fn acks(&self) -> &Acks;

    /// Gets the requests that wait for a place.
    fn admission(&self) -> &Admission;

    /// Gets the timers.
    fn timers(&self) -> &TimerService;

    /// Takes in the status of an instance that was asked for at `asked`.
    fn note_status(&self, ordinal: u8, status: InstanceStatus, asked: Time);
}

/// Asks the instance for its status while anything waits, until the home is dropped.
pub(crate) async fn poll_instance(home: Weak<impl Polled>, ordinal: u8, address: String) {
    let Ok(admin) = Admin::new(&address, &PoolOptions::default()) else { return };
    while let Some(strong) = home.upgrade() {
        tokio::select! {
            () = strong.acks().wait_pending() => {}
            () = strong.admission().wait_busy() => {}
        }
        let pause = poll_once(&*strong, &admin, ordinal).await;
        let timers = strong.timers().clone();
        drop(strong);
        timers.sleep(pause).await;
    }
}

async fn poll_once(home: &impl Polled, admin: &Admin, ordinal: u8) -> Span {
    let asked = home.timers().now();
    match admin.status(POLL_LIMIT.duration()).await {
        Ok(status) => {
            home.note_status(ordinal, status, asked);
            home.acks().next_poll().unwrap_or(QUEUE_INTERVAL)
        }
        Err(_) => FAILED_PAUSE,
    }
}
