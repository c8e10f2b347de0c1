//! Membership of the fleet, ownership of shares, spread of the configuration and currency.

pub mod head;
pub mod messages;
pub mod roster;
pub mod shares;
