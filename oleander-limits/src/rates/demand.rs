//! Measures the demand for a workspace's tokens at this VM and records the demand reported by other
//! VMs.

use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::rates::tokens::Tokens;

/// The time constant of the exponentially decaying demand average.
const AVERAGING_TIME: Span = Span::from_secs(1);
/// The number of expected but missing requests after which the VM's demand counts as zero, because
/// its callers have probably moved to another VM.
const SILENT_REQUESTS: f64 = 4.0;
/// The time for which a demand reported by another VM remains valid.
const DEMAND_TTL: Span = Span::from_secs(1);
/// The maximum number of VMs whose demand is recorded per workspace.
const MAX_ENTRIES: usize = 8;
/// The minimum proportion of the known demand that a VM must have to be lent whole fractions.
const EXCLUSIVE_RATIO: f64 = 0.9;

/// `DemandMeter` measures the tokens per second requested by callers of this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    /// The cost of all requests in tokens, each decayed by its age at `updated_at`.
    decayed_sum: f64,
    /// The cost of the last request in tokens.
    last_cost: f64,
    /// The time of the last request.
    updated_at: Time,
}

impl DemandMeter {
    /// Records a request of `cost` tokens.
    pub fn record(&mut self, now: Time, cost: Tokens) {
        self.last_cost = cost.as_f64();
        self.decayed_sum = self.decayed_sum * decay(now.since(self.updated_at)) + self.last_cost;
        self.updated_at = now;
    }

    /// Returns the demand at `now` in tokens per second.
    ///
    /// Returns zero once the silence is much longer than the usual interval between requests, so
    /// that a VM whose callers have moved away does not count as one with demand.
    pub fn per_second(&self, now: Time) -> Tokens {
        if self.is_silent(now, SILENT_REQUESTS) {
            return Tokens::ZERO;
        }
        Tokens::from_f64(
            self.decayed_sum * decay(now.since(self.updated_at)) / AVERAGING_TIME.as_secs_f64(),
        )
    }

    /// Returns `true` if at least `requests` requests would have been expected since the last one.
    pub fn is_silent(&self, now: Time, requests: f64) -> bool {
        requests <= self.requests_per_second() * now.since(self.updated_at).as_secs_f64()
    }

    /// Returns the time from which `is_silent` returns `true` if no further request arrives.
    pub fn silent_at(&self, requests: f64) -> Time {
        self.updated_at
            + Span((requests / self.requests_per_second().max(f64::EPSILON) * 1e6) as u64)
    }

    /// Returns the request rate per second at the time of the last request, as if all requests cost
    /// as much as the last one.
    fn requests_per_second(&self) -> f64 {
        self.decayed_sum / self.last_cost.max(f64::EPSILON) / AVERAGING_TIME.as_secs_f64()
    }

    /// Returns the time since the last request.
    pub fn silence(&self, now: Time) -> Span {
        now.since(self.updated_at)
    }
}

/// `DemandTable` records the demand reported by other VMs.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    entries: SmallVec<[Entry; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    vm: VmId,
    /// The demand of the VM's callers in tokens per second.
    demand: Tokens,
    updated_at: Time,
}

impl DemandTable {
    /// Records the demand of a VM in tokens per second, replacing its previous value. The oldest
    /// entry is dropped once the table is full.
    pub fn record(&mut self, now: Time, vm: VmId, demand: Tokens) {
        self.entries.retain(|entry| entry.vm != vm && now.since(entry.updated_at) < DEMAND_TTL);
        if self.entries.len() == MAX_ENTRIES {
            self.entries.remove(0);
        }
        self.entries.push(Entry { vm, demand, updated_at: now });
    }

    /// Returns `true` if `vm` has nearly all of the known demand; `own` is the demand at this VM.
    pub fn is_exclusive(&self, now: Time, vm: VmId, own: Tokens) -> bool {
        let fresh = self.entries.iter().filter(|entry| now.since(entry.updated_at) < DEMAND_TTL);
        let (mut vm_demand, mut total) = (0.0, own.as_f64());
        for entry in fresh {
            let demand = entry.demand.as_f64();
            total += demand;
            vm_demand += if entry.vm == vm { demand } else { 0.0 };
        }
        EXCLUSIVE_RATIO * total <= vm_demand
    }

    /// Returns `true` if no recorded demand is still valid.
    pub fn is_empty(&self, now: Time) -> bool {
        self.entries.iter().all(|entry| DEMAND_TTL <= now.since(entry.updated_at))
    }
}

/// Returns the weight of a value recorded `span` ago, from 1 down to 0.
fn decay(span: Span) -> f64 {
    (-span.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
}
