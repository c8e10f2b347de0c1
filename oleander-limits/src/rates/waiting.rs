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
    /// The tokens the request costs.
    pub cost: Tokens,
    /// The time at which the request is refused.
    pub until: Time,
    /// The urgency; requests of the most urgent level are served before all others.
    pub level: Level,
}

/// `WaitQueue` holds the waiting requests of one workspace: those of the most urgent level first,
/// each kind in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    requests: VecDeque<WaitingRequest>,
    /// The number of requests of the most urgent level.
    urgent: usize,
    cost: Tokens,
    urgent_cost: Tokens,
}

impl WaitQueue {
    /// Adds a request behind those that are served before it.
    pub fn push(&mut self, request: WaitingRequest) {
        self.cost += request.cost;
        if request.level == Level::FIRST {
            self.urgent_cost += request.cost;
            self.requests.insert(self.urgent, request);
            self.urgent += 1;
        } else {
            self.requests.push_back(request);
        }
    }

    /// Removes and returns the first request if it costs at most the tokens that `available`
    /// returns for its level.
    pub fn pop_within(&mut self, available: impl Fn(Level) -> Tokens) -> Option<WaitingRequest> {
        let first = self.requests.front().copied()?;
        if available(first.level) < first.cost {
            return None;
        }
        self.remove_at(0)
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

    /// Returns the cost of the waiting requests that are served before a new one of `level`.
    pub fn cost_ahead(&self, level: Level) -> Tokens {
        if level == Level::FIRST { self.urgent_cost } else { self.cost }
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn remove_at(&mut self, index: usize) -> Option<WaitingRequest> {
        let request = self.requests.remove(index)?;
        self.cost = self.cost.saturating_sub(request.cost);
        if request.level == Level::FIRST {
            self.urgent -= 1;
            self.urgent_cost = self.urgent_cost.saturating_sub(request.cost);
        }
        Some(request)
    }
}
