//! Where the configuration and the directory stand in the store, and how they are decoded.

use oleander_config::snapshot::Snapshot;

use crate::directory::DirectoryEntry;

/// `Sources` names the keys that others write and the functions that decode their values.
#[derive(Clone, Copy, Debug)]
pub struct Sources {
    /// The key of the configuration.
    pub configuration_key: &'static str,
    /// The prefix of the directory's keys.
    pub directory_prefix: &'static str,
    /// The prefix of the keys that the product itself writes.
    pub own_prefix: &'static str,
    /// Decodes a configuration. Errors name what is wrong.
    pub decode_configuration: fn(&[u8]) -> Result<Snapshot, String>,
    /// Decodes an entry of the directory from its key and value. Errors name what is wrong; such
    /// an entry names no instance.
    pub decode_entry: fn(&str, &[u8]) -> Result<DirectoryEntry, String>,
}
