//! Membership of the fleet, ownership of shares, spread of the configuration and currency.

pub mod acks;
pub mod active_config;
pub mod claims;
pub mod currency;
pub mod head;
pub mod leased;
pub mod liveness;
pub mod member;
pub mod messages;
pub mod node;
pub mod patch;
pub mod plan;
pub mod roster;
pub mod shares;
