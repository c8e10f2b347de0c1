//! Access to shared limiter state while an account handles one event.

use std::collections::HashMap;

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::Ask;
use crate::messages::LimitRequest;
use crate::messages::LoanId;
use crate::rates::actions::Action;
use crate::rates::actions::Call;
use crate::rates::actions::CallId;
use crate::rates::actions::Ticket;
use crate::rates::ownership::Ownership;

/// `SharedState` is the state that the accounts of all workspaces share.
#[derive(Debug)]
pub struct SharedState {
    /// The owners of all shares.
    pub ownership: Ownership,
    /// The calls not yet answered.
    pub calls: HashMap<CallId, Call>,
    /// Identifies this process in loan ids, see `RateLimiter::new`.
    life: u64,
    /// The last serial number given to a call, loan or grant.
    serial: u64,
}

/// `Context` gives an account access to the shared state while it handles one event.
pub struct Context<'a> {
    /// The time of the event.
    pub now: Time,
    /// The owners of all shares.
    pub ownership: &'a Ownership,
    life: u64,
    serial: &'a mut u64,
    calls: &'a mut HashMap<CallId, Call>,
    out: &'a mut Vec<Action>,
}

impl SharedState {
    /// Creates the state of one process. `life` must differ from that of every earlier process on
    /// this VM.
    pub fn new(ownership: Ownership, life: u64) -> Self {
        Self { ownership, calls: HashMap::new(), life, serial: 0 }
    }

    /// Creates the context of an event at `now`, whose actions are appended to `out`.
    pub fn context<'a>(&'a mut self, now: Time, out: &'a mut Vec<Action>) -> Context<'a> {
        let Self { ownership, life, serial, calls } = self;
        Context { now, ownership, life: *life, serial, calls, out }
    }
}

impl Context<'_> {
    /// Sends a request to another VM and records the open call.
    pub fn send(&mut self, to: VmId, workspace: WorkspaceId, ask: Ask) -> CallId {
        *self.serial += 1;
        let id = CallId(*self.serial);
        self.calls.insert(id, Call { id, to, workspace, sent: self.now, ask: ask.clone() });
        self.out.push(Action::Send { to, call: id, request: LimitRequest { workspace, ask } });
        id
    }

    /// Admits a waiting request.
    pub fn admit(&mut self, ticket: Ticket) {
        self.out.push(Action::Admit(ticket));
    }

    /// Refuses a waiting request.
    pub fn refuse(&mut self, ticket: Ticket, retry_after: Span) {
        self.out.push(Action::Refuse { ticket, retry_after });
    }

    /// Returns an unused id for a loan or grant.
    pub fn next_loan(&mut self) -> LoanId {
        *self.serial += 1;
        LoanId { life: self.life, serial: *self.serial }
    }
}
