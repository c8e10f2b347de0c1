//! The agent of a VM: membership, shares and configuration of the fleet, and the health of the
//! databases' instances.
//!
//! The decisions are those of `oleander-membership` and `oleander-failover`; this crate does
//! their I/O and hands views of the result to the VM's proxy.

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
