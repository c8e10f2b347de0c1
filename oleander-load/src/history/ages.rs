//! Checks that reads of a stated age show data that is young enough.

use std::collections::HashMap;

use crate::history::answers::Read;
use crate::history::index;
use crate::history::index::Index;
use crate::history::index::ListKey;
use crate::history::record::Call;
use crate::history::record::Outcome;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// Checks that a read with an age shows each write that was acknowledged that
/// long before the read was sent.
///
/// The age counts to the time at which the proxy had the answer, which lies
/// between the sending and the caller's receipt; the sending is the safe bound.
pub(crate) fn check<'a>(
    calls: &'a [Call],
    reads: &[Read<'a>],
    index: &Index<'a>,
    found: &mut Vec<Violation>,
) {
    let lists = acknowledged(calls, index);
    for read in reads {
        let Some(age) = read.age else { continue };
        let (Some(oldest), Some(list)) =
            (read.call.invoked.checked_sub(age), lists.get(&read.list))
        else {
            continue;
        };
        let at = list.partition_point(|(time, _)| *time <= oldest);
        let needed = at.checked_sub(1).map_or(0, |last| list[last].1);
        if read.kept < needed {
            let detail = format!("shows {} values, {needed} were older than its age", read.kept);
            found.push(Violation::at(Kind::TooOld, read.call.id, detail));
        }
    }
}

/// Gets for each list the times of acknowledgements, each with the length that the list had by then.
fn acknowledged<'a>(
    calls: &'a [Call],
    index: &Index<'a>,
) -> HashMap<ListKey<'a>, Vec<(u64, usize)>> {
    let mut lists: HashMap<ListKey<'a>, Vec<(u64, usize)>> = HashMap::new();
    for call in calls.iter().filter(|call| matches!(call.outcome, Outcome::Answered { .. })) {
        for place in index::writes(call).iter().filter_map(|write| index.place(&write.value)) {
            lists.entry(place.list).or_default().push((call.answered, place.at + 1));
        }
    }
    for list in lists.values_mut() {
        list.sort_unstable();
        let mut longest = 0;
        for (_, length) in list {
            longest = longest.max(*length);
            *length = longest;
        }
    }
    lists
}
