//! What the limiter tells its caller: decisions, and what to do.

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::Ask;
use crate::messages::LimitRequest;

/// `Ticket` names one request at the limiter; the caller chooses it and never uses it twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// `CallId` names one request to another VM until its answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// `Decision` is the answer to a request for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request may run; its tokens are spent.
    Admit,
    /// An `Action::Admit` or `Action::Refuse` follows within a bounded time.
    Wait,
    /// The workspace is over its rate.
    Refuse {
        /// The time after which the tokens would be there if nobody else took them.
        retry_after: Span,
    },
}

/// `Action` is what the caller does for the limiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends a request and hands its answer, or `None` if there is none, to `RateLimiter::handle_reply`.
    Send {
        /// The receiver.
        to: VmId,
        /// The name under which the answer is handed in.
        call: CallId,
        /// The request.
        request: LimitRequest,
    },
    /// Lets a waiting request run.
    Admit(Ticket),
    /// Refuses a waiting request.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The time after which the caller should come back.
        retry_after: Span,
    },
}

/// `Call` is an open request to another VM.
#[derive(Clone, Debug)]
pub struct Call {
    /// The name.
    pub id: CallId,
    /// The receiver.
    pub to: VmId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The time of sending, from which holds are counted.
    pub sent: Time,
    /// What was asked.
    pub ask: Ask,
}
