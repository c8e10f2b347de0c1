//! Runs of a whole fleet under load on this machine.

pub mod demo;
pub mod drain;
pub mod faults;
pub mod live;
pub mod measure;
