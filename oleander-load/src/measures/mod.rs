//! The four measures of a recorded run.
//!
//! These are the share of reads served by replicas, the failover gap, the share of timely weight of
//! the worst-served workspace, and the share of calls refused within their workspace's rate.

pub mod figures;
pub mod gap;
pub mod ideal;
pub mod summary;
