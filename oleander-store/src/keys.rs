//! The keys under which the fleet keeps its state in the store.

use oleander_membership::head::BodyHash;

/// The key of the configuration head.
pub const HEAD: &str = "/oleander/config/head";

/// The key of the share record.
pub const SHARES: &str = "/oleander/shares";

/// The prefix of the keys of VM registrations.
pub const VMS: &str = "/oleander/vms/";

/// The exclusive end of the key range that agents watch. The range starts at `HEAD`, so it contains
/// the configuration head, the share record and the registrations (`0` follows `/` in ASCII), but
/// not the section bodies.
pub const WATCH_END: &str = "/oleander/vms0";

/// Returns the key of the section body with this hash.
pub fn body(hash: BodyHash) -> String {
    format!("/oleander/config/body/{hash}")
}

/// Returns the key of the registration of the VM with this name.
pub fn vm(name: &str) -> String {
    format!("{VMS}{name}")
}
