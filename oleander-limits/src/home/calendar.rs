//! A reservation calendar, which gives refused requests times at which to return.
//!
//! The next `LENGTH` is divided into cells. A refused request books the work it will cause into the
//! first cells with room, so that clients that retry at the given times find the capacity that was
//! counted for them. The room of a cell is the slot time that requests without a booking leave free
//! according to the measurements.

use std::array;
use std::collections::VecDeque;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::home::estimate::ServiceEstimate;

/// The length of a cell.
pub const CELL: Span = Span::from_millis(50);

/// The length of the calendar.
pub const LENGTH: Span = Span::from_secs(10);

/// The number of cells of the calendar.
const CELLS: u64 = LENGTH.0 / CELL.0;

/// The number of cells before its own in which a booking can be claimed already.
const EARLY_CELLS: u64 = 1;

/// The number of cells after its own in which a booking can still be claimed. The answer and the
/// retry cross the network and the client's timers, which takes well below a second.
const LATE_CELLS: u64 = 20;

/// The number of cells after its own for which a booking holds new requests back: two round trips
/// between regions and to the client.
const HOLD_CELLS: u64 = 4;

/// The time over which unbooked requests are spread after the end of a full calendar.
const OVERFLOW: Span = Span::from_secs(1);

/// The number of cells over which the load of unbooked requests is averaged. A burst of 2 s then
/// counts for a sixth of its excess.
const LOAD_WINDOW: u64 = 256;

/// The number of cells over which refusals are averaged: about the length of a burst.
const REFUSAL_WINDOW: u64 = 64;

/// The weight of one refusal in the averages, so that small counts do not vanish by rounding.
const REFUSAL_UNIT: u64 = 1 << 10;

/// The divisor of the capacity that gives the least room of a cell: in lasting overload the
/// requests without a booking take all slots, and nothing would be measured as free.
const MIN_ROOM_DIVISOR: u64 = 4;

/// The divisor of the room that gives the least part reserved for higher-priority levels, and the
/// least part that such reserves leave to a level.
const RESERVE_DIVISOR: u64 = 8;

/// The factor from the part of higher-priority levels in the refusals to their reserve, in halves.
/// With their part alone, the clients of all levels would return equally soon.
const RESERVE_HALVES: u64 = 3;

/// The shortest service time that a booking is counted with, which bounds the bookings of a cell.
const MIN_SERVICE: Span = Span::from_millis(1);

/// `Calendar` holds the bookings of one instance at one of its homes.
#[derive(Clone, Debug)]
pub struct Calendar {
    slots: u32,
    service: ServiceEstimate,
    /// The number of the first cell in `cells`, counted from time zero.
    first: u64,
    cells: VecDeque<Cell>,
    /// The number of bookings that have not been claimed.
    open: usize,
    /// The cell up to which the averages are complete.
    measured: u64,
    /// The number of cells in `load`, at most `LOAD_WINDOW`.
    window: u64,
    /// The slot time that requests without a booking took in the current cell, by level.
    used: [u64; Level::COUNT],
    /// The slot time that they took in the last `window` cells, by level.
    load: [u64; Level::COUNT],
    /// The decaying number of refusals, in units of `REFUSAL_UNIT`, by level.
    refusals: [u64; Level::COUNT],
}

#[derive(Clone, Debug, Default)]
struct Cell {
    /// The booked slot time by level; claims leave it, since the claimed requests use that time.
    work: [u64; Level::COUNT],
    /// The bookings that have not been claimed.
    bookings: SmallVec<[Bookings; 2]>,
}

/// `Room` is the slot time of one cell that a level may book.
#[derive(Clone, Copy, Debug)]
struct Room {
    level: Level,
    /// The slot time for all levels together.
    all: u64,
    /// The part of it for this level and those of lower priority.
    own: u64,
}

/// `Bookings` counts the bookings of a workspace and level in one cell.
#[derive(Clone, Copy, Debug)]
struct Bookings {
    workspace: WorkspaceId,
    level: Level,
    count: u32,
}

/// `Booking` is the time that a refused request is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Booking {
    /// The time until the request should return.
    pub retry_after: Span,
    /// `true` if room was booked for it; `false` if the calendar is full.
    pub booked: bool,
}

impl Calendar {
    /// Creates an empty calendar for a home with `slots` slots of the instance.
    pub fn new(now: Time, slots: u32) -> Self {
        Self {
            slots,
            service: ServiceEstimate::default(),
            first: 0,
            cells: VecDeque::new(),
            open: 0,
            measured: cell_at(now),
            window: 0,
            used: [0; Level::COUNT],
            load: [0; Level::COUNT],
            refusals: [0; Level::COUNT],
        }
    }

