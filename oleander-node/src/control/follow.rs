//! Following the store: one full read, then watches that each prove the view for their time.

use std::sync::Arc;

use oleander_core::events::Event;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_ports::store::Changes;
use oleander_ports::store::KeyValue;
use oleander_ports::store::StoreError;
use oleander_ports::store::StoreRevision;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;

use super::Backoff;
use super::apply::Applier;
use crate::fleet::Fleet;

/// The longest wait of one watch: with its time limit well within the bound on withdrawn keys, so
/// that a connection that fell silent can be replaced in time.
const WATCH_WAIT: Span = Span::from_millis(2_000);

/// The wait of the watch that follows a failure, which must soon tell whether the view still holds.
const FIRST_WAIT: Span = Span::from_millis(100);

/// The time for which a VM without a lease still counts for the placement of homes: as long as a
/// lease, so that all VMs have time to renew theirs after an outage of the store.
const ROSTER_GRACE: Span = Span::from_millis(3_000);

/// `Follower` keeps the fleet's view as new as the store allows.
pub struct Follower {
    /// The view to keep.
    pub fleet: Arc<Fleet>,
    /// The store.
    pub store: Arc<dyn KeyValue>,
    /// Turns what the store told into views.
    pub applier: Applier,
    /// Records what changes.
    pub journal: Journal,
}

impl Follower {
    /// Follows the store until dropped.
    pub async fn run(self) {
        let mut backoff = Backoff::default();
        let mut reachable = true;
        // The revision up to which the view is complete; `None` before a full read.
        let mut complete = None;
        loop {
            let wait = if reachable { WATCH_WAIT } else { FIRST_WAIT };
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
                self.fleet.timers.sleep(backoff.pause()).await;
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
            // An answer from before this view says nothing about the present.
            return Err(StoreError::Refused);
        }
        let view = self.applier.read(&former, &reading, self.fleet.now());
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
        if let Some(mut view) = self.applier.change(&former, &changes, now) {
            Arc::make_mut(&mut view.roster).drop_ended(now, ROSTER_GRACE);
            self.fleet.set_view(view);
        }
        self.fleet.mark_synced(proven(asked, now, wait, &changes));
        Ok(revision)
    }
}

/// Gets the time at which the view had all changes, from a watch that was asked at `asked`.
///
/// The store answers as soon as there is a change, so that an answer without one after the whole
/// wait says that there was none until then.
pub fn proven(asked: Time, now: Time, wait: Span, changes: &Changes) -> Time {
    let waited = asked + wait;
    if changes.changes.is_empty() && waited <= now { waited } else { asked }
}
