//! Divides a token need among the owners that may be called.

use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The number of steps into which a peer's capacity is divided if it holds less than one token.
const CHUNKS_PER_PEER: u64 = 4;
/// The divisor of a peer's capacity that gives the minimum worth requesting, unless the whole need
/// is smaller.
const MIN_REQUEST_DIVISOR: u64 = 16;

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
}

impl Offer {
    /// Creates the offer of the peer at `index` in the list of peers.
    pub fn new(index: usize, left: Tokens, capacity: Tokens) -> Self {
        Self { index, left, capacity, amount: Tokens::ZERO }
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
}

/// `Allocation` is the amount to request from one peer.
#[derive(Clone, Copy, Debug)]
pub struct Allocation {
    /// The index in the list of peers.
    pub index: usize,
    /// The tokens to request.
    pub amount: Tokens,
}

/// Divides `need` among the peers so that their fill ratios become even. The result is less than
/// `need` if the estimates do not cover it.
pub fn divide(mut offers: SmallVec<[Offer; 8]>, need: Tokens) -> SmallVec<[Allocation; 8]> {
    let mut rest = need;
    while rest != Tokens::ZERO {
        let fullest = offers
            .iter_mut()
            .max_by(|left, right| left.fill_ratio().total_cmp(&right.fill_ratio()));
        let Some(fullest) = fullest.filter(|offer| offer.min_request() < offer.left) else { break };
        let step = fullest.chunk();
        // A remainder below the minimum does not justify a message of its own.
        let wanted = if rest.saturating_sub(step) < fullest.min_request() { rest } else { step };
        let taken = wanted.min(fullest.left);
        fullest.left = fullest.left.saturating_sub(taken);
        fullest.amount += taken;
        rest = rest.saturating_sub(taken);
    }
    let requested =
        offers.into_iter().filter(|offer| offer.min_request().min(need) <= offer.amount);
    requested
        .filter(|offer| offer.amount != Tokens::ZERO)
        .map(|offer| Allocation { index: offer.index, amount: offer.amount })
        .collect()
}
