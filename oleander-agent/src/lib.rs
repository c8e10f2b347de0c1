//! `oleander-agent`.
