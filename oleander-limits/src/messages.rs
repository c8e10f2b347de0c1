//! Messages between the proxies about rate limits.

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The token grants that one message settles without allocation.
const INLINE_SETTLED: usize = 4;

/// `LoanId` names a loan of fractions by one life of its owner.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct LoanId {
    /// The life of the owner's limiter.
    pub life: u64,
    /// The serial number in that life.
    pub serial: u64,
}

/// `LimitRequest` is what one VM asks another about a workspace's rate.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// What is asked.
    pub ask: Ask,
}

/// `Ask` is the kind of a `LimitRequest`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Asks an owner for tokens, or for whole fractions if the demand is large and lasting.
    Borrow {
        /// The tokens that waiting requests need.
        need: Tokens,
        /// The tokens that are wanted beside, for requests to come, if the owner has plenty.
        stock: Tokens,
        /// The tokens a second that the sender's callers ask for.
        demand: Tokens,
        /// Earlier grants that the sender has finished with.
        settled: SmallVec<[Settled; INLINE_SETTLED]>,
    },
    /// Tells an owner which grants the sender has finished with.
    Settle {
        /// The grants.
        settled: SmallVec<[Settled; INLINE_SETTLED]>,
    },
    /// Asks an owner to extend a loan.
    Renew {
        /// The loan.
        loan: LoanId,
        /// The tokens a second that the sender's callers ask for.
        demand: Tokens,
    },
    /// Gives a loan back to its owner; the sender no longer uses it.
    Return(Returned),
    /// Asks a borrower to give a loan back.
    Recall {
        /// The loan.
        loan: LoanId,
    },
    /// Asks a borrower to give a loan back unless its own callers ask for more than others.
    Probe {
        /// The loan.
        loan: LoanId,
        /// The tokens a second that callers of another VM ask for.
        demand: Tokens,
    },
}

/// `Settled` says that a grant of tokens is no longer used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Settled {
    /// The grant.
    pub grant: LoanId,
    /// The tokens of the grant that were not used.
    pub unused: Tokens,
    /// The time since the last of the others was used.
    pub age: Span,
}

/// `Returned` is a loan on its way back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Returned {
    /// The loan.
    pub loan: LoanId,
    /// The tokens left in the bucket.
    pub level: Tokens,
    /// The time for which the borrower refilled the bucket.
    pub held: Span,
    /// The least room that the bucket had below its capacity in that time.
    pub headroom: Tokens,
    /// The tokens a second that the borrower's callers still ask for.
    pub demand: Tokens,
}

/// `LimitReply` is the answer to a `LimitRequest`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LimitReply {
    /// The answer to `Ask::Borrow`.
    Lent {
        /// Single tokens for waiting requests.
        grant: Option<Grant>,
        /// Whole fractions.
        loan: Option<Loan>,
        /// The tokens left at the owner.
        left: Tokens,
        /// The fractions that the owner has lent to other VMs.
        lent: u32,
        /// The time after which asking again may bring more, since a loan is being recalled.
        again: Option<Span>,
    },
    /// The loan is extended by the full hold, counted from the sending of the request.
    Renewed,
    /// The owner does not know the loan; it must not be used any more.
    Ended,
    /// The answer to `Ask::Return` and `Ask::Settle`.
    Accepted,
    /// The answer to `Ask::Recall` and `Ask::Probe`: the loan, or `None` if it is not given back.
    Recalled(Option<Returned>),
    /// The receiver owns no usable fraction of the workspace.
    NotOwner,
}

/// `Grant` is a number of tokens for the requests that wait now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The name of the grant.
    pub id: LoanId,
    /// The tokens.
    pub amount: Tokens,
}

/// `Loan` is a number of whole fractions with their level.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The name of the loan.
    pub id: LoanId,
    /// The number of fractions.
    pub fractions: u32,
    /// The tokens in them.
    pub level: Tokens,
}
