//! Checks of what a session sees: its own writes, and never less than before.

use std::collections::HashMap;

use crate::history::answers::Read;
use crate::history::index;
use crate::history::index::Index;
use crate::history::index::ListKey;
use crate::history::record::Call;
use crate::history::record::Outcome;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// Checks the answered reads of all sessions.
///
/// A read must show what the session's calls had shown that were answered before
/// the read was sent. Calls of a session that overlap ask nothing of each other.
pub(crate) fn check<'a>(
    calls: &'a [Call],
    reads: &[Read<'a>],
    index: &Index<'a>,
    found: &mut Vec<Violation>,
) {
    let mut steps: Vec<Step<'a>> = reads.iter().map(|read| Step::Sent(*read)).collect();
    steps.extend(reads.iter().map(|read| Step::Read(*read)));
    let acknowledged = calls.iter().filter(|call| matches!(call.outcome, Outcome::Answered { .. }));
    steps.extend(acknowledged.filter(|call| !index::writes(call).is_empty()).map(Step::Written));
    steps.sort_by_key(|step| (step.time(), step.order()));
    let mut seen: HashMap<(u64, ListKey<'a>), Seen<'a>> = HashMap::new();
    for step in steps {
        match step {
            Step::Sent(read) => {
                if let Some(seen) = seen.get(&(read.call.session, read.list)) {
                    seen.check(&read, found);
                }
            }
            Step::Read(read) => {
                seen.entry((read.call.session, read.list)).or_default().add_read(read);
            }
            Step::Written(call) => {
                let places =
                    index::writes(call).iter().filter_map(|write| index.place(&write.value));
                for place in places {
                    let seen = seen.entry((call.session, place.list)).or_default();
                    seen.written = seen.written.max(place.at + 1);
                }
            }
        }
    }
}

/// `Step` is a point in time at which a session asks for something or learns something.
enum Step<'a> {
    Read(Read<'a>),
    Written(&'a Call),
    Sent(Read<'a>),
}

impl Step<'_> {
    fn time(&self) -> u64 {
        match self {
            Step::Read(read) => read.call.answered,
            Step::Written(call) => call.answered,
            Step::Sent(read) => read.call.invoked,
        }
    }

    /// What was learned at a time comes before what is sent at that time.
    fn order(&self) -> u8 {
        u8::from(matches!(self, Step::Sent(_)))
    }
}

/// `Seen` is what a session has seen of one list.
#[derive(Default)]
struct Seen<'a> {
    /// The length of the log's list up to the session's last write.
    written: usize,
    /// The longest beginning of the log's list that a read showed.
    kept: usize,
    /// A read that showed values which were dropped later.
    dropped: Option<Read<'a>>,
}

impl<'a> Seen<'a> {
    fn add_read(&mut self, read: Read<'a>) {
        self.kept = self.kept.max(read.kept);
        if read.kept < read.values.len() {
            self.dropped = Some(read);
        }
    }

    fn check(&self, read: &Read<'_>, found: &mut Vec<Violation>) {
        if read.kept < self.written {
            let detail = format!("shows {} values of {} written", read.kept, self.written);
            found.push(Violation::at(Kind::LostOwnWrite, read.call.id, detail));
        }
        let lacks_dropped =
            self.dropped.is_some_and(|before| !read.values.starts_with(before.values));
        if read.kept < self.kept || lacks_dropped {
            let detail = format!("shows {} values, {} were seen before", read.kept, self.kept);
            found.push(Violation::at(Kind::ReadWentBack, read.call.id, detail));
        }
    }
}
