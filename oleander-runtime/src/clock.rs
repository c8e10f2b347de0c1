//! The monotonic clock.

use oleander_core::time::Span;
use oleander_core::time::Time;

/// The time that a new clock shows. It is not zero, so that earlier times can be represented.
const START_OFFSET: Span = Span::from_secs(3_600);

/// `Clock` reads monotonic time. Copies share the same start.
///
/// On Linux the clock also advances while the machine is suspended, so that a lease expires during
/// a suspension. The standard library's clock, used on other systems, may not advance then.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: source::Start,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self { start: source::Start::now() }
    }

    /// Returns the present time; an hour for a clock that was just created.
    pub fn now(&self) -> Time {
        Time(START_OFFSET.0 + self.start.micros())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(target_os = "linux")]
mod source {
    use rustix::time::ClockId;
    use rustix::time::clock_gettime;

    const NANOS_PER_MICRO: i64 = 1_000;
    const MICROS_PER_SECOND: i64 = 1_000_000;

    /// `Start` is the reading of the boot clock, in microseconds, when a `Clock` was created.
    #[derive(Clone, Copy, Debug)]
    pub(super) struct Start(i64);

    impl Start {
        pub(super) fn now() -> Self {
            Self(read_micros())
        }

        /// Returns the time since the start, in microseconds.
        pub(super) fn micros(self) -> u64 {
            (read_micros() - self.0).max(0).unsigned_abs()
        }
    }

    fn read_micros() -> i64 {
        let time = clock_gettime(ClockId::Boottime);
        time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO
    }
}

#[cfg(not(target_os = "linux"))]
mod source {
    use std::time::Instant;

    /// `Start` is the instant at which a `Clock` was created.
    #[derive(Clone, Copy, Debug)]
    pub(super) struct Start(Instant);

    impl Start {
        pub(super) fn now() -> Self {
            Self(Instant::now())
        }

        /// Returns the time since the start, in microseconds.
        pub(super) fn micros(self) -> u64 {
            u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX)
        }
    }
}
