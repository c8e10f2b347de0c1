//! The protocol between the fleet's own processes: `h2` streams that carry `bincode` frames.
//!
//! A stream carries one request frame and one or more reply frames. Frames are
//! versioned and bounded; a bad frame ends its stream with a typed error. A
//! caller that drops its call resets the stream, which cancels the work.

pub mod client;
pub mod codec;
pub mod connection;
pub mod errors;
pub mod messages;
pub mod server;
