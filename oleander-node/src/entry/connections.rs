//! How many connections of callers a VM accepts.

use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

/// The part of the file descriptors that callers may not take: the VM needs them for the store, other VMs
/// and instances. Without them it would lose its lease and serve nobody.
const RESERVED_DIVISOR: usize = 4;

/// The number of further connections that are told of the refusal at a time; more are closed at once.
const MAX_REFUSALS: usize = 64;

/// The `retry_after` of a refused connection: other VMs may have room now.
const RETRY_AFTER: Span = Span::from_millis(500);

/// `ConnectionLimit` is the maximum number of open connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimit(usize);

/// `Admission` is what becomes of a new connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It is served.
    Serve,
    /// It is told of the refusal and closed.
    Refuse(Refusal),
    /// It is closed at once.
    Close,
}

impl ConnectionLimit {
    /// Returns the limit for a process that may open `descriptors`; 0 if the settings do not tell, which
    /// sets no limit.
    pub fn new(descriptors: usize) -> Self {
        Self(match descriptors {
            0 => usize::MAX,
            count => count - count / RESERVED_DIVISOR,
        })
    }

    /// Decides on a connection beside which `open` others are open.
    pub fn admit(self, open: usize) -> Admission {
        if open < self.0 {
            return Admission::Serve;
        }
        if MAX_REFUSALS <= open - self.0 {
            return Admission::Close;
        }
        let detail = "this VM serves as many callers as it may";
        let refusal = Refusal::not_run(RefusalCode::QueueFull, detail);
        Admission::Refuse(refusal.with_retry_after(RETRY_AFTER))
    }
}
