//! Promotion of primaries where the platform arbitrates between promoters.

use async_trait::async_trait;

/// `PromotionOrder` asks the platform to make an instance the primary of its database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromotionOrder {
    /// The name of the database.
    pub database: String,
    /// The instance that takes over.
    pub instance: String,
    /// The VM that holds the duty.
    pub holder: String,
    /// The fencing token; it grows with each order and is used for one instance only.
    pub token: u64,
}

/// `PromotionOutcome` is what came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PromotionOutcome {
    /// The platform accepted the order; the instance leads shortly.
    Accepted,
    /// A higher token has been seen, or the instance is not running; the token must not be used
    /// again.
    Rejected,
    /// The platform executed nothing; the same order may be sent again.
    NotRun,
    /// No answer came; the order may be executed later, unless a higher token is seen first.
    Unknown,
}

/// `Promotions` sends promotion orders to the platform.
#[async_trait]
pub trait Promotions: Send + Sync {
    /// Sends one order.
    async fn promote(&self, order: &PromotionOrder) -> PromotionOutcome;
}
