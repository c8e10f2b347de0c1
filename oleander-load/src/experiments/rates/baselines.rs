//! The ideal central bucket, and the baseline policies.

use oleander_core::hash;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::rates::tokens::Bucket;
use oleander_limits::rates::tokens::FRACTIONS;
use oleander_limits::rates::tokens::Limit;
use oleander_limits::rates::tokens::Tokens;

use crate::experiments::rates::scenarios::Arrival;
use crate::experiments::rates::scenarios::Scenario;
use crate::experiments::rates::setup::LATENCY;
use crate::experiments::rates::setup::Outcome;
use crate::experiments::rates::setup::VMS;

/// Decides each request with one central bucket of `fractions` fractions and without any delay.
///
/// Returns for each arrival whether it is admitted.
pub fn ideal(scenario: &Scenario, fractions: u32, arrivals: &[Arrival]) -> Vec<bool> {
    let limit = scenario.limit;
    let mut bucket = Bucket::new(limit.capacity(fractions), Time(0));
    arrivals.iter().map(|arrival| take(&mut bucket, limit, fractions, arrival.at)).collect()
}

/// Baseline: each VM has a fixed, equal part of the rate and of the burst.
pub fn static_split(scenario: &Scenario, arrivals: &[Arrival]) -> Outcome {
    // Divides by nine in units of `Tokens`, which are so small that the remainder is negligible.
    let limit = scenario.limit;
    let part = |tokens: Tokens| Tokens(tokens.0 / VMS as u64);
    let capacity = part(limit.capacity(FRACTIONS));
    let mut buckets = [Bucket::new(capacity, Time(0)); VMS];
    let mut outcome = Outcome::default();
    for arrival in arrivals {
        let bucket = &mut buckets[arrival.vm];
        let gained = part(limit.refill(FRACTIONS, arrival.at.since(bucket.at)));
        bucket.level = (bucket.level + gained).min(capacity);
        bucket.at = arrival.at;
        outcome.admitted.push(take_one(bucket));
        outcome.waits.push(Span::ZERO);
    }
    outcome
}

/// Baseline: one VM, chosen by the workspace, decides all requests.
pub fn single_owner(scenario: &Scenario, workspace: u64, arrivals: &[Arrival]) -> Outcome {
    let owner = (hash::mix(workspace + 1) % VMS as u64) as usize;
    let limit = scenario.limit;
    let mut bucket = Bucket::new(limit.capacity(FRACTIONS), Time(0));
    let mut outcome = Outcome { admitted: vec![false; arrivals.len()], ..Outcome::default() };
    // The owner decides in the order in which the requests reach it.
    let mut received: Vec<(Time, usize)> = arrivals
        .iter()
        .enumerate()
        .map(|(index, arrival)| {
            (if arrival.vm == owner { arrival.at } else { arrival.at + LATENCY }, index)
        })
        .collect();
    received.sort_unstable();
    for (time, index) in received {
        let is_local = arrivals[index].vm == owner;
        outcome.messages += if is_local { 0 } else { 2 };
        outcome.waits.push(if is_local { Span::ZERO } else { LATENCY.times(2) });
        if scenario.is_alive(owner) {
            outcome.admitted[index] = take(&mut bucket, limit, FRACTIONS, time);
        }
    }
    outcome
}

/// Refills the bucket up to `now` and takes one token. Returns `false` if the bucket has less.
fn take(bucket: &mut Bucket, limit: Limit, fractions: u32, now: Time) -> bool {
    bucket.refill(now, limit, fractions, limit.capacity(fractions));
    take_one(bucket)
}

/// Takes one token. Returns `false` if the bucket has less.
fn take_one(bucket: &mut Bucket) -> bool {
    let one = Tokens::whole(1);
    if bucket.level < one {
        return false;
    }
    bucket.take(one);
    true
}
