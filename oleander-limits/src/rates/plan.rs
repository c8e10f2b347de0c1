//! How a need is divided over the owners that may be asked.

use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The parts of a peer's capacity in which a need is divided over the peers.
const CHUNKS_PER_PEER: u64 = 4;
/// The parts of a peer's capacity of which it is asked for at least one, unless less is needed.
const MIN_REQUEST_DIVISOR: u64 = 16;

/// `Offer` is what one peer is expected to have and will be asked for.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    at: usize,
    left: Tokens,
    capacity: Tokens,
    amount: Tokens,
}

impl Offer {
    /// Makes the offer of the peer with this place in the list of peers.
    pub fn new(at: usize, left: Tokens, capacity: Tokens) -> Self {
        Self { at, left, capacity, amount: Tokens::ZERO }
    }

    /// Gets the amount that is asked for in one step.
    ///
    /// Parts of a token wait for one another, so a peer that can hold a whole
    /// token is asked for a whole one. A step is never less than what is worth
    /// a message, or a need spread over many peers would be sent to none.
    fn chunk(&self) -> Tokens {
        let whole = Tokens::whole(1);
        let step =
            if whole <= self.capacity { whole } else { Tokens(self.capacity.0 / CHUNKS_PER_PEER) };
        step.max(self.min_request())
    }

    /// Gets the least amount that is worth a message.
    fn min_request(&self) -> Tokens {
        Tokens(self.capacity.0 / MIN_REQUEST_DIVISOR)
    }

    fn fill_ratio(&self) -> f64 {
        self.left.0 as f64 / self.capacity.0.max(1) as f64
    }
}

/// `Allocation` is what one peer is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Allocation {
    /// The place in the list of peers.
    pub at: usize,
    /// The tokens.
    pub amount: Tokens,
}

/// Divides `need` over the peers, so that their levels become even.
pub fn divide(mut offers: SmallVec<[Offer; 8]>, need: Tokens) -> SmallVec<[Allocation; 8]> {
    let mut rest = need;
    while rest != Tokens::ZERO {
        let fullest = offers
            .iter_mut()
            .max_by(|left, right| left.fill_ratio().total_cmp(&right.fill_ratio()));
        let Some(fullest) = fullest.filter(|offer| offer.min_request() < offer.left) else { break };
        let step = fullest.chunk();
        // What would be left over is not worth a message of its own.
        let wish = if rest.saturating_sub(step) < fullest.min_request() { rest } else { step };
        let part = wish.min(fullest.left);
        fullest.left = fullest.left.saturating_sub(part);
        fullest.amount += part;
        rest = rest.saturating_sub(part);
    }
    let asked = offers.into_iter().filter(|offer| offer.min_request().min(need) <= offer.amount);
    asked
        .filter(|offer| offer.amount != Tokens::ZERO)
        .map(|offer| Allocation { at: offer.at, amount: offer.amount })
        .collect()
}
