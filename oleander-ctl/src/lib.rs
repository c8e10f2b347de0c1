//! The commands of `oleanderctl`, the operators' tool: they check and publish configuration
//! sections, grant and withdraw keys, show the state of VMs and drain them.

pub mod arguments;
pub mod catalogue;
pub mod changes;
pub mod commands;
pub mod errors;
pub mod files;
pub mod fleet;
pub mod output;
