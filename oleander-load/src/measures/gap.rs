//! The failover gap: how long no write to a database was acknowledged after its primary failed.

use oleander_core::time::Span;

use crate::history::record::Call;
use crate::history::record::Operation;
use crate::history::record::Outcome;

/// Returns the time from the failure until the first answer to a write sent after it; `None` if no
/// such write was acknowledged.
///
/// `failed` is the time of the failure, in microseconds since the start of the run.
pub fn failover_gap(calls: &[Call], database: &str, failed: u64) -> Option<Span> {
    let acknowledged = calls.iter().filter(|call| {
        let is_write = matches!(call.operation, Operation::Write(_) | Operation::Transaction(_));
        let is_answered = matches!(call.outcome, Outcome::Answered { .. });
        call.database == database && is_write && is_answered && failed <= call.invoked
    });
    acknowledged.map(|call| Span(call.answered - failed)).min()
}
