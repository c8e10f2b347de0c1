//! Stand-ins for the platform's store, its list of VMs and its database groups.
//!
//! They are in-memory fakes of the services' network interfaces for tests, experiments and the
//! demo. Each listens on a free port of 127.0.0.1 and can inject the faults that the real services
//! have.

pub mod admin;
pub mod relay;
pub mod group;
pub mod http;
pub mod platform;
pub mod replicas;
pub mod store;
pub mod vms;
