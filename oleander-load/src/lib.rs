//! Load, experiments, history checks and measures for oleanderrudder.

pub mod experiments;
pub mod history;
pub mod report;
