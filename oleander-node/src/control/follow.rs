//! Follows the store with one full read and then a chain of watch calls. Each answer shows until
//! when the view was complete.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_ports::store::Changes;
use oleander_ports::store::KeyValueStore;
use oleander_ports::store::StoreError;
use oleander_ports::store::StoreRevision;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;

use super::Backoff;
use super::apply::Applier;
use crate::fleet::Fleet;

/// The longest wait of one watch call. Together with the call's time limit it stays well within
/// `NodeSettings::revocation`, so that a silent connection can be replaced in time.
const WATCH_WAIT: Span = Span::from_millis(2_000);

/// The wait of the first watch after a failure; short, so that its answer soon shows whether the
/// view is complete.
const RECOVERY_WAIT: Span = Span::from_millis(100);

/// The time for which a VM whose lease has ended still counts for the placement of homes: about as
/// long as a lease, so that all VMs have time to renew theirs after an outage of the store.
const ROSTER_GRACE: Span = Span::from_millis(3_000);

/// `Follower` keeps the fleet's view up to date with the store.
pub struct Follower {
    /// Receives each new view.
    pub fleet: Arc<Fleet>,
    /// The store that is read and watched.
    pub store: Arc<dyn KeyValueStore>,
    /// Builds the views.
    pub applier: Applier,
    /// Logs when the store becomes unreachable and reachable again.
    pub journal: Journal,
}

impl Follower {
    /// Follows the store until dropped. A watch that the store can no longer serve is followed by a
    /// new full read.
    pub async fn run(self) {
        let mut backoff = Backoff::default();
        let mut reachable = true;
        // The revision up to which the view is complete; `None` before a full read.
        let mut complete = None;
        loop {
            let wait = if reachable { WATCH_WAIT } else { RECOVERY_WAIT };
            let outcome = match complete {
                Some(after) => self.watch(after, wait).await,
                None => self.read().await,
            };
            if let Err(error) = outcome {
                if error == StoreError::Compacted {
                    complete = None;
                    continue;
                }
                if std::mem::replace(&mut reachable, false) {
                    let fields = [
                        Field::text("reason", error),
                        Field::number("at", self.fleet.view().revision.0),
                    ];
                    let age = self.fleet.view_age().map(|age| Field::millis("age", age));
                    let fields: Vec<Field> = fields.into_iter().chain(age).collect();
                    self.journal.record(Event::StoreUnreachable, &fields);
                }
                self.fleet.timers.sleep(backoff.next_pause()).await;
                continue;
            }
            complete = outcome.ok();
            backoff = Backoff::default();
            if !std::mem::replace(&mut reachable, true) {
                let at = Field::number("at", self.fleet.view().revision.0);
                self.journal.record(Event::StoreReachable, &[at]);
            }
        }
    }

    async fn read(&self) -> Result<StoreRevision, StoreError> {
        let asked = self.fleet.now();
        let reading = self.store.read_all().await?;
        let former = self.fleet.view();
        let revision = reading.revision;
        if revision < former.revision {
            // The answer is older than the view, so it does not show that the view is current.
            return Err(StoreError::Refused);
        }
        let view = self.applier.apply_reading(&former, &reading, self.fleet.now());
        self.fleet.set_view(view);
        self.fleet.mark_synced(asked);
        Ok(revision)
    }

    async fn watch(&self, after: StoreRevision, wait: Span) -> Result<StoreRevision, StoreError> {
        let asked = self.fleet.now();
        let former = self.fleet.view();
        let changes = self.store.watch(after, wait).await?;
        let now = self.fleet.now();
        let revision = changes.revision;
        if revision < after {
            return Err(StoreError::Refused);
        }
        if let Some(mut view) = self.applier.apply_changes(&former, &changes, now) {
            Arc::make_mut(&mut view.roster).drop_ended(now, ROSTER_GRACE);
            self.fleet.set_view(view);
        }
        self.fleet.mark_synced(synced_time(asked, now, wait, &changes));
        Ok(revision)
    }
}

/// Returns the latest time at which a watch sent at `asked` and answered at `now` shows that the
/// view had all changes.
///
/// The store answers as soon as there is a change. An empty answer after the whole wait therefore
/// shows that there was none until the end of the wait; any other answer shows nothing after
/// `asked`.
pub fn synced_time(asked: Time, now: Time, wait: Span, changes: &Changes) -> Time {
    let waited = asked + wait;
    if changes.changes.is_empty() && waited <= now { waited } else { asked }
}
