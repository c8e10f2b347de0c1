//! Fleet membership, share ownership and configuration distribution.
//!
//! A share is one of a fixed number of partitions that are divided among the VMs and have at most
//! one user at a time. A VM is current while its view of the store is recent enough to act on.
//!
//! `leased` derives membership from leased keys in the store, as `oleander-node` uses it. `node` is
//! the state machine of `oleander-agent`, whose VMs register in the store and spread changes by
//! gossip.

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
