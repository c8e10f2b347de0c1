//! The ideal central token bucket, the reference for rightful and wrongful refusals.

use std::collections::HashMap;

use crate::history::record::Call;
use crate::history::record::Operation;

/// One token in millionths, the unit of levels: a rate per second times a time in microseconds.
const TOKEN: u64 = 1_000_000;

/// `Limit` is the rate limit of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The refill rate, in tokens per second.
    pub rate: u32,
    /// The capacity of the bucket, in tokens.
    pub burst: u32,
}

/// `IdealBucket` is a token bucket of the whole fleet that charges each request when it is sent.
#[derive(Clone, Copy, Debug)]
pub struct IdealBucket {
    limit: Limit,
    /// The tokens in the bucket, in millionths of a token.
    level: u64,
    /// The time of the last refill, in microseconds.
    updated: u64,
}

impl IdealBucket {
    /// Creates a full bucket at time 0.
    pub fn new(limit: Limit) -> Self {
        Self { limit, level: u64::from(limit.burst) * TOKEN, updated: 0 }
    }

    /// Takes `count` tokens if the bucket holds them, else returns `false`.
    ///
    /// `time` is in microseconds and must not be earlier than in the previous call.
    pub fn take(&mut self, time: u64, count: u32) -> bool {
        let refill = (time - self.updated).saturating_mul(u64::from(self.limit.rate));
        self.updated = time;
        self.level = self.level.saturating_add(refill).min(u64::from(self.limit.burst) * TOKEN);
        let Some(level) = self.level.checked_sub(u64::from(count) * TOKEN) else { return false };
        self.level = level;
        true
    }
}

/// Returns for each call, in the given order, whether the ideal bucket of its workspace admits it.
///
/// Calls of a workspace without a limit are admitted.
pub fn admissions(calls: &[Call], limits: &HashMap<String, Limit>) -> Vec<bool> {
    let mut order: Vec<usize> = (0..calls.len()).collect();
    order.sort_by_key(|index| calls[*index].invoked);
    let mut buckets: HashMap<&str, IdealBucket> = limits
        .iter()
        .map(|(workspace, limit)| (workspace.as_str(), IdealBucket::new(*limit)))
        .collect();
    let mut admitted = vec![true; calls.len()];
    for index in order {
        let call = &calls[index];
        if let Some(bucket) = buckets.get_mut(call.workspace.as_str()) {
            admitted[index] = bucket.take(call.invoked, tokens(&call.operation));
        }
    }
    admitted
}

/// Returns the tokens that a call is charged; a transaction pays for its opening and each
/// statement.
fn tokens(operation: &Operation) -> u32 {
    match operation {
        Operation::Read { .. } | Operation::Write(_) => 1,
        Operation::Transaction(writes) => 1 + writes.len() as u32,
    }
}
