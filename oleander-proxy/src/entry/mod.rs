//! The entry duty: checks a caller's request and sends it to a home.

pub mod call;
pub mod forward;
pub mod handle;
pub mod waits;
