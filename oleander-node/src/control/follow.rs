//! Follows the store with one full read and then a chain of watch calls, or through a VM of the
//! same region that does (`feed`). Each answer shows until when the view was complete.

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
use crate::eligibility;
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

/// The time for which VMs wait for the standby of their region when its watcher is lost or has lost
/// the store. The standby then calls the store and has a recent view after `RECOVERY_WAIT`.
const STANDBY_TIME: Span = Span::from_millis(200);

/// The time after a failed call to the store until a VM that is not one of its region's watchers calls
/// it again. Meanwhile it asks the watchers, which call the store more often.
const RETRY_TIME: Span = Span::from_millis(3_000);

/// The time after the first reading of a store that was restored from a copy by which VMs, instances
/// and operators have written again.
pub const REWRITE_TIME: Span = Span::from_millis(4_500);

/// The wait of the first watch after a failure; short, so that its answer soon shows whether the
/// view is complete.
const RECOVERY_WAIT: Span = Span::from_millis(100);

/// The time for which a VM whose lease has ended still counts for the placement of homes: three
/// renewal intervals at least, so that all VMs have time to take a new lease after an outage of the
/// store. It does not depend on the TTL, and nothing that must be exclusive rests on it.
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

/// `Progress` is how far a follower has come and when it may try what again.
struct Progress {
    /// The revision up to which the view is complete; `None` before a full read.
    complete: Option<StoreRevision>,
    /// `false` after a failed call, until the store or another VM has told of changes again.
    reachable: bool,
    backoff: Backoff,
    /// `true` if the view may be old, after VMs that were followed have not answered.
    unproven: bool,
    pace: Pace,
    /// The time until which the store is watched though there are VMs to follow.
    direct_until: Time,
    /// The time before which the store is not called again if there are VMs to follow.
    retry_at: Time,
    /// The time of the full reading that ends the first seconds after a restore.
    settle_at: Option<Time>,
}

impl Follower {
    /// Follows the store until dropped. A watch that the store can no longer serve is followed by a
    /// new full read.
    pub async fn run(self) {
        let mut progress = Progress {
            complete: None,
            reachable: true,
            unproven: false,
            backoff: Backoff::default(),
            pace: Pace::new(WATCH_INTERVAL, WATCH_BURST),
            direct_until: Time(0),
            retry_at: Time(0),
            settle_at: None,
        };
        loop {
            if progress.settle_at.take_if(|at| *at <= self.fleet.now()).is_some() {
                progress.complete = None;
            }
            if self.follow_watchers(&mut progress).await {
                continue;
            }
            match self.call_store(&mut progress).await {
                Ok(revision) => self.note_reached(&mut progress, revision),
                Err(StoreError::Compacted) => progress.complete = None,
                Err(error) => self.handle_failure(&mut progress, error).await,
            }
        }
    }

    /// Follows the watchers of the region. Returns `false` if the store has to be called.
    async fn follow_watchers(&self, progress: &mut Progress) -> bool {
        let Some(after) = progress.complete else { return false };
        if self.fleet.now() < progress.direct_until {
            return false;
        }
        let sources = self.feed.sources();
        if sources.is_empty() {
            return false;
        }
        let mut followed = self.feed.follow(&sources, after).await;
        if followed.is_none() && self.feed.has_standby(&sources) {
            self.fleet.timers.sleep(STANDBY_TIME).await;
            followed = self.feed.recheck(&sources, after).await;
        }
        if let Some(followed) = followed {
            let revision = self.apply(&followed.changes, followed.synced);
            self.note_reached(progress, revision);
            return true;
        }
        if self.fleet.now() < progress.retry_at {
            self.fleet.timers.sleep(progress.backoff.next_pause()).await;
            return true;
        }
        progress.direct_until = self.fleet.now() + DIRECT_TIME;
        progress.unproven = true;
        false
    }

    async fn call_store(&self, progress: &mut Progress) -> Result<StoreRevision, StoreError> {
        if let Some(after) = progress.complete {
            let is_proven = progress.reachable && !std::mem::take(&mut progress.unproven);
            let wait = if is_proven { WATCH_WAIT } else { RECOVERY_WAIT };
            self.fleet.timers.sleep_until(progress.pace.next(self.fleet.now())).await;
            return self.watch(after, wait).await;
        }
        let former = self.fleet.view().revision;
        let revision = self.read().await?;
        if former != StoreRevision(0) && former.era() < revision.era() {
            progress.settle_at = Some(self.fleet.now() + self.fleet.settings.settle_time());
        }
        Ok(revision)
    }

    /// Records that the view is complete up to `revision`.
    fn note_reached(&self, progress: &mut Progress, revision: StoreRevision) {
        progress.complete = Some(revision);
        progress.backoff = Backoff::default();
        if !std::mem::replace(&mut progress.reachable, true) {
            let at = Field::number("at", self.fleet.view().revision.0);
            self.journal.record(Event::StoreReachable, &[at]);
        }
    }

    /// After a failed call, follows any VM that has a recent view, or waits.
    async fn handle_failure(&self, progress: &mut Progress, error: StoreError) {
        if std::mem::replace(&mut progress.reachable, false) {
            let fields =
                [Field::text("reason", error), Field::number("at", self.fleet.view().revision.0)];
            let age = self.fleet.view_age().map(|age| Field::millis("age", age));
            let fields: Vec<Field> = fields.into_iter().chain(age).collect();
            self.journal.record(Event::StoreUnreachable, &fields);
        }
        progress.direct_until = Time(0);
        // The store may turn this VM and the watchers of its region away.
        if let Some(after) = progress.complete
            && let Some(followed) = self.feed.follow_any(after).await
        {
            let revision = self.apply(&followed.changes, followed.synced);
            return self.note_reached(progress, revision);
        }
        progress.retry_at = self.fleet.now() + RETRY_TIME;
        self.fleet.timers.sleep(progress.backoff.next_pause()).await;
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
        let now = self.fleet.now();
        let mut view = self.applier.apply_reading(&former, &reading, now);
        let synced = self.fleet.synced_at();
        eligibility::shorten_window(&mut view, &former, synced, now, &self.fleet.settings);
        self.feed.copy().apply_reading(&reading);
        if former.revision == StoreRevision(0) && 0 < revision.era() {
            // The copy may lack the latest configuration, which other VMs know.
            self.fleet.hold_configuration();
        }
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
        let former = self.fleet.view();
        if let Some(mut view) = self.applier.apply_changes(&former, changes, now) {
            let synced = self.fleet.synced_at();
            eligibility::shorten_window(&mut view, &former, synced, now, &self.fleet.settings);
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
