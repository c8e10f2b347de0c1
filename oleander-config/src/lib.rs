//! The operators' configuration: document, check, sections and the compiled snapshot.
//!
//! A document has the sections `workspaces`, `rates`, `upstreams` and `routes`,
//! which different teams edit and which are checked together.

pub mod diff;
pub mod edit;
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
