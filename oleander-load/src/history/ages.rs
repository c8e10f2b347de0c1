//! Checks that reads with a maximum age return data that is recent enough.

use std::collections::HashMap;

use crate::history::answers::Read;
use crate::history::index;
use crate::history::index::Index;
use crate::history::index::ListKey;
use crate::history::record::Call;
use crate::history::record::Outcome;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// Checks that a read with a maximum age returns every write that was acknowledged at least that
/// long before the read was sent.
///
/// The proxy measures the age at the time at which it has the answer, which the history does not
/// record. It lies between sending and receipt, so measuring from the sending reports no false
/// violation.
pub(crate) fn check<'a>(
    calls: &'a [Call],
    reads: &[Read<'a>],
    index: &Index<'a>,
    found: &mut Vec<Violation>,
) {
    let lists = acknowledged_lengths(calls, index);
    for read in reads {
        let Some(max_age) = read.max_age else { continue };
        let (Some(oldest), Some(list)) =
            (read.call.invoked.checked_sub(max_age), lists.get(&read.list))
        else {
            continue;
        };
        let count = list.partition_point(|(time, _)| *time <= oldest);
        let required = count.checked_sub(1).map_or(0, |last| list[last].1);
        if read.logged < required {
            let detail =
                format!("shows {} values, {required} were older than its age", read.logged);
            found.push(Violation::of_call(Kind::TooOld, read.call.id, detail));
        }
    }
}

/// Returns for each list its acknowledgement times in order, each with the length that the list had
/// reached by then.
fn acknowledged_lengths<'a>(
    calls: &'a [Call],
    index: &Index<'a>,
) -> HashMap<ListKey<'a>, Vec<(u64, usize)>> {
    let mut lists: HashMap<ListKey<'a>, Vec<(u64, usize)>> = HashMap::new();
    for call in calls.iter().filter(|call| matches!(call.outcome, Outcome::Answered { .. })) {
        for position in index::writes(call).iter().filter_map(|write| index.position(&write.value))
        {
            lists.entry(position.list).or_default().push((call.answered, position.index + 1));
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
