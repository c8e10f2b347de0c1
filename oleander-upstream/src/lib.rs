//! Access to upstream databases over the PostgreSQL wire protocol: connections, connection pools
//! and the administration of the instances of a database group.

pub mod connection;
pub mod contract;
pub mod errors;
pub mod group;
pub mod guard;
pub mod pool;
mod queries;
pub mod values;
