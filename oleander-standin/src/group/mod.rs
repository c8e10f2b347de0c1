//! Stand-ins for database groups: instances on the PostgreSQL wire with terms, positions and replication.

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
