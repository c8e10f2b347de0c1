//! Follows the store with one full read and then a chain of watch calls, or through a VM of the
//! same availability zone that does (`feed`). Each answer shows until when the view was complete.

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
use super::Pace;
use super::apply::Applier;
use super::feed::Feed;
use crate::fleet::Fleet;

/// The longest wait of one watch call. Together with the call's time limit it stays well within
/// `NodeSettings::revocation`, so that a silent connection can be replaced in time.
/// The VMs that follow this one reckon with it, too.
const WATCH_WAIT: Span = Span::from_millis(1_500);

/// The time between two watch calls while one change follows the other: a change then concerns few
/// VMs, and the start of a large fleet is hundreds of them.
const WATCH_INTERVAL: Span = Span::from_millis(100);

/// The number of watch calls that may be sent faster than `WATCH_INTERVAL`, so that single changes
/// are seen at once.
const WATCH_BURST: u64 = 5;

/// The time for which a VM watches the store itself after no other VM could be followed.
const DIRECT_TIME: Span = Span::from_millis(3_000);

/// The time from the first reading of a store that was restored from a copy to the next one, which
/// counts in full. By then all VMs, instances and operators have written again, and the leases that
/// the store has lost have ended as their holders count them.
pub const SETTLE_TIME: Span = Span::from_millis(4_500);

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
    /// Follows other VMs, and answers those that follow this one.
    pub feed: Arc<Feed>,
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
        let mut pace = Pace::new(WATCH_INTERVAL, WATCH_BURST);
        let mut direct_until = Time(0);
        let mut settle_at = None;
        loop {
            if settle_at.take_if(|at| *at <= self.fleet.now()).is_some() {
                complete = None;
            }
            if let Some(after) = complete
                && direct_until <= self.fleet.now()
            {
                let sources = self.feed.sources();
                if let Some(followed) = self.feed.follow(&sources, after).await {
                    complete = Some(self.apply(&followed.changes, followed.synced));
                    reachable = true;
                    continue;
                }
                if !sources.is_empty() {
                    direct_until = self.fleet.now() + DIRECT_TIME;
                }
            }
            let wait = if reachable { WATCH_WAIT } else { RECOVERY_WAIT };
            let outcome = match complete {
                Some(after) => {
                    self.fleet.timers.sleep_until(pace.next(self.fleet.now())).await;
                    self.watch(after, wait).await
                }
                None => {
                    let former = self.fleet.view().revision;
                    let outcome = self.read().await;
                    if former != StoreRevision(0) && former.era() < self.fleet.view().revision.era()
                    {
                        settle_at = Some(self.fleet.now() + SETTLE_TIME);
                    }
                    outcome
                }
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
                // The store may turn this VM and the watchers of its zone away.
                if let Some(after) = complete
                    && let Some(followed) = self.feed.follow_any(after).await
                {
                    complete = Some(self.apply(&followed.changes, followed.synced));
                    direct_until = Time(0);
                    continue;
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
        self.feed.copy().apply_reading(&reading);
        self.fleet.set_view(view);
        self.fleet.mark_synced(asked);
        Ok(revision)
    }

    async fn watch(&self, after: StoreRevision, wait: Span) -> Result<StoreRevision, StoreError> {
        let asked = self.fleet.now();
        let changes = self.store.watch(after, wait).await?;
        if changes.revision < after {
            return Err(StoreError::Refused);
        }
        let synced = synced_time(asked, self.fleet.now(), wait, &changes);
        Ok(self.apply(&changes, synced))
    }

    /// Applies changes that continue from the view, which had them all at `synced`. Returns the
    /// revision up to which the view is complete.
    fn apply(&self, changes: &Changes, synced: Time) -> StoreRevision {
        let now = self.fleet.now();
        // Followers are answered from the copy as soon as the view has changed.
        self.feed.copy().apply_changes(changes);
        if let Some(mut view) = self.applier.apply_changes(&self.fleet.view(), changes, now) {
            Arc::make_mut(&mut view.roster).drop_ended(now, ROSTER_GRACE);
            self.fleet.set_view(view);
        }
        self.fleet.mark_synced(synced);
        changes.revision
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
