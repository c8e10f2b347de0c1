//! The operators' command line: check and publish sections, grant keys, look at VMs and drain them.

pub mod arguments;
pub mod catalogue;
pub mod changes;
pub mod commands;
pub mod errors;
pub mod files;
pub mod fleet;
pub mod output;
