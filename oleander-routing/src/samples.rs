//! Samples of the primary's position over time, kept in a bounded ring.
//!
//! A sample says: at `time` the primary's position was at most `point`. So an
//! instance that has `point` has all that was written up to `time`.

use std::collections::VecDeque;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The number of samples kept at most.
pub const MAX_SAMPLES: usize = 128;

/// The part of a sample's age by which its neighbours may lie apart, as a divisor.
const RESOLUTION: u64 = 8;

/// `Sample` is the primary's position at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// The time before which the position was asked for.
    pub time: Time,
    /// The term and position in the answer.
    pub point: LogPoint,
}

/// `Samples` is a ring of samples of one term, oldest first.
///
/// Older samples are thinned out in proportion to their age, so a few dozen
/// span from milliseconds to hours. A newer term drops the samples before it.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    ring: VecDeque<Sample>,
}

/// `StatusAt` is an instance's status and the time at which it was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatusAt {
    /// The status.
    pub status: InstanceStatus,
    /// The time before the question was sent.
    pub requested_at: Time,
}

impl Samples {
    /// Adds a sample. A sample of an older term, or not newer than the last one, is ignored.
    pub fn push(&mut self, sample: Sample) {
        let Some(last) = self.ring.back() else {
            self.ring.push_back(sample);
            return;
        };
        if sample.point.term < last.point.term {
            return;
        }
        if last.point.term < sample.point.term {
            self.ring.clear();
        } else if sample.time <= last.time {
            return;
        }
        self.ring.push_back(sample);
        self.thin();
    }

    /// Gets the term of the samples.
    pub fn term(&self) -> Option<Term> {
        self.ring.back().map(|sample| sample.point.term)
    }

    /// Gets the newest sample.
    pub fn newest(&self) -> Option<Sample> {
        self.ring.back().copied()
    }

    /// Gets the least point whose holder has all that was written up to `age` before `now`.
    ///
    /// Gets `None` if no sample is young enough: then nothing shows that data is within the age.
    pub fn floor(&self, now: Time, age: Span) -> Option<LogPoint> {
        let oldest = Time(now.0.saturating_sub(age.0));
        let at = self.ring.partition_point(|sample| sample.time < oldest);
        self.ring.get(at).map(|sample| sample.point)
    }

    /// Gets the time by which the primary had reached `position`; `None` if it is past all samples.
    pub fn reached(&self, position: Position) -> Option<Time> {
        let at = self.ring.partition_point(|sample| sample.point.position < position);
        self.ring.get(at).map(|sample| sample.time)
    }

    /// Gets the last time at which the primary was not past `position`; `None` if it was past it all along.
    pub fn left(&self, position: Position) -> Option<Time> {
        let at = self.ring.partition_point(|sample| sample.point.position <= position);
        self.ring.get(at.checked_sub(1)?).map(|sample| sample.time)
    }

    /// Drops samples that lie closer than their age needs.
    fn thin(&mut self) {
        let Some(newest) = self.newest() else { return };
        let mut at = 1;
        while at + 1 < self.ring.len() {
            let gap = self.ring[at + 1].time.since(self.ring[at - 1].time);
            if gap.times(RESOLUTION) < newest.time.since(self.ring[at].time) {
                self.ring.remove(at);
            } else {
                at += 1;
            }
        }
        while MAX_SAMPLES < self.ring.len() {
            self.ring.pop_front();
        }
    }
}

/// Gets a sample that a majority of a group of `size` instances confirms.
///
/// A primary that was cut off does not know that it was replaced, so its word
/// alone says nothing about the present. A promotion fences a majority first.
/// If a majority, the primary included, was asked at `time` or later and had
/// promised no higher term, no newer primary can have written before `time`.
pub fn confirmed(
    size: usize,
    statuses: impl IntoIterator<Item = StatusAt> + Clone,
) -> Option<Sample> {
    let primary = statuses
        .clone()
        .into_iter()
        .filter(|known| known.status.role == Role::Primary)
        .max_by_key(|known| known.status.point)?;
    let term = primary.status.point.term;
    let mut requested_at: Vec<Time> = statuses
        .into_iter()
        .filter(|known| known.status.fence <= term && known.status.point.term <= term)
        .map(|known| known.requested_at)
        .collect();
    requested_at.sort_unstable_by_key(|time| std::cmp::Reverse(*time));
    let majority = *requested_at.get(size / 2)?;
    Some(Sample { time: majority.min(primary.requested_at), point: primary.status.point })
}
