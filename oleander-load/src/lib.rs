//! Load generation, experiments, history checks and measures for oleanderrudder.

pub mod capacity;
pub mod cluster;
pub mod drive;
pub mod experiments;
pub mod history;
pub mod measures;
pub mod plots;
pub mod report;
pub mod runs;
