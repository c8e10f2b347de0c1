//! The borrower's estimate of the tokens available at the other owners of a workspace.

use oleander_core::ids::VmId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::rates::actions::CallId;
use crate::rates::ownership::FractionOwner;
use crate::rates::tokens::Bucket;
use crate::rates::tokens::Limit;
use crate::rates::tokens::Tokens;

/// The initial backoff after an owner had no tokens; it doubles with each further empty answer.
const EMPTY_BACKOFF: Span = Span::from_millis(20);
/// The initial backoff after a call to an owner has failed.
const FAILED_BACKOFF: Span = Span::from_millis(200);
/// The maximum backoff for an owner without tokens: about the time in which a low rate yields one
/// token.
const MAX_EMPTY_BACKOFF: Span = Span::from_millis(160);
/// The time for which an owner that holds back its last tokens is asked only for the most urgent
/// requests.
const RESERVED_BACKOFF: Span = Span::from_millis(80);
/// The maximum backoff for an owner whose calls fail.
const MAX_FAILED_BACKOFF: Span = Span::from_millis(1_000);
/// The time after which an unanswered call counts as failed.
const CALL_TIMEOUT: Span = Span::from_millis(300);

/// The maximum number of concurrent calls to one owner.
const MAX_CALLS: usize = 4;
/// The remaining backoff up to which an owner still counts as available to a waiting request.
const SOON_READY: Span = Span::from_millis(30);

/// `Peer` is another VM that owns fractions of the workspace, with an estimate of its tokens.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The id of the VM.
    pub vm: VmId,
    /// The number of fractions the VM owns.
    pub fractions: u32,
    /// The estimated tokens at the peer; each call deducts those that it requests.
    expected: Bucket,
    /// The end of the backoff.
    retry_at: Time,
    /// The time until which only requests of the most urgent level call the peer.
    reserved_until: Time,
    /// The duration of the last backoff; zero after a grant.
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
    /// Creates a peer whose bucket is assumed to be full.
    pub fn new(now: Time, limit: Limit, owner: FractionOwner) -> Self {
        Self {
            vm: owner.vm,
            fractions: owner.fractions,
            expected: Bucket::new(limit.capacity(owner.fractions), now),
            retry_at: now,
            reserved_until: now,
            backoff: Span::ZERO,
            calls: SmallVec::new(),
        }
    }

    /// Returns the estimated tokens of the `unborrowed` fractions, which this VM has not borrowed.
    pub fn expected(&mut self, now: Time, limit: Limit, unborrowed: u32) -> Tokens {
        self.expected.refill(now, limit, unborrowed, limit.capacity(unborrowed));
        self.expected.level
    }

    /// Returns `true` if a call for requests of `level` may be sent to the peer at `now`.
    pub fn is_ready(&self, now: Time, level: Level) -> bool {
        self.calls.len() < MAX_CALLS && self.retry_at(level) <= now
    }

    /// Returns `true` if the peer's backoff ends soon enough for a waiting request of `level`.
    pub fn is_soon_ready(&self, now: Time, level: Level) -> bool {
        self.retry_at(level) <= now + SOON_READY
    }

    /// Returns the time from which the peer may be called for requests of `level`.
    fn retry_at(&self, level: Level) -> Time {
        if level == Level::FIRST { self.retry_at } else { self.retry_at.max(self.reserved_until) }
    }

    /// Returns the tokens requested in calls that are not yet answered.
    pub fn pending_tokens(&self) -> Tokens {
        self.calls.iter().map(|call| call.tokens).sum()
    }

    /// Records a call that requests `tokens`, which are deducted from the estimate.
    pub fn record_call(&mut self, now: Time, id: CallId, tokens: Tokens) {
        self.expected.take(tokens);
        self.calls.push(PendingCall { id, tokens, sent: now });
    }

    /// Records the answer to a call. Returns `true` if the call was open.
    pub fn close_call(&mut self, id: CallId) -> bool {
        let Some(index) = self.calls.iter().position(|call| call.id == id) else { return false };
        self.calls.remove(index);
        true
    }

    /// Records that the peer granted or lent tokens and has `left` tokens left, and clears the
    /// backoff.
    pub fn record_grant(&mut self, now: Time, left: Tokens) {
        // The peer has not answered the open calls yet and will deduct their tokens, too.
        self.expected = Bucket::new(left.saturating_sub(self.pending_tokens()), now);
        self.backoff = Span::ZERO;
        self.retry_at = now;
    }

    /// Records that the peer holds its last `left` tokens back for the most urgent level.
    pub fn record_reserved(&mut self, now: Time, left: Tokens) {
        self.record_grant(now, left);
        self.reserved_until = now + RESERVED_BACKOFF;
    }

    /// Records that the peer had no tokens or may not use its fractions yet.
    pub fn record_empty(&mut self, now: Time) {
        self.back_off(now, EMPTY_BACKOFF, MAX_EMPTY_BACKOFF);
    }

    /// Records that a call to the peer failed.
    pub fn record_failure(&mut self, now: Time) {
        self.back_off(now, FAILED_BACKOFF, MAX_FAILED_BACKOFF);
    }

    /// Records that the peer recalls a loan; up to `recalled` fractions may become available after
    /// `again`.
    pub fn record_recall(&mut self, now: Time, limit: Limit, recalled: u32, again: Span) {
        self.expected = Bucket::new(limit.capacity(recalled), now);
        self.retry_at = now + again;
    }

    /// Drops calls that have timed out; the peer then counts as failed.
    pub fn expire_calls(&mut self, now: Time) {
        let open = self.calls.len();
        self.calls.retain(|call| now < call.sent + CALL_TIMEOUT);
        if self.calls.len() < open {
            self.record_failure(now);
        }
    }

    fn back_off(&mut self, now: Time, initial: Span, max_backoff: Span) {
        self.expected = Bucket::new(Tokens::ZERO, now);
        self.backoff = self.backoff.times(2).max(initial).min(max_backoff);
        self.retry_at = now + self.backoff;
    }
}

/// Replaces the peers by the given owners, keeping the estimates of those that remain.
pub fn update(
    peers: &mut Vec<Peer>,
    now: Time,
    limit: Limit,
    owners: impl Iterator<Item = FractionOwner>,
) {
    let mut updated = Vec::new();
    for owner in owners {
        match peers.iter().position(|peer| peer.vm == owner.vm) {
            Some(index) => {
                let mut peer = peers.swap_remove(index);
                peer.fractions = owner.fractions;
                updated.push(peer);
            }
            None => updated.push(Peer::new(now, limit, owner)),
        }
    }
    *peers = updated;
}
