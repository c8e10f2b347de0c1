//! Status questions to the instances while writes wait for their replication or requests for a place.

use std::sync::Arc;
use std::sync::Weak;

use oleander_core::time::Span;
use oleander_upstream::group::Admin;
use oleander_upstream::pool::PoolOptions;

use crate::home::database::Home;

/// The time between two status questions to one instance while requests wait in the queue only.
const QUEUE_INTERVAL: Span = Span::from_millis(20);

/// The time within which an instance must answer a status question.
const POLL_LIMIT: Span = Span::from_millis(300);

/// The time after a failed status question before the next one.
const FAILED_PAUSE: Span = Span::from_millis(100);

/// Asks the instance for its status while anything waits, until the home is dropped.
pub(crate) async fn poll_instance(home: Weak<Home>, ordinal: u8, address: String) {
    let Ok(admin) = Admin::new(&address, &PoolOptions::default()) else { return };
    while let Some(strong) = home.upgrade() {
        tokio::select! {
            () = strong.acks.wait_pending() => {}
            () = strong.admission.wait_busy() => {}
        }
        let pause = poll_once(&strong, &admin, ordinal).await;
        let timers = strong.context.timers.clone();
        drop(strong);
        timers.sleep(pause).await;
    }
}

async fn poll_once(home: &Arc<Home>, admin: &Admin, ordinal: u8) -> Span {
    let asked = home.context.timers.now();
    match admin.status(POLL_LIMIT.duration()).await {
        Ok(status) => {
            home.note_status(ordinal, status, asked);
            home.acks.next_poll().unwrap_or(QUEUE_INTERVAL)
        }
        Err(_) => FAILED_PAUSE,
    }
}
