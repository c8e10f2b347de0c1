//! The instance states that this VM's monitors have seen, for the views sent to the proxy.

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

/// `InstanceReports` holds the latest status of each monitored instance and the time of the
/// request that returned it. Each method that changes a state returns how soon the proxy must
/// receive the change.
#[derive(Debug, Default)]
pub struct InstanceReports {
    states: Mutex<BTreeMap<InstanceId, InstanceState>>,
}

/// `Urgency` states how soon a change must be sent to the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// The role, the term or the reachability has changed.
    Immediate,
    /// The change can wait for the next view.
    Deferred,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceState {
    answer: Option<StatusAnswer>,
    reachable: bool,
}

#[derive(Clone, Copy, Debug)]
struct StatusAnswer {
    status: InstanceStatus,
    asked: Time,
}

impl InstanceReports {
    /// Stores a status that was requested at `asked`, unless a status with a higher term or a later
    /// request time is already stored.
    pub fn update_status(
        &self,
        instance: InstanceId,
        status: InstanceStatus,
        asked: Time,
    ) -> Urgency {
        self.update(instance, |state| {
            let is_newer =
                |known: StatusAnswer| known.status.fence <= status.fence && known.asked <= asked;
            if state.answer.is_none_or(is_newer) {
                state.answer = Some(StatusAnswer { status, asked });
            }
        })
    }

    /// Records that an instance answers pings.
    pub fn mark_reachable(&self, instance: InstanceId) -> Urgency {
        self.update(instance, |state| state.reachable = true)
    }

    /// Records that an instance does not answer pings.
    pub fn mark_unreachable(&self, instance: InstanceId) -> Urgency {
        self.update(instance, |state| state.reachable = false)
    }

    /// Removes the instances for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        lock(&self.states).retain(|instance, _| keep(*instance));
    }

    /// Returns one report for each instance, with the age of its status at `now`. The age is zero
    /// for an instance without a status.
    pub fn list(&self, now: Time) -> Vec<InstanceReport> {
        let states = lock(&self.states);
        let report = |(instance, state): (&InstanceId, &InstanceState)| InstanceReport {
            instance: *instance,
            status: state.answer.map(|answer| answer.status),
            age: state.answer.map_or(Span::ZERO, |answer| now.since(answer.asked)),
            reachable: state.reachable,
        };
        states.iter().map(report).collect()
    }

    fn update(&self, instance: InstanceId, update: impl FnOnce(&mut InstanceState)) -> Urgency {
        let mut states = lock(&self.states);
        let entry = states.entry(instance).or_default();
        let before = entry.summary();
        update(entry);
        if entry.summary() == before { Urgency::Deferred } else { Urgency::Immediate }
    }
}

impl InstanceState {
    fn summary(&self) -> (bool, Option<(Role, Term)>) {
        (self.reachable, self.answer.map(|answer| (answer.status.role, answer.status.fence)))
    }
}
