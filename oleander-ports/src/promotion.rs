//! Promotion of primaries by the platform, which uses fencing tokens to reject outdated orders.

use async_trait::async_trait;

/// `PromotionOrder` asks the platform to make an instance the primary of its database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromotionOrder {
    /// The name of the database.
    pub database: String,
    /// The identifier of the instance to promote.
    pub instance: String,
    /// The name of the VM that is the keeper of the database.
    pub holder: String,
    /// The fencing token. Each order has a higher token than the one before, and a token is never
    /// used for a second instance.
    pub token: u64,
}

/// `PromotionOutcome` is the result of a promotion order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PromotionOutcome {
    /// The platform accepted the order; the instance becomes the primary shortly.
    Accepted,
    /// The platform has seen a higher token, or the instance is not running. The token must not be
    /// used again.
    Rejected,
    /// The platform did not execute the order; the same order may be sent again.
    NotRun,
    /// No answer arrived. The order may still be executed later, unless the platform sees a higher
    /// token first.
    Unknown,
}

/// `Promotions` is the client for the platform's promotion service.
#[async_trait]
pub trait Promotions: Send + Sync {
    /// Sends one order and waits for its outcome.
    async fn promote(&self, order: &PromotionOrder) -> PromotionOutcome;
}
