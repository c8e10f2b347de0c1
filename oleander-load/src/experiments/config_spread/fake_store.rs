//! The fake store of the experiment.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::head::Head;
use oleander_membership::shares::ShareMap;

/// The time of a call to the store, without the network delay in both directions.
pub(super) const STORE_CALL_TIME: Span = Span::from_millis(3);

/// `FakeStore` is the state of the fake store.
pub(super) struct FakeStore {
    pub(super) up: bool,
    pub(super) head: Head,
    pub(super) bodies: Vec<String>,
    pub(super) shares: ShareMap,
    pub(super) shares_revision: u64,
    pub(super) published: Time,
    pub(super) edits: u64,
}
