//! A fake database group in virtual time: one primary's log, and replicas that apply it late.

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

/// The time for which a replica keeps one lag.
const LAG_PERIOD: Span = Span::from_millis(250);

/// `FakeGroup` answers what each instance holds at a time.
#[derive(Debug)]
pub(crate) struct FakeGroup {
    commits: Vec<Time>,
    lags: [Vec<Span>; INSTANCES],
    /// The time for which instance 1 applies nothing.
    stall: Range<Time>,
}

impl FakeGroup {
    /// Makes a group whose replicas lag around `lag` for `length`.
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

    /// Commits a write on the primary at `now`, which must not go back. Gets its position.
    pub(crate) fn commit(&mut self, now: Time) -> u64 {
        self.commits.push(now);
        self.commits.len() as u64
    }

    /// Gets the position that an instance holds at `now`.
    pub(crate) fn position(&self, instance: usize, now: Time) -> u64 {
        if instance == 0 {
            return self.committed(now);
        }
        if instance == 1 && self.stall.contains(&now) {
            return self.position(instance, Time(self.stall.start.0 - 1));
        }
        let lags = &self.lags[instance];
        let period = ((now.0 / LAG_PERIOD.0) as usize).min(lags.len() - 1);
        // A replica whose lag grows stands still; it never goes back.
        let start = Time(period as u64 * LAG_PERIOD.0);
        let before = lags[period.saturating_sub(1)];
        let applied =
            Time(start.0.saturating_sub(before.0)).max(Time(now.0.saturating_sub(lags[period].0)));
        self.committed(applied)
    }

    /// Gets the status that an instance answers at `now`.
    pub(crate) fn status(&self, instance: usize, now: Time) -> InstanceStatus {
        let point = LogPoint { term: Term(1), position: Position(self.position(instance, now)) };
        let role = if instance == 0 { Role::Primary } else { Role::Replica };
        InstanceStatus { role, point, fence: Term(1), start: Position(0) }
    }

    fn committed(&self, now: Time) -> u64 {
        self.commits.partition_point(|commit| *commit <= now) as u64
    }
}
