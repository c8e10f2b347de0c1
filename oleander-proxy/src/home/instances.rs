//! The configured instances of a database and their last known state.

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

/// The number of instances stored inline without heap allocation.
const INLINE_INSTANCES: usize = 4;

/// The assumed wait for a slot on an instance whose slots are all in use.
const BUSY_SLOT_WAIT: Span = Span::from_millis(5);

/// `Instances` holds a database's configured instances and the home's view of their states.
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

/// `TriedInstances` lists the instances that a read has already been sent to.
pub type TriedInstances = SmallVec<[InstanceId; INLINE_INSTANCES]>;

impl Instances {
    /// Replaces the configured instances and marks them reachable.
    ///
    /// `local_place` is the place of this VM. Recorded statuses are kept unless the list of
    /// addresses has changed.
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

    /// Records a status that was requested from the instance at the time `requested`.
    pub fn record_status(&mut self, ordinal: u8, status: InstanceStatus, requested: Time) {
        if let Some(id) = self.id(ordinal) {
            self.group.record_status(id, StatusAt { status, requested_at: requested });
        }
    }

    /// Records whether the instance answered the last ping or request.
    pub fn set_reachable(&mut self, ordinal: u8, reachable: bool) {
        let Some(instance) = self.instances.get(usize::from(ordinal)) else { return };
        let state = match (instance.leaving, reachable) {
            (true, _) => CandidateState::Leaving,
            (false, true) => CandidateState::Ready,
            (false, false) => CandidateState::Unreachable,
        };
        self.group.set_state(instance.id, state);
    }

    /// Returns the ordinals of the configured instances.
    pub fn ordinals(&self) -> std::ops::Range<u8> {
        0..self.instances.len() as u8
    }

    /// Returns the identifier of an instance; `None` if the ordinal is not configured.
    pub fn id(&self, ordinal: u8) -> Option<InstanceId> {
        self.instances.get(usize::from(ordinal)).map(|instance| instance.id)
    }

    /// Returns the ordinal of the primary of the highest known term; `None` if it is unknown or
    /// does not accept new work.
    pub fn primary(&self) -> Option<u8> {
        self.group.primary().map(|instance| instance.ordinal)
    }

    /// Returns the home's view of the group, which holds the recorded statuses.
    pub fn group(&self) -> &GroupView {
        &self.group
    }

    /// Chooses an instance for a read, excluding those in `tried`, given the free slots at `now`.
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
