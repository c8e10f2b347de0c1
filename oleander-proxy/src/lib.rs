//! `oleander-proxy`.
