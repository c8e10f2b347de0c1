//! Messages between the proxies about rate limits.

use oleander_core::ids::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// `LimitRequest` is what a borrower asks the owner of a rate share.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LimitRequest {
    /// Asks for single tokens for a waiting request.
    Tokens {
        /// The workspace.
        workspace: WorkspaceId,
        /// The number of tokens.
        count: u32,
    },
}

/// `LimitReply` is the owner's answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LimitReply {
    /// The tokens granted; may be fewer than asked for.
    Tokens {
        /// The number of tokens granted.
        count: u32,
    },
    /// The VM does not own the share.
    NotOwner,
}
