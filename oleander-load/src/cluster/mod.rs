//! A fleet in one process: stand-ins of the platform, agents and proxies on the loopback address.

pub mod errors;
pub mod fleet;
pub mod node;
pub mod profile;
