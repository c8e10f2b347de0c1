//! Rate limits over the whole fleet.
//!
//! A workspace's rate and burst are cut into a fixed number of fractions. Each
//! fraction belongs to the owner of a share derived from the workspace. An
//! owner lends whole fractions to a VM with lasting demand, and single tokens
//! to the others. At any time the tokens that all VMs together may still use
//! are at most the burst, and they grow by at most the rate, so that the
//! admitted cost in any window is at most burst + rate × window.

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
