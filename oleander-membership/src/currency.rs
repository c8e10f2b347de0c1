//! For how long a VM may go on without news from the store.

use oleander_core::ids::Revision;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::StoreReading;

/// `Currency` holds the latest known reads of the store, by whichever VM.
///
/// A read counts only if this VM has what the read found: a VM that knows of a newer revision
/// and does not have it is not current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Currency {
    latest: Option<Reading>,
    revision_at: Option<Time>,
    shares_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Time,
    revision: Revision,
    shares: u64,
}

/// `Held` is what this VM has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The version of the record of shares.
    pub shares: u64,
}

impl Currency {
    /// Takes in a read of the store; its age is counted from `asked`.
    pub fn note(&mut self, asked: Time, reading: StoreReading, held: Held) {
        let at = Time(asked.0.saturating_sub(reading.age.0));
        if self.latest.is_none_or(|latest| latest.at < at) {
            let StoreReading { revision, shares, .. } = reading;
            self.latest = Some(Reading { at, revision, shares });
        }
        self.update(held);
    }

    /// Counts the latest read if this VM has what it found.
    pub fn update(&mut self, held: Held) {
        let Some(latest) = self.latest else { return };
        if latest.revision <= held.revision {
            self.revision_at = self.revision_at.max(Some(latest.at));
        }
        if latest.shares <= held.shares {
            self.shares_at = self.shares_at.max(Some(latest.at));
        }
    }

    /// Gets the latest read as it is told to others.
    pub fn reading(&self, now: Time) -> Option<StoreReading> {
        self.latest.map(|Reading { at, revision, shares }| StoreReading {
            age: now.since(at),
            revision,
            shares,
        })
    }

    /// Gets the time since the latest read; `Span::MAX` if none is known.
    pub fn age(&self, now: Time) -> Span {
        self.latest.map_or(Span::MAX, |latest| now.since(latest.at))
    }

    /// Gets the time up to which the configuration counts as current.
    ///
    /// `majority` is the time since which most VMs have been heard. If none of them knows of a
    /// newer read either, then none of them can read the store, and their life is enough.
    pub fn current_until(&self, window: Span, majority: Option<Time>, held: Held) -> Time {
        let lags = self.latest.is_some_and(|latest| held.revision < latest.revision);
        until(window, self.revision_at, majority.filter(|_| !lags && self.revision_at.is_some()))
    }

    /// Gets the time up to which this VM may use its shares.
    pub fn shares_until(&self, window: Span, majority: Option<Time>, held: Held) -> Time {
        let lags = self.latest.is_some_and(|latest| held.shares < latest.shares);
        until(window, self.shares_at, majority.filter(|_| !lags && self.shares_at.is_some()))
    }
}

fn until(window: Span, read: Option<Time>, majority: Option<Time>) -> Time {
    read.max(majority).map_or(Time(0), |at| at + window)
}
