//! The shell towards upstreams: connections, pools and the group adapter over the PostgreSQL wire protocol.

pub mod connection;
pub mod contract;
pub mod errors;
pub mod group;
pub mod guard;
pub mod pool;
mod queries;
pub mod values;
