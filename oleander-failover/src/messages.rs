//! Messages between agents about instances.

use oleander_core::ids::InstanceId;
use oleander_core::terms::Term;
use serde::Deserialize;
use serde::Serialize;

/// `FailoverRequest` is what one agent asks another about an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum FailoverRequest {
    /// Asks for a second opinion: the receiver pings the instance once.
    Opinion {
        /// The instance that does not answer the asker.
        instance: InstanceId,
    },
    /// Tells that a promotion has finished.
    Promoted {
        /// The new primary.
        instance: InstanceId,
        /// The new term.
        term: Term,
    },
}

/// `FailoverReply` is the answer to a `FailoverRequest`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum FailoverReply {
    /// The instance answered the receiver.
    Reachable,
    /// The instance did not answer the receiver.
    Unreachable,
    /// The receiver cannot tell, for it does not know the instance.
    Unknown,
    /// The news was taken in.
    Noted,
}
