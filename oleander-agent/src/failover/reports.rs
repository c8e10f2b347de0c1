//! What this VM's guards last saw of the instances, for the proxy's views.

use std::collections::BTreeMap;
use std::sync::Mutex;

use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::messages::InstanceReport;

use crate::lock::lock;

/// `Reports` holds the last status of each watched instance and when it was asked for.
#[derive(Debug, Default)]
pub struct Reports {
    seen: Mutex<BTreeMap<InstanceId, Seen>>,
}

/// `News` says whether the proxy should hear of a change at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    /// The role, the term or the reach has changed.
    Urgent,
    /// The next view is early enough.
    Routine,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    answer: Option<Answer>,
    reachable: bool,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    status: InstanceStatus,
    asked: Time,
}

impl Reports {
    /// Takes in a status that was asked for at `asked`; an older one is ignored.
    pub fn note(&self, instance: InstanceId, status: InstanceStatus, asked: Time) -> News {
        self.change(instance, |seen| {
            let newer = |known: Answer| known.status.fence <= status.fence && known.asked <= asked;
            if seen.answer.is_none_or(newer) {
                seen.answer = Some(Answer { status, asked });
            }
        })
    }

    /// Takes in that an instance answers pings.
    pub fn note_up(&self, instance: InstanceId) -> News {
        self.change(instance, |seen| seen.reachable = true)
    }

    /// Takes in that an instance does not answer pings.
    pub fn note_down(&self, instance: InstanceId) -> News {
        self.change(instance, |seen| seen.reachable = false)
    }

    /// Forgets the instances that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        lock(&self.seen).retain(|instance, _| keep(*instance));
    }

    /// Gets the reports as they stand at `now`.
    pub fn list(&self, now: Time) -> Vec<InstanceReport> {
        let seen = lock(&self.seen);
        let report = |(instance, seen): (&InstanceId, &Seen)| InstanceReport {
            instance: *instance,
            status: seen.answer.map(|answer| answer.status),
            age: seen.answer.map_or(Span::ZERO, |answer| now.since(answer.asked)),
            reachable: seen.reachable,
        };
        seen.iter().map(report).collect()
    }

    fn change(&self, instance: InstanceId, change: impl FnOnce(&mut Seen)) -> News {
        let mut seen = lock(&self.seen);
        let entry = seen.entry(instance).or_default();
        let before = entry.summary();
        change(entry);
        if entry.summary() == before { News::Routine } else { News::Urgent }
    }
}

impl Seen {
    fn summary(&self) -> (bool, Option<(Role, Term)>) {
        (self.reachable, self.answer.map(|answer| (answer.status.role, answer.status.fence)))
    }
}
