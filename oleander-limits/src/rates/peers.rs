//! What a borrower expects of the other owners of a workspace.

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::rates::actions::CallId;
use crate::rates::ownership::FractionOwner;
use crate::rates::tokens::Bucket;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;

/// The first time that an owner without tokens is left alone; it doubles with each empty answer.
const EMPTY_BACKOFF: Span = Span::from_millis(20);
/// The first time that an owner is left alone that could not be asked.
const FAILED_BACKOFF: Span = Span::from_millis(200);
/// The longest time that an owner without tokens is left alone: about the time in which a low rate
/// brings a token.
const MAX_EMPTY_BACKOFF: Span = Span::from_millis(160);
/// The longest time that an owner is left alone that could not be asked.
const MAX_FAILED_BACKOFF: Span = Span::from_millis(1_000);
/// The time after which an unanswered call counts as failed.
const CALL_TIMEOUT: Span = Span::from_millis(300);

/// The calls to one owner that may be open at a time.
const MAX_CALLS: usize = 4;
/// The time within which an owner that is left alone still counts for a waiting request.
const SOON_READY: Span = Span::from_millis(30);

/// `Peer` is another VM that owns fractions of the workspace.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The VM.
    pub vm: VmId,
    /// The fractions that it owns.
    pub fractions: u32,
    expected: Bucket,
    retry: Time,
    backoff: Span,
    calls: SmallVec<[PendingCall; 1]>,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    id: CallId,
    tokens: Tokens,
    sent: Time,
}

impl Peer {
    /// Makes a peer that is expected to be full.
    pub fn new(now: Time, limit: Limit, owner: FractionOwner) -> Self {
        Self {
            vm: owner.vm,
            fractions: owner.fractions,
            expected: Bucket::new(limit.capacity(owner.fractions), now),
            retry: now,
            backoff: Span::ZERO,
            calls: SmallVec::new(),
        }
    }

    /// Gets the tokens that are expected of the `free` fractions not held here.
    pub fn expected(&mut self, now: Time, limit: Limit, free: u32) -> Tokens {
        self.expected.refill(now, limit, free, limit.capacity(free));
        self.expected.level
    }

    /// Returns `true` if the peer can be asked at `now`.
    pub fn is_ready(&self, now: Time) -> bool {
        self.calls.len() < MAX_CALLS && self.retry <= now
    }

    /// Returns `true` if the peer can be asked soon enough for a waiting request.
    pub fn is_soon_ready(&self, now: Time) -> bool {
        self.retry <= now + SOON_READY
    }

    /// Gets the tokens that are on their way if all goes well.
    pub fn pending_tokens(&self) -> Tokens {
        self.calls.iter().map(|call| call.tokens).sum()
    }

    /// Takes in that the peer was asked.
    pub fn record_call(&mut self, now: Time, id: CallId, tokens: Tokens) {
        self.expected.take(tokens);
        self.calls.push(PendingCall { id, tokens, sent: now });
    }

    /// Takes in that a call was answered. Returns `true` if it was open.
    pub fn close_call(&mut self, id: CallId) -> bool {
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return false };
        self.calls.remove(at);
        true
    }

    /// Takes in that the peer gave something and has `left` tokens.
    pub fn record_grant(&mut self, now: Time, left: Tokens) {
        // Calls that are still open will take their part.
        self.expected = Bucket::new(left.saturating_sub(self.pending_tokens()), now);
        self.backoff = Span::ZERO;
        self.retry = now;
    }

    /// Takes in that the peer had nothing, or does not use its fractions yet.
    pub fn record_empty(&mut self, now: Time) {
        self.back_off(now, EMPTY_BACKOFF, MAX_EMPTY_BACKOFF);
    }

    /// Takes in that the peer could not be asked.
    pub fn record_failure(&mut self, now: Time) {
        self.back_off(now, FAILED_BACKOFF, MAX_FAILED_BACKOFF);
    }

    /// Takes in that the peer recalls a loan, which may bring `recalled` fractions after `again`.
    pub fn record_recall(&mut self, now: Time, limit: Limit, recalled: u32, again: Span) {
        self.expected = Bucket::new(limit.capacity(recalled), now);
        self.retry = now + again;
    }

    /// Drops calls that were not answered in time; the peer then counts as failed.
    pub fn expire_calls(&mut self, now: Time) {
        let open = self.calls.len();
        self.calls.retain(|call| now < call.sent + CALL_TIMEOUT);
        if self.calls.len() < open {
            self.record_failure(now);
        }
    }

    fn back_off(&mut self, now: Time, first: Span, most: Span) {
        self.expected = Bucket::new(Tokens::ZERO, now);
        self.backoff = self.backoff.times(2).max(first).min(most);
        self.retry = now + self.backoff;
    }
}

/// Updates the list of peers to new owners; what is known of those that stay is kept.
pub fn update(
    peers: &mut Vec<Peer>,
    now: Time,
    limit: Limit,
    owners: impl Iterator<Item = FractionOwner>,
) {
    let mut updated = Vec::new();
    for owner in owners {
        match peers.iter().position(|peer| peer.vm == owner.vm) {
            Some(at) => {
                let mut peer = peers.swap_remove(at);
                peer.fractions = owner.fractions;
                updated.push(peer);
            }
            None => updated.push(Peer::new(now, limit, owner)),
        }
    }
    *peers = updated;
}
