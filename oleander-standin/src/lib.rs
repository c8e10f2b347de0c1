//! `oleander-standin`.
