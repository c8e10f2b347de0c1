//! A simulated database group in virtual time: a primary's log, and replicas that apply it late.

use std::ops::Range;

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// The number of instances; instance 0 is the primary.
pub(crate) const INSTANCES: usize = 3;

/// The time after which a replica's lag changes.
const LAG_PERIOD: Span = Span::from_millis(250);

/// `FakeGroup` computes the log position of each instance at any time.
#[derive(Debug)]
pub(crate) struct FakeGroup {
    /// The time of each commit; position `n` is the commit at index `n - 1`.
    commits: Vec<Time>,
    /// The lag of each replica in each `LAG_PERIOD`.
    lags: [Vec<Span>; INSTANCES],
    /// The period in which instance 1 applies nothing.
    stall: Range<Time>,
}

impl FakeGroup {
    /// Creates a group for a run of `length` whose replicas lag by 70% to 130% of `lag`.
    pub(crate) fn new(
        lag: Span,
        length: Span,
        stall: Range<Time>,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let periods = length.0 / LAG_PERIOD.0 + 1;
        let mut draw = || Span((lag.0 as f64 * random.random_range(0.7..1.3)) as u64);
        let mut lags: [Vec<Span>; INSTANCES] = Default::default();
        for lags in &mut lags[1..] {
            lags.extend((0..periods).map(|_| draw()));
        }
        Self { commits: Vec::new(), lags, stall }
    }

    /// Commits a write on the primary and returns its position. `now` must not decrease between
    /// calls.
    pub(crate) fn commit(&mut self, now: Time) -> u64 {
        self.commits.push(now);
        self.commits.len() as u64
    }

    /// Returns the position that an instance has reached at `now`.
    pub(crate) fn position(&self, instance: usize, now: Time) -> u64 {
        if instance == 0 {
            return self.committed(now);
        }
        if instance == 1 && self.stall.contains(&now) {
            return self.position(instance, Time(self.stall.start.0 - 1));
        }
        let lags = &self.lags[instance];
        let period = ((now.0 / LAG_PERIOD.0) as usize).min(lags.len() - 1);
        // A replica whose lag grows keeps its position; it never goes back.
        let start = Time(period as u64 * LAG_PERIOD.0);
        let before = lags[period.saturating_sub(1)];
        let applied =
            Time(start.0.saturating_sub(before.0)).max(Time(now.0.saturating_sub(lags[period].0)));
        self.committed(applied)
    }

    /// Returns the status that an instance reports at `now`.
    pub(crate) fn status(&self, instance: usize, now: Time) -> InstanceStatus {
        let point = LogPoint { term: Term(1), position: Position(self.position(instance, now)) };
        let role = if instance == 0 { Role::Primary } else { Role::Replica };
        InstanceStatus { role, point, fence: Term(1), start: Position(0) }
    }

    fn committed(&self, now: Time) -> u64 {
        self.commits.partition_point(|commit| *commit <= now) as u64
    }
}
