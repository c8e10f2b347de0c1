//! Identifiers exchanged between processes.
//!
//! The identifier of a named object is the stable hash of its name, so that all VMs agree on it
//! without communication. The configuration check rejects two names with the same identifier.

use serde::Deserialize;
use serde::Serialize;

use crate::hash;

macro_rules! named_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// Derives the identifier from a name.
            pub fn from_name(name: &str) -> Self {
                Self(hash::stable_hash(name.as_bytes()))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

named_id! {
    /// `VmId` is the identifier of a VM, derived from its name.
    VmId
}
named_id! {
    /// `WorkspaceId` is the identifier of a workspace, derived from its name.
    WorkspaceId
}
named_id! {
    /// `DatabaseId` is the identifier of an upstream database, derived from its name.
    DatabaseId
}

named_id! {
    /// `InstanceKey` is the identifier of an instance in the directory, derived from its name
    /// there.
    InstanceKey
}

/// `InstanceId` identifies an instance by its database and its index in the `instances` list.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct InstanceId {
    /// The database that the instance belongs to.
    pub database: DatabaseId,
    /// The zero-based index in the database's list of instances.
    pub ordinal: u8,
}

/// `Incarnation` tells successive runs of a process on a VM apart. That of an agent is the store
/// revision of its registration, so that a later one is higher.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// `ShareId` is the number of a share. A fleet has a fixed number of shares, each owned by a VM.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ShareId(pub u16);

/// `Revision` is the number of an accepted configuration; each edit increments it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// `ChangeId` identifies a change to the configuration. The operator tool chooses it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ChangeId(pub u64);

/// `RequestId` identifies a caller's request. It is unique within one run of the entry VM's
/// process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestId {
    /// The VM that received the request from the caller.
    pub entry: VmId,
    /// The serial number of the request on that VM.
    pub serial: u64,
}

/// `TransactionId` identifies an open transaction and the home that holds its connection.
///
/// The text form is `HOME-INCARNATION-SERIAL`, each part in hexadecimal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TransactionId {
    /// The VM that holds the transaction's connection.
    pub home: VmId,
    /// The incarnation of that VM's proxy.
    pub incarnation: Incarnation,
    /// The unpredictable number of the transaction within that incarnation.
    pub serial: u64,
}

impl std::fmt::Display for TransactionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}-{:x}-{:x}", self.home.0, self.incarnation.0, self.serial)
    }
}

impl std::str::FromStr for TransactionId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts =
            text.splitn(3, '-').map(|part| u64::from_str_radix(part, 16).map_err(|_| ParseIdError));
        let mut next = || parts.next().unwrap_or(Err(ParseIdError));
        Ok(Self { home: VmId(next()?), incarnation: Incarnation(next()?), serial: next()? })
    }
}

/// `ParseIdError` is the error for a text that is not an identifier of the expected form.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseIdError;

impl std::fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("core: malformed identifier")
    }
}
