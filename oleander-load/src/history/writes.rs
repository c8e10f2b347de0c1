//! Checks of the calls' writes against the upstreams' logs at the end of the run.

use std::collections::HashMap;
use std::collections::HashSet;

use oleander_core::verdict::Verdict;

use crate::history::index;
use crate::history::index::Index;
use crate::history::index::LogPosition;
use crate::history::lines::History;
use crate::history::record::Call;
use crate::history::record::KeyValue;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// Checks that each write ran as its verdict says, for its workspace and in a transaction of its
/// own.
pub(crate) fn check(history: &History, index: &Index<'_>, found: &mut Vec<Violation>) {
    let mut ids = HashSet::new();
    for call in &history.calls {
        if !ids.insert(call.id) {
            found.push(Violation::of_call(Kind::MalformedHistory, call.id, "the call comes twice"));
        }
        check_call(call, index, found);
    }
    for applied in &history.applied {
        if index.writer(&applied.write.value).is_none() {
            let detail = format!("no call wrote value {}", applied.write.value);
            found.push(Violation::of_run(Kind::ForeignWrite, detail));
        }
    }
    check_transactions(history, index, found);
}

fn check_call(call: &Call, index: &Index<'_>, found: &mut Vec<Violation>) {
    let writes = index::writes(call);
    let mut transactions = HashSet::new();
    let mut count = 0;
    for write in writes {
        let position = index.position(&write.value);
        check_verdict(call, write, position, found);
        if let Some(position) = position {
            check_position(call, write, position, found);
            transactions.insert(position.applied.transaction);
            count += 1;
        }
    }
    let is_whole = count == 0 || (count == writes.len() && transactions.len() == 1);
    if !is_whole {
        let detail = format!(
            "{count} of {} writes applied, in {} transactions",
            writes.len(),
            transactions.len()
        );
        found.push(Violation::of_call(Kind::MixedTransaction, call.id, detail));
    }
}

fn check_verdict(
    call: &Call,
    write: &KeyValue,
    position: Option<LogPosition<'_>>,
    found: &mut Vec<Violation>,
) {
    let value = &write.value;
    match (call.outcome.verdict(), position) {
        (Verdict::Ran, None) => {
            let detail = format!("value {value} was acknowledged and is not in the log");
            found.push(Violation::of_call(Kind::LostWrite, call.id, detail));
        }
        (Verdict::NotRun, Some(_)) => {
            let detail = format!("value {value} is in the log");
            found.push(Violation::of_call(Kind::FalseNotRun, call.id, detail));
        }
        _ => {}
    }
}

fn check_position(
    call: &Call,
    write: &KeyValue,
    position: LogPosition<'_>,
    found: &mut Vec<Violation>,
) {
    let value = &write.value;
    if position.list.workspace != call.workspace {
        let detail = format!("value {value} was written for {}", position.list.workspace);
        found.push(Violation::of_call(Kind::WrongWorkspace, call.id, detail));
    }
    if position.list.key != write.key || position.list.database != call.database {
        let detail =
            format!("value {value} is in {}/{}", position.list.database, position.list.key);
        found.push(Violation::of_call(Kind::ForeignWrite, call.id, detail));
    }
}

/// Checks that no upstream transaction holds writes of two calls.
fn check_transactions(history: &History, index: &Index<'_>, found: &mut Vec<Violation>) {
    let mut owners: HashMap<(&str, u64), u64> = HashMap::new();
    for applied in &history.applied {
        let Some((call, _)) = index.writer(&applied.write.value) else { continue };
        let transaction = (applied.database.as_str(), applied.transaction);
        let owner = *owners.entry(transaction).or_insert(call.id);
        if owner != call.id {
            let detail = format!("shares transaction {} with call {owner}", applied.transaction);
            found.push(Violation::of_call(Kind::MixedTransaction, call.id, detail));
        }
    }
}
