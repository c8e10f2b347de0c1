//! The interfaces between the proxy and its platform: the key-value store, the database instances
//! and their directory, the configuration and the promotion of primaries.
//!
//! Adapters implement them. This crate does no I/O and contains no wire format.

pub mod directory;
pub mod promotion;
pub mod sources;
pub mod store;
pub mod upstream;
