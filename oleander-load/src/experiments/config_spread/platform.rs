//! The fake store of the experiment.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::head::Head;
use oleander_membership::shares::ShareMap;

/// The time of a call to the store beside the way there and back.
pub(super) const STORE_TIME: Span = Span::from_millis(3);

/// `Platform` is the fake store.
pub(super) struct Platform {
    pub(super) up: bool,
    pub(super) head: Head,
    pub(super) texts: Vec<String>,
    pub(super) shares: ShareMap,
    pub(super) stored: u64,
    pub(super) published: Time,
    pub(super) edits: u64,
}
