//! An open-loop load generator over HTTP, driven by a seeded plan.

pub mod client;
pub mod plan;
pub mod run;
