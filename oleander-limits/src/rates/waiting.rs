//! A queue of requests that wait a bounded time for tokens.

use std::collections::VecDeque;

use oleander_core::level::Level;
use oleander_core::time::Time;

use crate::rates::actions::Ticket;
use crate::rates::tokens::Tokens;

/// `WaitingRequest` is a request that is expected to receive its tokens in time.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// The ticket under which the caller is answered.
    pub ticket: Ticket,
    /// The priority level of the request.
    pub level: Level,
    /// The tokens the request costs.
    pub cost: Tokens,
    /// The time at which the request is refused.
    pub until: Time,
}

/// `WaitQueue` holds the waiting requests of one workspace in the order of their levels, and of
/// their arrival within a level.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    requests: VecDeque<WaitingRequest>,
    cost: Tokens,
}

impl WaitQueue {
    /// Adds a request behind the others of its level and of higher ones.
    pub fn push(&mut self, request: WaitingRequest) {
        self.cost += request.cost;
        let index = self.requests.partition_point(|other| other.level <= request.level);
        self.requests.insert(index, request);
    }

    /// Returns the total cost of the requests that are served before a new one of the level.
    pub fn cost_ahead(&self, level: Level) -> Tokens {
        let ahead = self.requests.iter().take_while(|request| request.level <= level);
        ahead.fold(Tokens::ZERO, |sum, request| sum + request.cost)
    }

    /// Returns `true` if a request waits that is served before a new one of the level.
    pub fn has_ahead(&self, level: Level) -> bool {
        self.requests.front().is_some_and(|request| request.level <= level)
    }

    /// Removes and returns the first request if it costs at most `available` tokens.
    pub fn pop_within(&mut self, available: Tokens) -> Option<WaitingRequest> {
        let first = self.requests.front().copied()?;
        if available < first.cost {
            return None;
        }
        self.remove_first();
        Some(first)
    }

    /// Removes and returns the first request for which `keep` returns `false`. `keep` is given the
    /// request and the total cost up to and including it.
    pub fn pop_unless(
        &mut self,
        keep: impl Fn(&WaitingRequest, Tokens) -> bool,
    ) -> Option<WaitingRequest> {
        let mut ahead = Tokens::ZERO;
        let index = self.requests.iter().position(|request| {
            ahead += request.cost;
            !keep(request, ahead)
        })?;
        self.remove_at(index)
    }

    /// Removes a request. Returns `true` if it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self.requests.iter().position(|request| request.ticket == ticket);
        index.and_then(|index| self.remove_at(index)).is_some()
    }

    /// Returns the first request, or `None` if none waits.
    pub fn first(&self) -> Option<&WaitingRequest> {
        self.requests.front()
    }

    /// Returns the earliest time at which a request is refused.
    pub fn next_timeout(&self) -> Option<Time> {
        self.requests.iter().map(|request| request.until).min()
    }

    /// Returns the total cost of the waiting requests.
    pub fn cost(&self) -> Tokens {
        self.cost
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn remove_first(&mut self) {
        self.remove_at(0);
    }

    fn remove_at(&mut self, index: usize) -> Option<WaitingRequest> {
        let request = self.requests.remove(index)?;
        self.cost = self.cost.saturating_sub(request.cost);
        Some(request)
    }
}
