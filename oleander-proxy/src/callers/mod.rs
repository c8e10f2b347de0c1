//! Callers over HTTP: request forms, answers and status codes.

pub mod body;
pub mod http;
pub mod status;
