//! Checks of the writes against the logs at the end of the run.

use std::collections::HashMap;
use std::collections::HashSet;

use oleander_core::verdict::Verdict;

use crate::history::index;
use crate::history::index::Index;
use crate::history::index::Place;
use crate::history::lines::History;
use crate::history::record::Call;
use crate::history::record::KeyValue;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// Checks that each write ran as often as its verdict says, for its workspace and in its own transaction.
pub(crate) fn check(history: &History, index: &Index<'_>, found: &mut Vec<Violation>) {
    let mut ids = HashSet::new();
    for call in &history.calls {
        if !ids.insert(call.id) {
            found.push(Violation::at(Kind::MalformedHistory, call.id, "the call comes twice"));
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
        let place = index.place(&write.value);
        check_verdict(call, write, place, found);
        if let Some(place) = place {
            check_place(call, write, place, found);
            transactions.insert(place.applied.transaction);
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
        found.push(Violation::at(Kind::MixedTransaction, call.id, detail));
    }
}

fn check_verdict(
    call: &Call,
    write: &KeyValue,
    place: Option<Place<'_>>,
    found: &mut Vec<Violation>,
) {
    let value = &write.value;
    match (call.outcome.verdict(), place) {
        (Verdict::Ran, None) => {
            let detail = format!("value {value} was acknowledged and is not in the log");
            found.push(Violation::at(Kind::LostWrite, call.id, detail));
        }
        (Verdict::NotRun, Some(_)) => {
            let detail = format!("value {value} is in the log");
            found.push(Violation::at(Kind::FalseNotRun, call.id, detail));
        }
        _ => {}
    }
}

fn check_place(call: &Call, write: &KeyValue, place: Place<'_>, found: &mut Vec<Violation>) {
    let value = &write.value;
    if place.list.workspace != call.workspace {
        let detail = format!("value {value} was written for {}", place.list.workspace);
        found.push(Violation::at(Kind::WrongWorkspace, call.id, detail));
    }
    if place.list.key != write.key || place.list.database != call.database {
        let detail = format!("value {value} is in {}/{}", place.list.database, place.list.key);
        found.push(Violation::at(Kind::ForeignWrite, call.id, detail));
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
            found.push(Violation::at(Kind::MixedTransaction, call.id, detail));
        }
    }
}
