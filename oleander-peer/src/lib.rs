//! The protocol between the processes of the fleet: HTTP/2 streams that carry `bincode` frames.
//!
//! A stream carries one request frame and one or more reply frames. Frames are
//! versioned and limited in size; an invalid frame ends its stream with a typed
//! error. A caller that drops its call resets the stream, which cancels the
//! work at the peer.

pub mod client;
pub mod codec;
pub mod connection;
pub mod errors;
pub mod messages;
pub mod server;
pub mod traffic;
