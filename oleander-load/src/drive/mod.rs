//! Open-loop load over HTTP from a seeded plan.

pub mod client;
pub mod plan;
pub mod run;
