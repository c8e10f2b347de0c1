//! Recorded histories of runs, and checks that they break no guarantee of the proxy.

mod ages;
mod answers;
mod index;
mod rates;
mod sessions;
mod writes;

pub mod check;
pub mod lines;
pub mod record;
pub mod violations;
