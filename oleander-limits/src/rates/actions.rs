//! The limiter's decisions, and the actions it asks its caller to perform.

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::Ask;
use crate::messages::LimitRequest;

/// `Ticket` identifies one request at the limiter. The caller chooses it and never reuses it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// `CallId` identifies one call to another VM until it is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// `Decision` is the answer to a request for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request may run; its tokens are spent.
    Admit,
    /// The request waits; an `Action::Admit` or `Action::Refuse` follows within a bounded time.
    Wait,
    /// The workspace exceeds its rate.
    Refuse {
        /// The time after which enough tokens would be available if no other request took them.
        retry_after: Span,
    },
}

/// `Action` is an operation that the caller performs on behalf of the limiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends a request and passes the reply to `RateLimiter::handle_reply`, or `None` if there is
    /// none.
    Send {
        /// The VM to send to.
        to: VmId,
        /// The id to pass with the reply.
        call: CallId,
        /// The request.
        request: LimitRequest,
    },
    /// Runs a waiting request; its tokens are spent.
    Admit(Ticket),
    /// Refuses a waiting request.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The time after which the client should retry.
        retry_after: Span,
    },
}

/// `Call` is a request to another VM that has not been answered.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id of the call.
    pub id: CallId,
    /// The VM called.
    pub to: VmId,
    /// The workspace concerned.
    pub workspace: WorkspaceId,
    /// The time of sending, from which the borrower counts `LOAN_HOLD` and `GRANT_HOLD`.
    pub sent: Time,
    /// The request sent.
    pub ask: Ask,
}
