//! Divides a token need among the owners that may be called.

use std::cmp::Ordering;
use std::cmp::Reverse;

use oleander_core::places::Distance;
use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The number of steps into which a peer's capacity is divided if it holds less than one token.
const CHUNKS_PER_PEER: u64 = 4;
/// The divisor of a peer's capacity that gives the minimum worth requesting, unless the whole need
/// is smaller.
const MIN_REQUEST_DIVISOR: u64 = 16;

/// The fill ratio from which on a peer counts as plentiful. The other half of its capacity is left
/// to VMs that have no nearer one.
const PLENTIFUL_FILL: f64 = 0.5;

/// `Offer` is the estimated supply of one peer and the amount to request from it.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    index: usize,
    /// The estimated tokens at the peer that are not requested yet.
    left: Tokens,
    /// The capacity of the fractions that this VM has not borrowed from the peer.
    capacity: Tokens,
    /// The tokens to request.
    amount: Tokens,
    distance: Distance,
}

impl Offer {
    /// Creates the offer of the peer at `index` in the list of peers.
    pub fn new(index: usize, left: Tokens, capacity: Tokens, distance: Distance) -> Self {
        Self { index, left, capacity, amount: Tokens::ZERO, distance }
    }

    /// Returns the amount by which the request to this peer grows in one step.
    ///
    /// A request can run only once its whole token has arrived, so a peer that can hold a whole
    /// token is asked for one. A step is at least `min_request`: smaller amounts are not sent, so a
    /// need spread thinly over many peers would reach none of them.
    fn chunk(&self) -> Tokens {
        let whole = Tokens::whole(1);
        let step =
            if whole <= self.capacity { whole } else { Tokens(self.capacity.0 / CHUNKS_PER_PEER) };
        step.max(self.min_request())
    }

    /// Returns the minimum amount that justifies a message.
    fn min_request(&self) -> Tokens {
        Tokens(self.capacity.0 / MIN_REQUEST_DIVISOR)
    }

    /// Returns the ratio of the estimated tokens to the capacity.
    fn fill_ratio(&self) -> f64 {
        self.left.0 as f64 / self.capacity.0.max(1) as f64
    }

    /// Returns `true` if the peer probably has tokens for all who ask it, so that its distance
    /// decides.
    fn is_plentiful(&self) -> bool {
        PLENTIFUL_FILL <= self.fill_ratio()
    }

    /// Compares by preference: the nearest plentiful peer is the greatest, then the fullest one.
    fn preference(&self, other: &Self) -> Ordering {
        let closeness = |offer: &Self| offer.is_plentiful().then_some(Reverse(offer.distance));
        let by_fill = || self.fill_ratio().total_cmp(&other.fill_ratio());
        closeness(self).cmp(&closeness(other)).then_with(by_fill)
    }
}

/// `Allocation` is the amount to request from one peer.
#[derive(Clone, Copy, Debug)]
pub struct Allocation {
    /// The index in the list of peers.
    pub index: usize,
    /// The tokens to request.
    pub amount: Tokens,
}

/// Divides `need` among the peers: the nearest are asked as long as they are plentiful, and then
/// all so that their fill ratios become even. The result is less than `need` if the estimates do
/// not cover it.
pub fn divide(mut offers: SmallVec<[Offer; 8]>, need: Tokens) -> SmallVec<[Allocation; 8]> {
    let mut rest = need;
    while rest != Tokens::ZERO {
        let best = offers
            .iter_mut()
            .filter(|offer| offer.min_request() < offer.left)
            .max_by(|left, right| left.preference(right));
        let Some(best) = best else { break };
        let step = best.chunk();
        // A remainder below the minimum does not justify a message of its own.
        let wanted = if rest.saturating_sub(step) < best.min_request() { rest } else { step };
        let taken = wanted.min(best.left);
        best.left = best.left.saturating_sub(taken);
        best.amount += taken;
        rest = rest.saturating_sub(taken);
    }
    let requested =
        offers.into_iter().filter(|offer| offer.min_request().min(need) <= offer.amount);
    requested
        .filter(|offer| offer.amount != Tokens::ZERO)
        .map(|offer| Allocation { index: offer.index, amount: offer.amount })
        .collect()
}
