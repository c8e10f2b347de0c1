//! The entry duty: checks a caller's request and forwards it to a home of its database.

pub mod call;
pub mod forward;
pub mod handle;
pub mod waits;
