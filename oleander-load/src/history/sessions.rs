//! Checks of the session guarantees: read your writes and monotonic reads.

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
/// A read must return everything that the session had written or read in calls that were answered
/// before the read was sent. Overlapping calls of a session do not constrain each other.
pub(crate) fn check<'a>(
    calls: &'a [Call],
    reads: &[Read<'a>],
    index: &Index<'a>,
    found: &mut Vec<Violation>,
) {
    let mut events: Vec<Event<'a>> = reads.iter().map(|read| Event::Sent(*read)).collect();
    events.extend(reads.iter().map(|read| Event::Read(*read)));
    let acknowledged = calls.iter().filter(|call| matches!(call.outcome, Outcome::Answered { .. }));
    events.extend(acknowledged.filter(|call| !index::writes(call).is_empty()).map(Event::Written));
    events.sort_by_key(|event| (event.time(), event.rank()));
    let mut observed: HashMap<(u64, ListKey<'a>), Observed<'a>> = HashMap::new();
    for event in events {
        match event {
            Event::Sent(read) => {
                if let Some(observed) = observed.get(&(read.call.session, read.list)) {
                    observed.check(&read, found);
                }
            }
            Event::Read(read) => {
                observed.entry((read.call.session, read.list)).or_default().add_read(read);
            }
            Event::Written(call) => {
                let positions =
                    index::writes(call).iter().filter_map(|write| index.position(&write.value));
                for position in positions {
                    let observed = observed.entry((call.session, position.list)).or_default();
                    observed.written = observed.written.max(position.index + 1);
                }
            }
        }
    }
}

/// `Event` is the sending of a read or the answer to a read or write of a session.
enum Event<'a> {
    /// A read was answered.
    Read(Read<'a>),
    /// A write was acknowledged.
    Written(&'a Call),
    /// A read was sent.
    Sent(Read<'a>),
}

impl Event<'_> {
    fn time(&self) -> u64 {
        match self {
            Event::Read(read) => read.call.answered,
            Event::Written(call) => call.answered,
            Event::Sent(read) => read.call.invoked,
        }
    }

    /// Returns the order of events at the same time: answers come before the sending of reads.
    fn rank(&self) -> u8 {
        u8::from(matches!(self, Event::Sent(_)))
    }
}

/// `Observed` is the part of one list that a session has written or read.
#[derive(Default)]
struct Observed<'a> {
    /// The length of the logged list up to and including the session's last acknowledged write.
    written: usize,
    /// The length of the longest prefix of the logged list that a read returned.
    logged: usize,
    /// The last read that returned values which a promotion discarded later.
    dropped: Option<Read<'a>>,
}

impl<'a> Observed<'a> {
    fn add_read(&mut self, read: Read<'a>) {
        self.logged = self.logged.max(read.logged);
        if read.logged < read.values.len() {
            self.dropped = Some(read);
        }
    }

    fn check(&self, read: &Read<'_>, found: &mut Vec<Violation>) {
        if read.logged < self.written {
            let detail = format!("shows {} values of {} written", read.logged, self.written);
            found.push(Violation::of_call(Kind::LostOwnWrite, read.call.id, detail));
        }
        let lacks_dropped =
            self.dropped.is_some_and(|earlier| !read.values.starts_with(earlier.values));
        if read.logged < self.logged || lacks_dropped {
            let detail = format!("shows {} values, {} were seen before", read.logged, self.logged);
            found.push(Violation::of_call(Kind::ReadWentBack, read.call.id, detail));
        }
    }
}