    /// Replaces the number of slots; bookings stay as they are.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Records the service time of a request that had claimed a booking.
    pub fn record_claimed(&mut self, service: Span) {
        self.service.record(1, service);
    }

    /// Records the service time of a request that had no booking, which counts as load.
    pub fn record_unbooked(&mut self, now: Time, level: Level, service: Span) {
        self.advance(now);
        self.service.record(1, service);
        self.used[level.index()] += service.0;
    }

    /// Books room for a refused request, at the earliest after `wait`, the time that the requests
    /// admitted so far keep the slots busy. `random` places the return within the cell.
    pub fn book(
        &mut self,
        now: Time,
        workspace: WorkspaceId,
        level: Level,
        wait: Span,
        random: u64,
    ) -> Booking {
        self.advance(now);
        let level = level.min(Level::LAST);
        self.refusals[level.index()] += REFUSAL_UNIT;
        let current = cell_at(now);
        let room = self.room(level);
        let Some(start) = self.first_with_room(current, room, wait) else {
            let retry_after = LENGTH + Span(random % OVERFLOW.0);
            return Booking { retry_after, booked: false };
        };
        let mut work = self.service().0;
        let mut number = start;
        while 0 < work && number < current + CELLS {
            let part = work.min(self.left(number, room));
            self.cell_mut(number).work[level.index()] += part;
            work -= part;
            number += 1;
        }
        self.cell_mut(start).add(workspace, level);
        self.open += 1;
        let retry_after = Time(start * CELL.0 + random % CELL.0).since(now);
        Booking { retry_after, booked: true }
    }

    /// Uses up a booking of the workspace and level that is due. Returns `false` if there is none,
    /// so that the request counts as new.
    pub fn claim(&mut self, now: Time, workspace: WorkspaceId, level: Level) -> bool {
        if self.open == 0 {
            return false;
        }
        self.advance(now);
        let first = self.first;
        let due = cell_at(now) + EARLY_CELLS;
        let cells = self.cells.iter_mut().zip(first..).take_while(|(_, number)| *number <= due);
        let claimed = cells.map(|(cell, _)| cell).any(|cell| cell.take(workspace, level));
        self.open -= usize::from(claimed);
        claimed
    }

    /// Returns the slot time of the bookings that go before a new request of `level` and are due
    /// within `wait`, but have not been claimed yet.
    pub fn pending(&mut self, now: Time, level: Level, wait: Span) -> Span {
        if self.open == 0 {
            return Span::ZERO;
        }
        self.advance(now);
        let current = cell_at(now);
        let due = current.saturating_sub(HOLD_CELLS)..=cell_at(now + wait.min(LENGTH));
        let cells = self.cells.iter().zip(self.first..).filter(|(_, number)| due.contains(number));
        let count: u64 = cells.map(|(cell, _)| cell.count_to(level)).sum();
        self.service().times(count)
    }

    /// Returns the time until the first cell with room for `level`, after the `waiting` requests
    /// that are served before; `LENGTH` if there is none.
    pub fn next_room(&mut self, now: Time, level: Level, waiting: usize) -> Span {
        self.advance(now);
        let wait = self.service.drain_time(waiting as u64, self.slots).min(LENGTH);
        let start = self.first_with_room(cell_at(now), self.room(level), wait);
        start.map_or(LENGTH, |number| Time(number * CELL.0).since(now))
    }

    /// Returns the number of bookings that have not been claimed.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the first cell that starts after `wait` and has room for a request.
    fn first_with_room(&self, current: u64, room: Room, wait: Span) -> Option<u64> {
        let start = current + 1 + wait.0 / CELL.0;
        (start..current + CELLS).find(|number| self.fits(*number, room))
    }

    /// Returns `true` if a request may start in the cell: it has room for half of it, and the next
    /// cells for the rest. A request that is longer than the level's part of a cell takes that part
    /// of several.
    fn fits(&self, number: u64, room: Room) -> bool {
        let work = self.service().0;
        let first = self.left(number, room);
        if first < work.div_ceil(2).min(room.own).max(1) {
            return false;
        }
        let mut rest = work.saturating_sub(first);
        let mut next = number + 1;
        while 0 < rest {
            let part = rest.min(room.own);
            if self.left(next, room) < part {
                return false;
            }
            rest -= part;
            next += 1;
        }
        true
    }

