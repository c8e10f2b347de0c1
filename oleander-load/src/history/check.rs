//! The check of a whole history, in n log n time.

use std::collections::BTreeMap;

use crate::history::ages;
use crate::history::answers;
use crate::history::answers::Read;
use crate::history::index::Index;
use crate::history::lines::History;
use crate::history::rates;
use crate::history::sessions;
use crate::history::violations::Kind;
use crate::history::violations::Violation;
use crate::history::writes;
use crate::report::Report;
use crate::report::Table;

/// The maximum number of violations of one kind that a report lists.
const MAX_SHOWN: usize = 5;

/// Checks a history and returns all violations; the result is empty if every rule held.
///
/// Written values are unique, so the values in an answer identify the calls that wrote them. This
/// makes a search over possible orders of the calls unnecessary.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    let index = Index::new(history, &mut found);
    writes::check(history, &index, &mut found);
    let reads: Vec<Read<'_>> =
        history.calls.iter().filter_map(|call| answers::check(call, &index, &mut found)).collect();
    sessions::check(&history.calls, &reads, &index, &mut found);
    ages::check(&history.calls, &reads, &index, &mut found);
    rates::check(history, &mut found);
    check_overruns(history, &mut found);
    found
}

/// Checks a history and returns a report in which each violation is a missed target.
pub fn report(title: &str, history: &History) -> Report {
    let found = check(history);
    let mut report = Report::new(title, 0);
    let mut counts = Table::new("History", &["calls", "logged writes", "violations"]);
    counts.push([history.calls.len(), history.applied.len(), found.len()].map(|n| n.to_string()));
    report.tables.push(counts);
    let mut kinds: BTreeMap<Kind, Vec<&Violation>> = BTreeMap::new();
    for violation in &found {
        kinds.entry(violation.kind).or_default().push(violation);
    }
    for (kind, all) in kinds {
        let shown = all.iter().take(MAX_SHOWN).map(ToString::to_string);
        report.missed.extend(shown);
        if MAX_SHOWN < all.len() {
            report.missed.push(format!("{kind}: {} more", all.len() - MAX_SHOWN));
        }
    }
    report
}

fn check_overruns(history: &History, found: &mut Vec<Violation>) {
    for overrun in &history.overruns {
        let detail = format!(
            "{}: {} {} at once, {} allowed",
            overrun.instance, overrun.seen, overrun.resource, overrun.limit
        );
        found.push(Violation::of_run(Kind::LimitExceeded, detail));
    }
}
