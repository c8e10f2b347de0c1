//! The calendar and the horizon of one instance at its home.

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::home::calendar::Calendar;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::request::Class;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::StartedRequest;
use oleander_limits::home::urgency::Rank;
use oleander_limits::home::urgency::Standing;
use oleander_limits::home::urgency::Urgency;
use oleander_routing::horizon::HorizonControl;

use super::slots::ORDINAL;

/// The factor, in halves, by which the time until the deadline of a new statement must exceed its
/// expected wait while bookings are due. It is above that of the queue, so that the queue does not
/// refuse statements with a booking when estimates move.
const WAIT_MARGIN_HALVES: u64 = 5;

/// `Overload` gives refused statements times to return, and decides which levels the home admits.
pub(super) struct Overload {
    calendar: Calendar,
    control: HorizonControl,
}

/// `Entitlement` tells whether a statement has claimed a booking.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Entitlement {
    /// The statement returned at the time that it was given.
    Booked,
    /// The statement is new.
    New,
}

impl Overload {
    /// Creates an empty calendar for an instance with `slots` slots; the home admits all levels.
    pub(super) fn new(now: Time, slots: u32) -> Self {
        Self { calendar: Calendar::new(now, slots), control: HorizonControl::open(now) }
    }

    /// Replaces the number of slots.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.calendar.set_slots(slots);
    }

    /// Closes the horizon to all but level 0, because the VM has just started or the instance was
    /// away; it opens level by level.
    pub(super) fn reopen(&mut self, now: Time) {
        self.control = HorizonControl::reopening(now);
    }

    /// Returns the levels that the home admits now: all while a slot is free and nothing waits.
    pub(super) fn horizon(&mut self, now: Time, queue: &HomeQueue) -> Horizon {
        if is_free(now, queue) {
            return Horizon::OPEN;
        }
        self.control.horizon(now, |level| {
            let waiting = (0..=level.0).map(|ahead| queue.waiting_at(Level(ahead))).sum();
            self.calendar.next_room(now, level, waiting)
        })
    }

    /// Decides whether a statement may enter the queue. Bookings that are due go before new
    /// statements of their level: those that wait for them too long to meet their target stand
    /// behind the others of the level, and those that would miss their deadline are refused.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if the statement has to come back later.
    pub(super) fn admit(
        &mut self,
        now: Time,
        queue: &HomeQueue,
        queued: &QueuedRequest,
        urgency: &mut Urgency,
    ) -> Result<Entitlement, Refusal> {
        if queued.class == Class::Transaction {
            return Ok(Entitlement::New);
        }
        let wait = expected_wait(queue, queued, urgency.level);
        let target = urgency.target.unwrap_or(queued.deadline);
        self.control.record_wait(now, urgency.level, wait, target.since(now));
        if self.calendar.claim(now, queued.workspace, urgency.level) {
            return Ok(Entitlement::Booked);
        }
        let pending = self.calendar.pending(now, urgency.level, wait);
        if pending == Span::ZERO || is_free(now, queue) {
            return Ok(Entitlement::New);
        }
        let ahead = Span(pending.0 / u64::from(queue.slots().total_slots().max(1)));
        if queued.deadline.since(now).times(2) < (wait + ahead).times(WAIT_MARGIN_HALVES) {
            let detail = "home: requests that return as told go first";
            let refusal = Refusal::not_run(RefusalCode::DeadlineExceeded, detail);
            return Err(self.refuse(now, wait, queued.workspace, urgency.level, refusal));
        }
        urgency.target = urgency.target.map(|target| Time(target.0.saturating_sub(ahead.0)));
        Ok(Entitlement::New)
    }

    /// Books the return of a refused statement after `wait`, the time for which the queue keeps the
    /// slots busy, and closes its level.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        wait: Span,
        workspace: WorkspaceId,
        level: Level,
        refusal: Refusal,
    ) -> Refusal {
        self.control.close(now, level);
        let booking = self.calendar.book(now, workspace, level, wait, rand::random());
        refusal.with_retry_after(booking.retry_after)
    }

    /// Records that a statement has started, after waiting.
    pub(super) fn record_start(&mut self, now: Time, started: &StartedRequest) {
        let StartedRequest { request, urgency, queued, .. } = started;
        if request.class == Class::Transaction {
            return;
        }
        if let Some(target) = urgency.target {
            self.control.record_wait(now, urgency.level, *queued, target.since(now) + *queued);
        }
    }

    /// Records the service time of a statement that has ended.
    pub(super) fn record_end(
        &mut self,
        now: Time,
        level: Level,
        entitlement: Entitlement,
        service: Span,
    ) {
        match entitlement {
            Entitlement::Booked => self.calendar.record_claimed(service),
            Entitlement::New => self.calendar.record_unbooked(now, level, service),
        }
    }
}

/// Returns `true` if a new statement would start at once.
fn is_free(now: Time, queue: &HomeQueue) -> bool {
    queue.is_empty() && queue.slots().is_free(now, ORDINAL)
}

/// Returns the time that a new statement of a level would wait.
pub(super) fn expected_wait(queue: &HomeQueue, queued: &QueuedRequest, level: Level) -> Span {
    queue.expected_wait(queued, Rank { level, standing: Standing::InTime })
}
