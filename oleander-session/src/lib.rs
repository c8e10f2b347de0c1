//! Session tokens: what a caller's session has seen of each database.
//!
//! The token travels with the caller, so any VM can continue a session and no
//! VM keeps session state.

pub mod token;
