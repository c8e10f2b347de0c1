//! The failover gap: how long no write to a database was acknowledged after its primary failed.

use oleander_core::time::Span;

use crate::history::record::Call;
use crate::history::record::Operation;
use crate::history::record::Outcome;

/// Gets the time from the failure until the answer of the first write sent after it; `None` if there was none.
///
/// `failed` is the time of the failure in microseconds since the start of the run.
pub fn failover_gap(calls: &[Call], database: &str, failed: u64) -> Option<Span> {
    let answered = calls.iter().filter(|call| {
        let writes = matches!(call.operation, Operation::Write(_) | Operation::Transaction(_));
        let acknowledged = matches!(call.outcome, Outcome::Answered { .. });
        call.database == database && writes && acknowledged && failed <= call.invoked
    });
    answered.map(|call| Span(call.answered - failed)).min()
}
