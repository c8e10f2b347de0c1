//! Messages about rate limits between the proxies.

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The number of settled grants stored inline without heap allocation.
const INLINE_SETTLED: usize = 4;

/// `LoanId` identifies a loan or grant across restarts of its owner.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct LoanId {
    /// Identifies the process of the owner that issued the loan (see `RateLimiter::new`).
    pub life: u64,
    /// A serial number within that process.
    pub serial: u64,
}

/// `LimitRequest` is a request from one VM to another about a workspace's rate.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The workspace concerned.
    pub workspace: WorkspaceId,
    /// The operation requested.
    pub ask: Ask,
}

/// `Ask` is the operation of a `LimitRequest`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Asks an owner for tokens, or for whole fractions if the demand is large and sustained.
    Borrow {
        /// The tokens needed by waiting requests.
        need: Tokens,
        /// The part of `need` for requests of the most urgent level.
        urgent: Tokens,
        /// Additional tokens for future requests, granted only if the owner has a surplus.
        stock: Tokens,
        /// The demand of the sender's callers in tokens per second.
        demand: Tokens,
        /// Earlier grants the sender has finished with.
        settled: SmallVec<[Settled; INLINE_SETTLED]>,
    },
    /// Reports to an owner which grants the sender has finished with.
    Settle {
        /// The grants finished with.
        settled: SmallVec<[Settled; INLINE_SETTLED]>,
    },
    /// Asks an owner to extend a loan.
    Renew {
        /// The id of the loan.
        loan: LoanId,
        /// The demand of the sender's callers in tokens per second.
        demand: Tokens,
    },
    /// Returns a loan to its owner; the sender no longer uses it.
    Return(Returned),
    /// Asks a borrower to return a loan.
    Recall {
        /// The id of the loan.
        loan: LoanId,
    },
    /// Asks a borrower to return a loan unless its own demand is higher than `demand`.
    Probe {
        /// The id of the loan.
        loan: LoanId,
        /// The demand of another VM's callers in tokens per second.
        demand: Tokens,
    },
}

/// `Settled` reports that a borrower no longer uses a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Settled {
    /// The id of the grant.
    pub grant: LoanId,
    /// The tokens of the grant that were not spent.
    pub unused: Tokens,
    /// The time since the borrower spent the last token of the grant or stopped using it.
    pub age: Span,
}

/// `Returned` is a loan that a borrower returns to its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Returned {
    /// The id of the loan.
    pub loan: LoanId,
    /// The tokens left in the loan's bucket.
    pub level: Tokens,
    /// The time for which the borrower added refill to the bucket.
    pub held: Span,
    /// The minimum difference between the bucket's capacity and its level during that time.
    pub headroom: Tokens,
    /// The remaining demand of the borrower's callers in tokens per second.
    pub demand: Tokens,
}

/// `LimitReply` is the reply to a `LimitRequest`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LimitReply {
    /// The reply to `Ask::Borrow`.
    Lent {
        /// The granted tokens, or `None` if there were none to grant.
        grant: Option<Grant>,
        /// The lent fractions, or `None` if none were lent.
        loan: Option<Loan>,
        /// The tokens left at the owner.
        left: Tokens,
        /// The number of fractions lent to VMs other than the sender.
        lent: u32,
        /// The time after which a further request may yield more because loans are being recalled,
        /// or `None` if none are.
        again: Option<Span>,
    },
    /// The loan is extended by `LOAN_HOLD`, counted from sending the request.
    Renewed,
    /// The owner does not know the loan or lost its fractions; the loan must not be used any more.
    Ended,
    /// The reply to `Ask::Return` and `Ask::Settle`.
    Accepted,
    /// The reply to `Ask::Recall` and `Ask::Probe`: the returned loan, or `None` if it is not
    /// returned.
    Recalled(Option<Returned>),
    /// The receiver owns no usable fraction of the workspace.
    NotOwner,
}

/// `Grant` is a number of tokens that the borrower may spend within `GRANT_HOLD`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The id of the grant.
    pub id: LoanId,
    /// The number of tokens.
    pub amount: Tokens,
}

/// `Loan` is a number of whole fractions and the tokens in them, usable within `LOAN_HOLD`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The id of the loan.
    pub id: LoanId,
    /// The number of fractions.
    pub fractions: u32,
    /// The tokens in the fractions when lent.
    pub level: Tokens,
}