    /// Returns the slot time of a cell that is left for a level.
    fn left(&self, number: u64, room: Room) -> u64 {
        let booked = number
            .checked_sub(self.first)
            .and_then(|index| self.cells.get(index as usize))
            .map_or([0; Level::COUNT], |cell| cell.work);
        let total: u64 = booked.iter().sum();
        let lower: u64 = booked[room.level.index()..].iter().sum();
        room.all.saturating_sub(total).min(room.own.saturating_sub(lower))
    }

    /// Returns the room that a cell without bookings has for a level.
    fn room(&self, level: Level) -> Room {
        let all = self.free(level);
        Room { level, all, own: all.saturating_sub(self.reserve(all, level)) }
    }

    /// Returns the slot time of a cell that requests without a booking leave free, as far as they
    /// go before those of `level`.
    fn free(&self, level: Level) -> u64 {
        let capacity = u64::from(self.slots) * CELL.0;
        let load: u64 = self.load[..=level.index()].iter().sum();
        let used = load / self.window.max(1);
        capacity.saturating_sub(used).max(capacity / MIN_ROOM_DIVISOR)
    }

    /// Returns the part of `free` reserved for higher-priority levels than `level`, according to
    /// their part of the recent refusals: the requests of a burst arrive in any order.
    fn reserve(&self, free: u64, level: Level) -> u64 {
        if level.index() == 0 {
            return 0;
        }
        let higher: u64 = self.refusals[..level.index()].iter().sum();
        let total: u64 = self.refusals.iter().sum();
        let least = free / RESERVE_DIVISOR;
        (free * higher * RESERVE_HALVES / (2 * total.max(1))).clamp(least, free - least)
    }

    fn service(&self) -> Span {
        self.service.drain_time(1, 1).max(MIN_SERVICE)
    }

    /// Drops the cells whose bookings can no longer be claimed and updates the averages.
    fn advance(&mut self, now: Time) {
        let current = cell_at(now);
        let oldest = current.saturating_sub(LATE_CELLS);
        while self.first < oldest {
            let Some(cell) = self.cells.pop_front() else {
                self.first = oldest;
                break;
            };
            self.open -= cell.count_to(Level::LAST) as usize;
            self.first += 1;
        }
        // Beyond this number of cells without requests nothing is left of the averages.
        let passed = current.saturating_sub(self.measured).min(8 * LOAD_WINDOW);
        for _ in 0..passed {
            self.add_cell();
        }
        self.measured = self.measured.max(current);
    }

    /// Adds the current cell to the averages.
    fn add_cell(&mut self) {
        if self.window < LOAD_WINDOW {
            self.window += 1;
        } else {
            self.load = self.load.map(|load| load - load.div_ceil(LOAD_WINDOW));
        }
        self.load = array::from_fn(|index| self.load[index] + self.used[index]);
        self.used = [0; Level::COUNT];
        self.refusals = self.refusals.map(|count| count - count.div_ceil(REFUSAL_WINDOW));
    }

    fn cell_mut(&mut self, number: u64) -> &mut Cell {
        let index = number.saturating_sub(self.first) as usize;
        if self.cells.len() <= index {
            self.cells.resize_with(index + 1, Cell::default);
        }
        &mut self.cells[index]
    }
}

impl Cell {
    fn add(&mut self, workspace: WorkspaceId, level: Level) {
        let same = |known: &&mut Bookings| known.workspace == workspace && known.level == level;
        match self.bookings.iter_mut().find(same) {
            Some(known) => known.count += 1,
            None => self.bookings.push(Bookings { workspace, level, count: 1 }),
        }
    }

    /// Uses up a booking of the workspace and level; returns `false` if there is none.
    fn take(&mut self, workspace: WorkspaceId, level: Level) -> bool {
        let same = |known: &Bookings| known.workspace == workspace && known.level == level;
        let Some(index) = self.bookings.iter().position(same) else { return false };
        self.bookings[index].count -= 1;
        if self.bookings[index].count == 0 {
            self.bookings.swap_remove(index);
        }
        true
    }

    /// Returns the number of bookings of `level` and of higher priority.
    fn count_to(&self, level: Level) -> u64 {
        let ahead = self.bookings.iter().filter(|bookings| bookings.level <= level);
        ahead.map(|bookings| u64::from(bookings.count)).sum()
    }
}

fn cell_at(time: Time) -> u64 {
    time.0 / CELL.0
}
