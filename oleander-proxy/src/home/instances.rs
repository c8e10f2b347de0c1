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
const BUSY_WAIT: Span = Span::from_millis(5);

/// `Instances` is the list of a database's instances with the home's knowledge of the group.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    configured: SmallVec<[Configured; INLINE_INSTANCES]>,
    knowledge: GroupView,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Configured {
    id: InstanceId,
    address: String,
    place: Place,
    leaving: bool,
}

/// `Tried` is the list of instances that a read has tried.
pub type Tried = SmallVec<[InstanceId; INLINE_INSTANCES]>;

impl Instances {
    /// Takes in the configured instances; knowledge is kept unless the list has changed.
    pub fn configure(&mut self, database: &Database, here: &Place) {
        let id = DatabaseId::from_name(&database.name);
        let configured =
            database.instances.iter().enumerate().map(|(ordinal, instance)| Configured {
                id: InstanceId { database: id, ordinal: ordinal as u8 },
                address: instance.address.clone(),
                place: instance.place.clone(),
                leaving: instance.leaving || database.leaving,
            });
        let configured: SmallVec<[Configured; INLINE_INSTANCES]> = configured.collect();
        let servers = |list: &[Configured]| -> Vec<String> {
            list.iter().map(|instance| instance.address.clone()).collect()
        };
        if servers(&configured) != servers(&self.configured) {
            let members =
                configured.iter().map(|instance| (instance.id, here.distance(&instance.place)));
            self.knowledge = GroupView::new(members);
        }
        self.configured = configured;
        for ordinal in self.ordinals() {
            self.set_reachable(ordinal, true);
        }
    }

    /// Takes in a status that was asked for at `asked`.
    pub fn observe(&mut self, ordinal: u8, status: InstanceStatus, asked: Time) {
        if let Some(id) = self.id(ordinal) {
            self.knowledge.record_status(id, StatusAt { status, requested_at: asked });
        }
    }

    /// Takes in whether the instance answered its last ping or request.
    pub fn set_reachable(&mut self, ordinal: u8, reachable: bool) {
        let Some(instance) = self.configured.get(usize::from(ordinal)) else { return };
        let state = match (instance.leaving, reachable) {
            (true, _) => CandidateState::Leaving,
            (false, true) => CandidateState::Ready,
            (false, false) => CandidateState::Unreachable,
        };
        self.knowledge.set_state(instance.id, state);
    }

    /// Gets the ordinals of the instances.
    pub fn ordinals(&self) -> std::ops::Range<u8> {
        0..self.configured.len() as u8
    }

    /// Gets the identifier of an instance.
    pub fn id(&self, ordinal: u8) -> Option<InstanceId> {
        self.configured.get(usize::from(ordinal)).map(|instance| instance.id)
    }

    /// Gets the ordinal of the primary of the highest known term, if it takes new work.
    pub fn primary(&self) -> Option<u8> {
        self.knowledge.primary().map(|instance| instance.ordinal)
    }

    /// Gets what is known of the group.
    pub fn knowledge(&self) -> &GroupView {
        &self.knowledge
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
            let wait = if slots.is_free(now, instance.ordinal) { Span::ZERO } else { BUSY_WAIT };
            Load { wait }
        };
        self.knowledge.choose(now, need, load, tried, &Options::default())
    }
}
