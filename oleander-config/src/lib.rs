//! The operators' configuration: parsing, validation, editing and the compiled snapshot.
//!
//! A document has the sections `workspaces`, `rates`, `upstreams` and `routes`. Different teams
//! edit them separately; they are validated together.

pub mod diff;
pub mod edit;
pub mod evacuation;
pub mod keys;
pub mod model;
pub mod problems;
pub mod sections;
pub mod snapshot;

mod check;
mod fields;
mod names;
mod nodes;
mod parse;
