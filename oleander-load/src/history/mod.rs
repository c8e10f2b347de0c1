//! Recorded calls and the checks that prove from them what must always hold.

pub mod record;
