//! Checks of each read's answer by itself: whose values it holds, and in which order.

use oleander_core::verdict::Verdict;

use crate::history::index::Index;
use crate::history::index::ListKey;
use crate::history::record::Call;
use crate::history::record::Operation;
use crate::history::record::Outcome;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// `Read` is an answered read with what it shows of the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read<'a> {
    pub(crate) call: &'a Call,
    pub(crate) list: ListKey<'a>,
    pub(crate) age: Option<u64>,
    pub(crate) values: &'a [String],
    /// The number of leading values that the log holds at the end.
    ///
    /// What follows was dropped by a promotion before it was acknowledged.
    pub(crate) kept: usize,
}

/// Gets the answered read in a call, and reports what is wrong with it.
pub(crate) fn check<'a>(
    call: &'a Call,
    index: &Index<'a>,
    found: &mut Vec<Violation>,
) -> Option<Read<'a>> {
    let Operation::Read { key, age } = &call.operation else { return None };
    let Outcome::Answered { values, .. } = &call.outcome else { return None };
    let list = ListKey { database: &call.database, workspace: &call.workspace, key };
    let is_own = values.iter().all(|value| check_writer(call, list, value, index, found));
    if !is_own {
        return None;
    }
    let kept = check_order(call, values, index, found)?;
    Some(Read { call, list, age: *age, values, kept })
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
        found.push(Violation::at(Kind::WrongAnswer, call.id, detail));
        return false;
    };
    let of = ListKey { database: &writer.database, workspace: &writer.workspace, key: &write.key };
    if of != list || call.answered < writer.invoked {
        let detail = format!("value {value} is call {}'s, of {of:?}", writer.id);
        found.push(Violation::at(Kind::WrongAnswer, call.id, detail));
        return false;
    }
    // A value in the log is reported by the check of the logs.
    if writer.outcome.verdict() == Verdict::NotRun && index.place(value).is_none() {
        let detail = format!("value {value} was read by call {}", call.id);
        found.push(Violation::at(Kind::FalseNotRun, writer.id, detail));
    }
    true
}

/// Checks that the values are the beginning of the log's list, and then only dropped ones.
fn check_order(
    call: &Call,
    values: &[String],
    index: &Index<'_>,
    found: &mut Vec<Violation>,
) -> Option<usize> {
    let places = values.iter().map(|value| index.place(value).map(|place| place.at));
    let kept = places.clone().enumerate().take_while(|(at, place)| *place == Some(*at)).count();
    let has_gap = places.skip(kept).any(|place| place.is_some());
    let mut sorted: Vec<&String> = values.iter().collect();
    sorted.sort_unstable();
    sorted.dedup();
    if has_gap || sorted.len() != values.len() {
        let detail = format!("after {kept} values the answer leaves the order of the log");
        found.push(Violation::at(Kind::WrongOrder, call.id, detail));
        return None;
    }
    Some(kept)
}
