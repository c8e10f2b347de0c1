//! The entry of callers' sessions: admission, routing and the state of each session.

pub mod forward;
pub mod records;
pub mod route;
pub mod session;
pub mod shed;
pub mod start;
