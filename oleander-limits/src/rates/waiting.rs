//! Requests that wait a bounded time for tokens.

use std::collections::VecDeque;

use oleander_core::time::Time;

use crate::rates::actions::Ticket;
use crate::rates::tokens::Tokens;

/// `WaitingRequest` is a request that is expected to get its tokens in time.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// The name of the request.
    pub ticket: Ticket,
    /// The tokens that it needs.
    pub cost: Tokens,
    /// The time at which it is refused.
    pub until: Time,
}

/// `WaitQueue` holds the waiting requests of one workspace in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    requests: VecDeque<WaitingRequest>,
    cost: Tokens,
}

impl WaitQueue {
    /// Adds a request at the end.
    pub fn push(&mut self, request: WaitingRequest) {
        self.cost += request.cost;
        self.requests.push_back(request);
    }

    /// Takes the first request if it needs at most `available` tokens.
    pub fn pop_within(&mut self, available: Tokens) -> Option<WaitingRequest> {
        let first = self.requests.front().copied()?;
        if available < first.cost {
            return None;
        }
        self.remove_first();
        Some(first)
    }

    /// Takes the first request for which `keep` does not hold, given the cost up to and with it.
    pub fn pop_unless(
        &mut self,
        keep: impl Fn(&WaitingRequest, Tokens) -> bool,
    ) -> Option<WaitingRequest> {
        let mut ahead = Tokens::ZERO;
        let at = self.requests.iter().position(|request| {
            ahead += request.cost;
            !keep(request, ahead)
        })?;
        self.remove_at(at)
    }

    /// Removes a request. Returns `true` if it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let at = self.requests.iter().position(|request| request.ticket == ticket);
        at.and_then(|at| self.remove_at(at)).is_some()
    }

    /// Gets the first request.
    pub fn first(&self) -> Option<&WaitingRequest> {
        self.requests.front()
    }

    /// Gets the time at which the next request is refused.
    pub fn next_timeout(&self) -> Option<Time> {
        self.requests.iter().map(|request| request.until).min()
    }

    /// Gets the tokens that all waiting requests need.
    pub fn cost(&self) -> Tokens {
        self.cost
    }

    /// Returns `true` if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn remove_first(&mut self) {
        self.remove_at(0);
    }

    fn remove_at(&mut self, at: usize) -> Option<WaitingRequest> {
        let request = self.requests.remove(at)?;
        self.cost = self.cost.saturating_sub(request.cost);
        Some(request)
    }
}
