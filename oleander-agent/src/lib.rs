//! The agent of a VM, which maintains the fleet's membership, shares and configuration and monitors
//! the database instances.
//!
//! The state machines are in `oleander-membership` and `oleander-failover`. This crate does their
//! I/O and streams views of the result to the VM's proxy.

pub mod agent;
pub mod errors;
pub mod settings;
mod actions;
mod check;
mod failover;
mod lock;
mod observer;
mod platform;
mod server;
mod shared;
mod status;
mod views;
