//! The waiting requests of one priority level.

use oleander_core::time::Span;
use strum::EnumCount;

use crate::home::estimate::ServiceEstimate;
use crate::home::fair::FairQueue;
use crate::home::request::Class;
use crate::home::urgency::Standing;

/// Out of this many turns, reads take precedence over writes in one and writes in the others.
const READ_FIRST_INTERVAL: usize = 8;

/// `LevelQueue` holds the waiting requests of one level and the service times of its requests.
///
/// Each level has service times of its own, because levels often differ in the work of a request.
/// With common ones, short urgent requests would be judged by the long requests of other levels.
#[derive(Debug, Default)]
pub(super) struct LevelQueue {
    /// The number of waiting requests.
    pub(super) waiting: usize,
    in_time: [FairQueue; Class::COUNT],
    late: [FairQueue; Class::COUNT],
    estimates: [ServiceEstimate; Class::COUNT],
    /// The number of the turn, modulo `READ_FIRST_INTERVAL`; reads take precedence in turn 0.
    read_turn: usize,
}

impl LevelQueue {
    pub(super) fn flows(&self, standing: Standing, class: Class) -> &FairQueue {
        match standing {
            Standing::InTime => &self.in_time[class as usize],
            Standing::Late => &self.late[class as usize],
        }
    }

    pub(super) fn flows_mut(&mut self, standing: Standing, class: Class) -> &mut FairQueue {
        match standing {
            Standing::InTime => &mut self.in_time[class as usize],
            Standing::Late => &mut self.late[class as usize],
        }
    }

    pub(super) fn estimate(&self, class: Class) -> &ServiceEstimate {
        &self.estimates[class as usize]
    }

    pub(super) fn record(&mut self, class: Class, cost: u32, service: Span) {
        self.estimates[class as usize].record(cost, service);
    }

    /// Advances the turn and returns the order of the classes outside transactions.
    ///
    /// Writes usually precede reads, as reads can use the replicas too. Reads take precedence in
    /// some turns, because there may be no usable replica.
    pub(super) fn next_turn(&mut self) -> [Class; 2] {
        self.read_turn = (self.read_turn + 1) % READ_FIRST_INTERVAL;
        if self.read_turn == 0 { [Class::Read, Class::Write] } else { [Class::Write, Class::Read] }
    }
}
