//! The baseline: one queue in order of arrival, with the capacity and the slots of the home queue.

use std::collections::VecDeque;

use oleander_core::time::Time;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::Ticket;

/// `Fifo` serves requests in order of arrival and drops those past their deadline.
#[derive(Debug, Default)]
pub struct Fifo {
    requests: VecDeque<QueuedRequest>,
}

/// The maximum number of waiting requests; the same as that of the home queue.
const MAX_WAITING: usize = 1024;

impl Fifo {
    /// Adds a request. Returns `false` if the queue is full.
    pub fn push(&mut self, request: QueuedRequest) -> bool {
        if self.requests.len() == MAX_WAITING {
            return false;
        }
        self.requests.push_back(request);
        true
    }

    /// Removes the first request if `place` returns an instance for it. Returns the request and the
    /// instance's ordinal.
    pub fn pop(
        &mut self,
        place: impl FnOnce(&QueuedRequest) -> Option<u8>,
    ) -> Option<(QueuedRequest, u8)> {
        let ordinal = place(self.requests.front()?)?;
        Some((self.requests.pop_front()?, ordinal))
    }

    /// Removes the requests whose deadline has passed and returns their tickets.
    pub fn expire(&mut self, now: Time) -> Vec<Ticket> {
        let is_late = |request: &&QueuedRequest| request.deadline <= now;
        let late = self.requests.iter().filter(is_late).map(|request| request.ticket).collect();
        self.requests.retain(|request| now < request.deadline);
        late
    }
}
