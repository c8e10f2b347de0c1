//! `oleander-load`.
