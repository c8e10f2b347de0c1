//! A fleet in one process: stand-ins, agents and proxies on the loopback address.

pub mod profile;
