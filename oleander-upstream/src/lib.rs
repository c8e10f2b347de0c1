//! The shell towards upstreams: connections, pools and the group adapter over the PostgreSQL wire protocol.

pub mod contract;
