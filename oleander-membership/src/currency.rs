//! How long a VM may act on its state without a new read of the store.

use oleander_core::ids::Revision;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::StoreReading;

/// `Currency` holds the latest known reads of the store by any VM.
///
/// A read counts only if this VM has the versions that the read found: a VM that knows of a newer
/// revision and does not have it is not current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Currency {
    /// The latest known read; `None` before the first.
    latest: Option<Reading>,
    /// The start of the latest read that counts for the configuration.
    revision_at: Option<Time>,
    /// The start of the latest read that counts for the shares.
    shares_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    /// The start of the read; a delayed answer makes it look earlier, never later.
    at: Time,
    revision: Revision,
    shares: u64,
}

/// `HeldVersions` holds the versions of the state that this VM has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeldVersions {
    /// The latest configuration revision that the VM has checked.
    pub revision: Revision,
    /// The version of the share record.
    pub shares: u64,
}

impl Currency {
    /// Merges a read of the store by any VM. Its age is subtracted from `asked`, the time at which
    /// this VM asked for it, so that a delayed answer does not make the read look newer.
    pub fn record(&mut self, asked: Time, reading: StoreReading, held: HeldVersions) {
        let at = Time(asked.0.saturating_sub(reading.age.0));
        if self.latest.is_none_or(|latest| latest.at < at) {
            let StoreReading { revision, shares, .. } = reading;
            self.latest = Some(Reading { at, revision, shares });
        }
        self.update(held);
    }

    /// Counts the latest read if this VM has the versions that it found.
    pub fn update(&mut self, held: HeldVersions) {
        let Some(latest) = self.latest else { return };
        if latest.revision <= held.revision {
            self.revision_at = self.revision_at.max(Some(latest.at));
        }
        if latest.shares <= held.shares {
            self.shares_at = self.shares_at.max(Some(latest.at));
        }
    }

    /// Returns the latest read with its age, for heartbeat replies; `None` if none is known.
    pub fn reading(&self, now: Time) -> Option<StoreReading> {
        self.latest.map(|Reading { at, revision, shares }| StoreReading {
            age: now.since(at),
            revision,
            shares,
        })
    }

    /// Returns the age of the latest read; `Span::MAX` if none is known.
    pub fn age(&self, now: Time) -> Span {
        self.latest.map_or(Span::MAX, |latest| now.since(latest.at))
    }

    /// Returns the time until which the configuration counts as current; `Time(0)` if no read has
    /// counted yet.
    ///
    /// `majority` is the time since which more than half of the VMs have been heard. Hearing them
    /// extends the currency like a read: if none of them knows of a newer read, none of them can
    /// read the store. It does not while this VM lacks a revision that a read found.
    pub fn current_until(&self, window: Span, majority: Option<Time>, held: HeldVersions) -> Time {
        let lags = self.latest.is_some_and(|latest| held.revision < latest.revision);
        until(window, self.revision_at, majority.filter(|_| !lags && self.revision_at.is_some()))
    }

    /// Returns the time until which this VM may use its shares, by the same rule as
    /// `current_until`.
    pub fn shares_until(&self, window: Span, majority: Option<Time>, held: HeldVersions) -> Time {
        let lags = self.latest.is_some_and(|latest| held.shares < latest.shares);
        until(window, self.shares_at, majority.filter(|_| !lags && self.shares_at.is_some()))
    }
}

/// Returns the end of the `window` that starts at the later of the two times; `Time(0)` without
/// any.
fn until(window: Span, read: Option<Time>, majority: Option<Time>) -> Time {
    read.max(majority).map_or(Time(0), |at| at + window)
}
