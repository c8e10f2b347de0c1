//! The interfaces between the product and what surrounds it: the store, the instances of the
//! databases, the directory of instances, the configuration and the promotion of primaries.
//!
//! Adapters fill them. Nothing here does I/O or knows a wire format.

pub mod directory;
pub mod promotion;
pub mod sources;
pub mod store;
pub mod upstream;
