//! The operators' configuration: document, check, sections and the compiled snapshot.
//!
//! A document has the sections `workspaces`, `rates`, `upstreams` and `routes`,
//! which different teams edit and which are checked together.

pub mod model;
pub mod snapshot;
