//! The HTTP API for callers: request and response bodies, the server and status codes.

pub mod body;
pub mod http;
pub mod status;
