//! Checks of single answers: which list the values belong to, and in which order they are.

use oleander_core::verdict::Verdict;

use crate::history::index::Index;
use crate::history::index::ListKey;
use crate::history::record::Call;
use crate::history::record::Operation;
use crate::history::record::Outcome;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// `Read` is an answered read and the values that it returned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read<'a> {
    pub(crate) call: &'a Call,
    pub(crate) list: ListKey<'a>,
    /// The maximum age of the data, in microseconds; `None` if the read stated none.
    pub(crate) max_age: Option<u64>,
    pub(crate) values: &'a [String],
    /// The number of leading values that are in the log at the end of the run. Any values after
    /// these were discarded by a promotion before they were acknowledged.
    pub(crate) logged: usize,
}

/// Returns the read of a call and reports its violations; `None` if the call is no answered read or
/// its answer cannot be used for further checks.
pub(crate) fn check<'a>(
    call: &'a Call,
    index: &Index<'a>,
    found: &mut Vec<Violation>,
) -> Option<Read<'a>> {
    let Operation::Read { key, age } = &call.operation else { return None };
    let Outcome::Answered { values, .. } = &call.outcome else { return None };
    let list = ListKey { database: &call.database, workspace: &call.workspace, key };
    let is_consistent = values.iter().all(|value| check_writer(call, list, value, index, found));
    if !is_consistent {
        return None;
    }
    let logged = check_order(call, values, index, found)?;
    Some(Read { call, list, max_age: *age, values, logged })
}

fn check_writer(
    call: &Call,
    list: ListKey<'_>,
    value: &str,
    index: &Index<'_>,
    found: &mut Vec<Violation>,
) -> bool {
    let Some((writer, write)) = index.writer(value) else {
        let detail = format!("no call wrote value {value}");
        found.push(Violation::of_call(Kind::WrongAnswer, call.id, detail));
        return false;
    };
    let written =
        ListKey { database: &writer.database, workspace: &writer.workspace, key: &write.key };
    if written != list || call.answered < writer.invoked {
        let detail = format!("value {value} is call {}'s, of {written:?}", writer.id);
        found.push(Violation::of_call(Kind::WrongAnswer, call.id, detail));
        return false;
    }
    // If the value is in the log, the check of the writes reports this violation.
    if writer.outcome.verdict() == Verdict::NotRun && index.position(value).is_none() {
        let detail = format!("value {value} was read by call {}", call.id);
        found.push(Violation::of_call(Kind::FalseNotRun, writer.id, detail));
    }
    true
}

/// Checks that the values are a prefix of the logged list, followed only by values that are not in
/// the log. Returns the length of the prefix.
fn check_order(
    call: &Call,
    values: &[String],
    index: &Index<'_>,
    found: &mut Vec<Violation>,
) -> Option<usize> {
    let positions = values.iter().map(|value| index.position(value).map(|position| position.index));
    let logged = positions
        .clone()
        .enumerate()
        .take_while(|(index, position)| *position == Some(*index))
        .count();
    let has_gap = positions.skip(logged).any(|position| position.is_some());
    let mut sorted: Vec<&String> = values.iter().collect();
    sorted.sort_unstable();
    sorted.dedup();
    if has_gap || sorted.len() != values.len() {
        let detail = format!("after {logged} values the answer leaves the order of the log");
        found.push(Violation::of_call(Kind::WrongOrder, call.id, detail));
        return None;
    }
    Some(logged)
}
