//! The keys that the fleet uses in the store.

use oleander_membership::head::BodyHash;

/// The key of the configuration's head.
pub const HEAD: &str = "/oleander/config/head";

/// The key of the record of shares.
pub const SHARES: &str = "/oleander/shares";

/// The prefix of the VMs' registrations.
pub const VMS: &str = "/oleander/vms/";

/// The end, itself excluded, of the keys that agents watch. They begin at `HEAD`, so the watched
/// range holds the head, the shares and the registrations, but not the section bodies.
pub const WATCH_END: &str = "/oleander/vms0";

/// Gets the key of a section body.
pub fn body(hash: BodyHash) -> String {
    format!("/oleander/config/body/{hash}")
}

/// Gets the key of a VM's registration.
pub fn vm(name: &str) -> String {
    format!("{VMS}{name}")
}
