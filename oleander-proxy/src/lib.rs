//! The proxy of one VM: callers over HTTP, rate limits, homes of databases and their connections.
//!
//! A request enters at any proxy, which checks its key, route and rate. It is
//! forwarded to one of the database's two homes, which queues it, picks an
//! instance and runs it. The session token in the answer lets the caller go on
//! at any other proxy.

pub mod callers;
pub mod entry;
pub mod fleet;
pub mod home;
pub mod peers;
pub mod proxy;
pub mod running;
pub mod settings;
