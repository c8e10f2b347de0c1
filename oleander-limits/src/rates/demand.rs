//! How much of a workspace's rate is asked for, here and at other VMs.

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The time over which demand is averaged.
const AVERAGING_TIME: Span = Span::from_secs(1);
/// The requests expected in a silence after which the callers are taken to have moved away.
const SILENT_REQUESTS: f64 = 4.0;
/// The time for which the demand told by another VM counts.
const DEMAND_TTL: Span = Span::from_secs(1);
/// The VMs whose demand is remembered for one workspace.
const MAX_ENTRIES: usize = 8;
/// The part of the known demand that a VM must have to be lent whole fractions.
const EXCLUSIVE_RATIO: f64 = 0.9;

/// `DemandMeter` measures the tokens a second that callers of this VM ask for.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    sum: f64,
    last_cost: f64,
    at: Time,
}

impl DemandMeter {
    /// Takes in a request of this cost.
    pub fn record(&mut self, now: Time, cost: Tokens) {
        self.last_cost = cost.as_f64();
        self.sum = self.sum * decay(now.since(self.at)) + self.last_cost;
        self.at = now;
    }

    /// Gets the tokens a second at `now`.
    ///
    /// A silence much longer than the usual one gives none at once, so that a
    /// VM whose callers have moved away is not taken for one with demand.
    pub fn per_second(&self, now: Time) -> Tokens {
        if self.is_silent(now, SILENT_REQUESTS) {
            return Tokens::ZERO;
        }
        Tokens::from_f64(self.sum * decay(now.since(self.at)) / AVERAGING_TIME.as_secs_f64())
    }

    /// Returns `true` if at least `requests` requests were to be expected since the last one.
    pub fn is_silent(&self, now: Time, requests: f64) -> bool {
        requests <= self.requests_per_second() * now.since(self.at).as_secs_f64()
    }

    /// Gets the time from which `is_silent` holds if no other request comes.
    pub fn silent_at(&self, requests: f64) -> Time {
        self.at + Span((requests / self.requests_per_second().max(f64::EPSILON) * 1e6) as u64)
    }

    /// Gets the requests a second at the time of the last one.
    fn requests_per_second(&self) -> f64 {
        self.sum / self.last_cost.max(f64::EPSILON) / AVERAGING_TIME.as_secs_f64()
    }

    /// Gets the time since the last request.
    pub fn silence(&self, now: Time) -> Span {
        now.since(self.at)
    }
}

/// `DemandTable` remembers the demand that other VMs told of.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    entries: SmallVec<[Entry; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    vm: VmId,
    demand: Tokens,
    at: Time,
}

impl DemandTable {
    /// Takes in the demand of a VM.
    pub fn record(&mut self, now: Time, vm: VmId, demand: Tokens) {
        self.entries.retain(|entry| entry.vm != vm && now.since(entry.at) < DEMAND_TTL);
        if self.entries.len() == MAX_ENTRIES {
            self.entries.remove(0);
        }
        self.entries.push(Entry { vm, demand, at: now });
    }

    /// Returns `true` if `vm` has nearly all of the known demand; `own` is that of this VM.
    pub fn is_exclusive(&self, now: Time, vm: VmId, own: Tokens) -> bool {
        let fresh = self.entries.iter().filter(|entry| now.since(entry.at) < DEMAND_TTL);
        let (mut vm_demand, mut total) = (0.0, own.as_f64());
        for entry in fresh {
            let demand = entry.demand.as_f64();
            total += demand;
            vm_demand += if entry.vm == vm { demand } else { 0.0 };
        }
        EXCLUSIVE_RATIO * total <= vm_demand
    }

    /// Returns `true` if nothing is remembered.
    pub fn is_empty(&self, now: Time) -> bool {
        self.entries.iter().all(|entry| DEMAND_TTL <= now.since(entry.at))
    }
}

fn decay(span: Span) -> f64 {
    (-span.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
}
