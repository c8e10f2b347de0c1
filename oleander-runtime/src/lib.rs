//! `oleander-runtime`.
