//! Samples of the primary's log position over time, kept in a bounded ring buffer.
//!
//! A sample states that the primary's position at `time` was at most `point`. An instance that has
//! applied `point` therefore has every write up to `time`.

use std::collections::VecDeque;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;

/// The maximum number of samples kept.
pub const MAX_SAMPLES: usize = 128;

/// A sample is dropped if the gap between its neighbours is less than its age divided by this.
const GAP_DIVISOR: u64 = 8;

/// `Sample` is an upper bound of the primary's position at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// A time at or before the status request was sent.
    pub time: Time,
    /// The term and position in the response.
    pub point: LogPoint,
}

/// `Samples` is a ring buffer of samples of one term, oldest first.
///
/// The gaps between samples grow in proportion to their age, so a few dozen samples cover the range
/// from milliseconds to hours. A sample of a newer term clears the buffer.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    ring: VecDeque<Sample>,
}

/// `StatusAt` is an instance's status and the time at which it was requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatusAt {
    /// The status that the instance reported.
    pub status: InstanceStatus,
    /// The time at which the request was sent, read before sending it.
    pub requested_at: Time,
}

impl Samples {
    /// Adds a sample. Ignores a sample of an older term, or of the same term that is not newer than
    /// the last one.
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

    /// Returns the term of the samples; `None` if there are none.
    pub fn term(&self) -> Option<Term> {
        self.ring.back().map(|sample| sample.point.term)
    }

    /// Returns the newest sample; `None` if there are none.
    pub fn newest(&self) -> Option<Sample> {
        self.ring.back().copied()
    }

    /// Returns the lowest known point that includes every write up to `age` before `now`.
    ///
    /// Returns `None` if no sample is that recent. Nothing then proves that data is within the age.
    pub fn floor(&self, now: Time, age: Span) -> Option<LogPoint> {
        let oldest = Time(now.0.saturating_sub(age.0));
        let index = self.ring.partition_point(|sample| sample.time < oldest);
        self.ring.get(index).map(|sample| sample.point)
    }

    /// Returns the time of the first sample at or after `position`, an estimate of when the primary
    /// reached it; `None` if `position` is past all samples.
    pub fn first_at_or_after(&self, position: Position) -> Option<Time> {
        let index = self.ring.partition_point(|sample| sample.point.position < position);
        self.ring.get(index).map(|sample| sample.time)
    }

    /// Returns the time of the last sample at or before `position`, when the primary was not past
    /// it; `None` if all samples are past `position`.
    pub fn last_at_or_before(&self, position: Position) -> Option<Time> {
        let index = self.ring.partition_point(|sample| sample.point.position <= position);
        self.ring.get(index.checked_sub(1)?).map(|sample| sample.time)
    }

    /// Drops samples that are closer together than their age requires.
    fn thin(&mut self) {
        let Some(newest) = self.newest() else { return };
        let mut index = 1;
        while index + 1 < self.ring.len() {
            let gap = self.ring[index + 1].time.since(self.ring[index - 1].time);
            if gap.times(GAP_DIVISOR) < newest.time.since(self.ring[index].time) {
                self.ring.remove(index);
            } else {
                index += 1;
            }
        }
        while MAX_SAMPLES < self.ring.len() {
            self.ring.pop_front();
        }
    }
}

/// Returns a sample that a majority of a group of `size` instances confirms; `None` if there is no
/// primary or no such majority.
///
/// A partitioned primary does not know that it was replaced, so its status alone proves nothing
/// about the present. A promotion fences a majority first: if the statuses of a majority, including
/// the primary, were requested at `time` or later and promise no higher term, no newer primary can
/// have written before `time`.
pub fn confirmed(
    size: usize,
    statuses: impl IntoIterator<Item = StatusAt> + Clone,
) -> Option<Sample> {
    let primary = statuses
        .clone()
        .into_iter()
        .filter(|observed| observed.status.role == Role::Primary)
        .max_by_key(|observed| observed.status.point)?;
    let term = primary.status.point.term;
    let mut times: Vec<Time> = statuses
        .into_iter()
        .filter(|observed| observed.status.fence <= term && observed.status.point.term <= term)
        .map(|observed| observed.requested_at)
        .collect();
    times.sort_unstable_by_key(|time| std::cmp::Reverse(*time));
    let majority = *times.get(size / 2)?;
    Some(Sample { time: majority.min(primary.requested_at), point: primary.status.point })
}
