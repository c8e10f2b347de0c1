//! Rate limits enforced across all VMs.
//!
//! A workspace's rate and burst are divided into a fixed number of fractions. Each fraction belongs
//! to a share, which is chosen by a hash of the workspace, and the VM that holds the share owns the
//! fraction. An owner lends whole fractions to a VM with sustained demand and grants single tokens
//! to others. A VM asks for tokens for its waiting requests (the need) and for expected ones (the
//! stock). The owner recalls loans when other VMs need their tokens, and otherwise probes whether
//! the borrower still needs them. The tokens that all VMs together may still spend never exceed the
//! burst and grow at most at the rate, so the cost admitted in any time window is at most
//! burst + rate × window.

pub mod account;
pub mod actions;
mod asking;
pub mod borrower;
pub mod context;
pub mod demand;
mod lending;
pub mod limiter;
pub mod owner;
pub mod overflow;
pub mod ownership;
pub mod peers;
pub mod plan;
pub mod tokens;
pub mod waiting;
