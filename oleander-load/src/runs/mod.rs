//! Runs of a whole fleet under load in this process.

pub mod demo;
pub mod drain;
pub mod faults;
pub mod live;
pub mod measure;
