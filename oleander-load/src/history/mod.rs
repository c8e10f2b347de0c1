//! Recorded calls and the checks that prove from them what must always hold.

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
