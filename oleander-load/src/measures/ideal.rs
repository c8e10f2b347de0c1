//! The ideal central token bucket, which tells rightful refusals from wrongful ones.

use std::collections::HashMap;

use crate::history::record::Call;
use crate::history::record::Operation;

/// The microseconds of a second.
const SECOND: u64 = 1_000_000;

/// `Limit` is the rate and burst of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The tokens a second.
    pub rate: u32,
    /// The tokens that may be used at once.
    pub burst: u32,
}

/// `IdealBucket` is one bucket for the whole fleet that sees each request when it is sent.
///
/// Levels are counted in millionths of a token.
#[derive(Clone, Copy, Debug)]
pub struct IdealBucket {
    limit: Limit,
    level: u64,
    at: u64,
}

impl IdealBucket {
    /// Makes a full bucket at time 0.
    pub fn new(limit: Limit) -> Self {
        Self { limit, level: u64::from(limit.burst) * SECOND, at: 0 }
    }

    /// Attempts to take `count` tokens at `time`, in microseconds; times may not go back.
    pub fn take(&mut self, time: u64, count: u32) -> bool {
        let refill = (time - self.at).saturating_mul(u64::from(self.limit.rate));
        self.at = time;
        self.level = self.level.saturating_add(refill).min(u64::from(self.limit.burst) * SECOND);
        let Some(level) = self.level.checked_sub(u64::from(count) * SECOND) else { return false };
        self.level = level;
        true
    }
}

/// Gets for each call, in the order given, whether the ideal bucket of its workspace admits it.
///
/// Calls of a workspace without a limit are admitted.
pub fn admissions(calls: &[Call], limits: &HashMap<String, Limit>) -> Vec<bool> {
    let mut order: Vec<usize> = (0..calls.len()).collect();
    order.sort_by_key(|at| calls[*at].invoked);
    let mut buckets: HashMap<&str, IdealBucket> = limits
        .iter()
        .map(|(workspace, limit)| (workspace.as_str(), IdealBucket::new(*limit)))
        .collect();
    let mut admitted = vec![true; calls.len()];
    for at in order {
        let call = &calls[at];
        if let Some(bucket) = buckets.get_mut(call.workspace.as_str()) {
            admitted[at] = bucket.take(call.invoked, tokens(&call.operation));
        }
    }
    admitted
}

/// Gets the tokens of a call: a transaction is charged for its opening and each statement.
fn tokens(operation: &Operation) -> u32 {
    match operation {
        Operation::Read { .. } | Operation::Write(_) => 1,
        Operation::Transaction(writes) => 1 + writes.len() as u32,
    }
}
