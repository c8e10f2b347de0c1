//! Stand-ins for database groups: instances that speak the PostgreSQL wire protocol and replicate a
//! log with terms and positions.

pub mod instance;
pub mod log;
pub mod replication;
pub mod server;
pub mod session;
mod shared;
pub mod sql;
pub mod values;

pub use server::Group;
pub use shared::GroupOptions;
