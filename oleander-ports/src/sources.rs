//! The keys of the configuration and the directory in the store, and the decoders of their values.

use oleander_config::snapshot::Snapshot;

use crate::directory::DirectoryEntry;

/// `Sources` holds the store keys that the platform and the instances write, with the functions
/// that decode their values, and the prefix of the proxy's own keys.
#[derive(Clone, Copy, Debug)]
pub struct Sources {
    /// The key of the configuration.
    pub configuration_key: &'static str,
    /// The prefix of the keys under which instances register.
    pub directory_prefix: &'static str,
    /// The prefix of the keys under which operators request the evacuation of an availability zone;
    /// the name of the zone follows.
    pub evacuation_prefix: &'static str,
    /// The prefix of the keys that the proxy itself writes.
    pub own_prefix: &'static str,
    /// Decodes a configuration. The error describes what is wrong.
    pub decode_configuration: fn(&[u8]) -> Result<Snapshot, String>,
    /// Decodes a directory entry from its key and value. The error describes what is wrong; an
    /// entry that cannot be decoded is treated as if the instance were absent.
    pub decode_entry: fn(&str, &[u8]) -> Result<DirectoryEntry, String>,
}
