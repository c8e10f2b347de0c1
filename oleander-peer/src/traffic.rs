//! The messages and bytes that a process exchanges with its peers, by kind of request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use strum::Display;

use crate::messages::Request;

/// `Traffic` counts the frames of a process's calls. Clones share their counters.
///
/// Bytes are those of whole frames, without what HTTP/2 and TCP add.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counters: Arc<Mutex<Counters>>,
}

type Counters = BTreeMap<(&'static str, Side), Count>;

/// `Side` is the part that this process takes in a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Side {
    /// This process has sent the request.
    Client,
    /// This process has received the request.
    Server,
}

/// `Count` holds what was exchanged in the calls of one kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// The number of requests.
    pub calls: u64,
    /// The bytes of the requests.
    pub requested: u64,
    /// The bytes of the replies.
    pub replied: u64,
}

impl Traffic {
    /// Counts a request of `bytes` bytes.
    pub fn count_request(&self, request: &Request, side: Side, bytes: usize) {
        let mut counters = self.lock();
        let count = counters.entry((request.into(), side)).or_default();
        count.calls += 1;
        count.requested += bytes as u64;
    }

    /// Counts `bytes` bytes of the replies to requests of a kind, as `kind` of the request.
    pub fn count_reply(&self, kind: &'static str, side: Side, bytes: usize) {
        self.lock().entry((kind, side)).or_default().replied += bytes as u64;
    }

    /// Returns the counts by kind of request and side, in this order.
    pub fn counts(&self) -> Vec<(&'static str, Side, Count)> {
        self.lock().iter().map(|((kind, side), count)| (*kind, *side, *count)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Counters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
