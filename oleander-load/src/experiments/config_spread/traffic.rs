//! The cost of control traffic: messages, bytes, store calls and processing time.

use hdrhistogram::Histogram;
use std::time::Duration;

use oleander_core::time::Time;
use oleander_peer::codec;
use serde::Serialize;

/// The overhead of a message in bytes: HTTP/2 frames, TCP headers and TCP acknowledgements.
const MESSAGE_OVERHEAD: u64 = 120;

/// `Traffic` counts control traffic since the last reset.
#[derive(Clone, Debug)]
pub struct Traffic {
    since: Time,
    bytes: Vec<u64>,
    messages: u64,
    reads: u64,
    writes: u64,
    decision_time: Duration,
}

/// `Rates` holds the counts per second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// The bytes that a VM sends and receives per second, averaged over all VMs.
    pub mean_bytes: f64,
    /// The bytes that the busiest VM sends and receives per second.
    pub max_bytes: f64,
    /// The messages that a VM sends per second, averaged over all VMs.
    pub messages: f64,
    /// The reads of the store by all VMs per second.
    pub reads: f64,
    /// The writes to the store by all VMs and operators per second.
    pub writes: f64,
    /// The time in microseconds that the state machine of a VM runs per second, averaged over all
    /// VMs.
    pub decision_micros: f64,
}

impl Traffic {
    /// Creates empty counts for `vms` VMs.
    pub fn new(vms: usize) -> Self {
        Self {
            since: Time(0),
            bytes: vec![0; vms],
            messages: 0,
            reads: 0,
            writes: 0,
            decision_time: Duration::ZERO,
        }
    }

    /// Resets all counts; rates are computed from `now` on.
    pub fn reset(&mut self, now: Time) {
        *self = Self { since: now, ..Self::new(self.bytes.len()) };
    }

    /// Counts a message between two VMs, with its encoded size and overhead.
    pub fn record_message(&mut self, from: usize, to: usize, message: &impl Serialize) {
        let length = codec::encode(message).map_or(0, |frame| frame.len() as u64);
        let bytes = length + MESSAGE_OVERHEAD;
        self.bytes[from] += bytes;
        self.bytes[to] += bytes;
        self.messages += 1;
    }

    /// Counts a read of the store by a VM whose result has `length` bytes.
    pub fn record_read(&mut self, vm: usize, length: u64) {
        // Values come base64-encoded: four bytes for three.
        self.bytes[vm] += length * 4 / 3 + 2 * MESSAGE_OVERHEAD;
        self.reads += 1;
    }

    /// Counts a write to the store.
    pub fn record_write(&mut self) {
        self.writes += 1;
    }

    /// Adds the time that a call of a state machine took.
    pub fn record_decision(&mut self, time: Duration) {
        self.decision_time += time;
    }

    /// Returns the rates between the last reset and `now`.
    pub fn rates(&self, now: Time) -> Rates {
        let seconds = now.since(self.since).as_secs_f64();
        let vms = self.bytes.len() as f64;
        let max = self.bytes.iter().max().copied().unwrap_or(0);
        Rates {
            mean_bytes: self.bytes.iter().sum::<u64>() as f64 / vms / seconds,
            max_bytes: max as f64 / seconds,
            messages: self.messages as f64 / vms / seconds,
            reads: self.reads as f64 / seconds,
            writes: self.writes as f64 / seconds,
            decision_micros: self.decision_time.as_secs_f64() * 1e6 / vms / seconds,
        }
    }
}

/// Returns an empty histogram of times in microseconds, up to one hour.
pub(super) fn new_histogram() -> Histogram<u64> {
    // The bounds are valid, so the call cannot fail.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}
