//! What control costs: messages, bytes, calls to the store, time spent in decisions.

use hdrhistogram::Histogram;
use std::time::Duration;

use oleander_core::time::Time;
use oleander_peer::codec;
use serde::Serialize;

/// The bytes around a message: the frames of `h2`, and the headers and acknowledgements of TCP.
const MESSAGE_OVERHEAD: u64 = 120;

/// `Traffic` counts since its last reset.
#[derive(Clone, Debug)]
pub struct Traffic {
    since: Time,
    bytes: Vec<u64>,
    messages: u64,
    reads: u64,
    writes: u64,
    decisions: Duration,
}

/// `Rates` are the counts by time.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// The bytes that a VM sends and receives a second, on average.
    pub mean_bytes: f64,
    /// The same for the busiest VM.
    pub most_bytes: f64,
    /// The messages that a VM sends a second.
    pub messages: f64,
    /// The reads of the store by all VMs a second.
    pub reads: f64,
    /// The writes to the store by all VMs and operators a second.
    pub writes: f64,
    /// The time that a VM's decisions take, in microseconds a second.
    pub decision_micros: f64,
}

impl Traffic {
    /// Makes the counts of `vms` VMs.
    pub fn new(vms: usize) -> Self {
        Self {
            since: Time(0),
            bytes: vec![0; vms],
            messages: 0,
            reads: 0,
            writes: 0,
            decisions: Duration::ZERO,
        }
    }

    /// Starts counting anew.
    pub fn reset(&mut self, now: Time) {
        *self = Self { since: now, ..Self::new(self.bytes.len()) };
    }

    /// Counts a message between two VMs.
    pub fn message(&mut self, from: usize, to: usize, message: &impl Serialize) {
        let length = codec::encode(message).map_or(0, |frame| frame.len() as u64);
        let bytes = length + MESSAGE_OVERHEAD;
        self.bytes[from] += bytes;
        self.bytes[to] += bytes;
        self.messages += 1;
    }

    /// Counts a read of the store whose answer has `length` bytes.
    pub fn read(&mut self, vm: usize, length: u64) {
        // Values come base64-encoded: four bytes for three.
        self.bytes[vm] += length * 4 / 3 + 2 * MESSAGE_OVERHEAD;
        self.reads += 1;
    }

    /// Counts a write to the store.
    pub fn write(&mut self) {
        self.writes += 1;
    }

    /// Counts time spent in decisions.
    pub fn decide(&mut self, time: Duration) {
        self.decisions += time;
    }

    /// Gets the rates up to `now`.
    pub fn rates(&self, now: Time) -> Rates {
        let seconds = now.since(self.since).as_secs_f64();
        let vms = self.bytes.len() as f64;
        let most = self.bytes.iter().max().copied().unwrap_or(0);
        Rates {
            mean_bytes: self.bytes.iter().sum::<u64>() as f64 / vms / seconds,
            most_bytes: most as f64 / seconds,
            messages: self.messages as f64 / vms / seconds,
            reads: self.reads as f64 / seconds,
            writes: self.writes as f64 / seconds,
            decision_micros: self.decisions.as_secs_f64() * 1e6 / vms / seconds,
        }
    }
}

/// Makes a histogram of times in microseconds, up to an hour.
/// Makes a histogram of times in microseconds.
pub(super) fn new_histogram() -> Histogram<u64> {
    // The bounds are valid, so making the histogram cannot fail.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}
