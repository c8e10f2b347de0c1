//! The configured instances of a database and what the home knows of them.

use oleander_config::model::Database;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::places::Place;
use oleander_core::terms::InstanceStatus;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::home::slots::Slots;
use oleander_routing::group_view::GroupView;
use oleander_routing::group_view::Load;
use oleander_routing::reads::CandidateState;
use oleander_routing::reads::Choice;
use oleander_routing::reads::Options;
use oleander_routing::reads::ReadNeed;
use oleander_routing::samples::StatusAt;
use smallvec::SmallVec;

/// The number of instances kept on the stack.
const INLINE_INSTANCES: usize = 4;

/// The time until a slot comes free on an instance whose slots are all taken.
const BUSY_SLOT_WAIT: Span = Span::from_millis(5);

/// `Instances` is the list of a database's instances with the home's knowledge of the group.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    instances: SmallVec<[ConfiguredInstance; INLINE_INSTANCES]>,
    group: GroupView,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct ConfiguredInstance {
    id: InstanceId,
    address: String,
    place: Place,
    leaving: bool,
}

/// `TriedInstances` is the list of instances that a read has tried.
pub type TriedInstances = SmallVec<[InstanceId; INLINE_INSTANCES]>;

impl Instances {
    /// Takes in the configured instances; knowledge is kept unless the list has changed.
    pub fn configure(&mut self, database: &Database, local_place: &Place) {
        let id = DatabaseId::from_name(&database.name);
        let instances =
            database.instances.iter().enumerate().map(|(ordinal, instance)| ConfiguredInstance {
                id: InstanceId { database: id, ordinal: ordinal as u8 },
                address: instance.address.clone(),
                place: instance.place.clone(),
                leaving: instance.leaving || database.leaving,
            });
        let instances: SmallVec<[ConfiguredInstance; INLINE_INSTANCES]> = instances.collect();
        let addresses = |list: &[ConfiguredInstance]| -> Vec<String> {
            list.iter().map(|instance| instance.address.clone()).collect()
        };
        if addresses(&instances) != addresses(&self.instances) {
            let members = instances
                .iter()
                .map(|instance| (instance.id, local_place.distance(&instance.place)));
            self.group = GroupView::new(members);
        }
        self.instances = instances;
        for ordinal in self.ordinals() {
            self.set_reachable(ordinal, true);
        }
    }

    /// Takes in a status that was asked for at `requested`.
    pub fn record_status(&mut self, ordinal: u8, status: InstanceStatus, requested: Time) {
        if let Some(id) = self.id(ordinal) {
            self.group.record_status(id, StatusAt { status, requested_at: requested });
        }
    }

    /// Takes in whether the instance answered its last ping or request.
    pub fn set_reachable(&mut self, ordinal: u8, reachable: bool) {
        let Some(instance) = self.instances.get(usize::from(ordinal)) else { return };
        let state = match (instance.leaving, reachable) {
            (true, _) => CandidateState::Leaving,
            (false, true) => CandidateState::Ready,
            (false, false) => CandidateState::Unreachable,
        };
        self.group.set_state(instance.id, state);
    }

    /// Gets the ordinals of the instances.
    pub fn ordinals(&self) -> std::ops::Range<u8> {
        0..self.instances.len() as u8
    }

    /// Gets the identifier of an instance.
    pub fn id(&self, ordinal: u8) -> Option<InstanceId> {
        self.instances.get(usize::from(ordinal)).map(|instance| instance.id)
    }

    /// Gets the ordinal of the primary of the highest known term, if it takes new work.
    pub fn primary(&self) -> Option<u8> {
        self.group.primary().map(|instance| instance.ordinal)
    }

    /// Gets what is known of the group.
    pub fn group(&self) -> &GroupView {
        &self.group
    }

    /// Chooses the instance for a read with the slots that are free now.
    pub fn choose(
        &self,
        now: Time,
        need: &ReadNeed<'_>,
        slots: &Slots,
        tried: &[InstanceId],
    ) -> Choice {
        let load = |instance: InstanceId| {
            let wait =
                if slots.is_free(now, instance.ordinal) { Span::ZERO } else { BUSY_SLOT_WAIT };
            Load { wait }
        };
        self.group.choose(now, need, load, tried, &Options::default())
    }
}
