//! The proxy of one VM: the HTTP server for callers, the rate limits and the homes of databases.
//!
//! A caller sends a request to any proxy, the entry, which checks its key, route and rate limit.
//! The entry forwards it to one of the database's two homes: VMs that queue the requests to a
//! database, select an instance for each and run them. The answer carries a session token, with
//! which the caller can continue at any other proxy.

pub mod callers;
pub mod entry;
pub mod fleet;
pub mod home;
pub mod peers;
pub mod proxy;
pub mod running;
pub mod settings;
