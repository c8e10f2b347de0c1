//! What a home knows of the instances of its database.

use oleander_config::model::Database;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::places::Distance;
use oleander_core::places::Place;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::home::slots::Slots;
use oleander_routing::lag;
use oleander_routing::lag::Lag;
use oleander_routing::reads::Candidate;
use oleander_routing::reads::CandidateState;
use oleander_routing::reads::Group;
use oleander_routing::samples;
use oleander_routing::samples::Sample;
use oleander_routing::samples::Samples;
use oleander_routing::samples::StatusAt;
use smallvec::SmallVec;

/// The number of instances kept on the stack.
const INLINE_INSTANCES: usize = 4;

/// `Instances` holds the last known status of each instance, by ordinal.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    known: SmallVec<[Known; INLINE_INSTANCES]>,
    progress: Samples,
    confirmed: Samples,
}

/// `Known` is what is known of one instance.
#[derive(Clone, Debug)]
pub struct Known {
    /// The instance.
    pub id: InstanceId,
    /// The host and port.
    pub address: String,
    /// The distance from this VM.
    pub distance: Distance,
    /// `true` while the instance leaves.
    pub leaving: bool,
    /// `true` if the instance answered its last ping or request.
    pub reachable: bool,
    /// The last status and when it was asked for.
    pub status: Option<StatusAt>,
    /// The estimate of its delay behind the primary.
    pub lag: Lag,
}

/// `Excluded` is the set of instances that a read has tried, by ordinal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Excluded(u64);

impl Excluded {
    /// Adds an instance.
    pub fn insert(&mut self, ordinal: u8) {
        self.0 |= 1 << (ordinal % 64);
    }

    /// Returns `true` if the instance is in the set.
    pub fn contains(self, ordinal: u8) -> bool {
        self.0 & (1 << (ordinal % 64)) != 0
    }
}

impl Instances {
    /// Takes in the configured instances; what is known of those that stay is kept.
    pub fn configure(&mut self, database: &Database, here: &Place) {
        let id = DatabaseId::from_name(&database.name);
        self.known.truncate(database.instances.len());
        for (ordinal, instance) in database.instances.iter().enumerate() {
            let mut fresh = Known {
                id: InstanceId { database: id, ordinal: ordinal as u8 },
                address: instance.address.clone(),
                distance: here.distance(&instance.place),
                leaving: instance.leaving || database.leaving,
                reachable: true,
                status: None,
                lag: Lag::default(),
            };
            match self.known.get_mut(ordinal) {
                Some(known) if known.address == fresh.address => {
                    (fresh.reachable, fresh.status, fresh.lag) =
                        (known.reachable, known.status, known.lag);
                    *known = fresh;
                }
                Some(known) => *known = fresh,
                None => self.known.push(fresh),
            }
        }
    }

    /// Takes in a status that was asked for at `asked`; an older one than the known is passed over.
    pub fn observe(&mut self, ordinal: u8, status: InstanceStatus, asked: Time) {
        let Some(known) = self.known.get_mut(usize::from(ordinal)) else { return };
        if known.status.is_some_and(|last| asked < last.asked) {
            return;
        }
        let status = StatusAt { status, asked };
        known.status = Some(status);
        if status.status.role == Role::Primary {
            self.progress.push(Sample { time: asked, point: status.status.point });
        } else if let Some(delay) = lag::delay(&self.progress, status) {
            known.lag.record(delay);
        }
        let statuses = self.known.iter().filter_map(|known| known.status);
        if let Some(sample) = samples::confirmed(self.known.len(), statuses) {
            self.confirmed.push(sample);
        }
    }

    /// Takes in whether the instance answered.
    pub fn set_reachable(&mut self, ordinal: u8, reachable: bool) {
        if let Some(known) = self.known.get_mut(usize::from(ordinal)) {
            known.reachable = reachable;
        }
    }

    /// Gets the instances in order of ordinals.
    pub fn all(&self) -> &[Known] {
        &self.known
    }

    /// Gets the samples that prove the age of data.
    pub fn confirmed(&self) -> &Samples {
        &self.confirmed
    }

    /// Gets the ordinal of the primary of the highest known term, if it takes new work.
    pub fn primary(&self) -> Option<u8> {
        let highest = self.highest_term();
        let is_primary = |known: &&Known| {
            known.reachable
                && !known.leaving
                && known.status.is_some_and(|known| is_primary_of(&known.status, highest))
        };
        self.known.iter().find(is_primary).map(|known| known.id.ordinal)
    }

    /// Gets the last known statuses.
    pub fn statuses(&self) -> impl Iterator<Item = (InstanceId, InstanceStatus)> {
        self.known.iter().filter_map(|known| Some((known.id, known.status?.status)))
    }

    /// Runs `decide` on the group as a read sees it; `service` is the expected time of a read.
    pub fn with_group<T>(
        &self,
        now: Time,
        slots: &Slots,
        excluded: Excluded,
        service: Span,
        decide: impl FnOnce(&Group<'_>) -> T,
    ) -> T {
        let candidate = |known: &Known| Candidate {
            instance: known.id,
            distance: known.distance,
            state: candidate_state(known, excluded),
            known: known.status,
            lag: known.lag,
            wait: if slots.is_free(now, known.id.ordinal) { Span::ZERO } else { service },
            service,
        };
        let candidates: SmallVec<[Candidate; INLINE_INSTANCES]> =
            self.known.iter().map(candidate).collect();
        decide(&Group {
            candidates: &candidates,
            progress: &self.progress,
            confirmed: &self.confirmed,
        })
    }

    fn highest_term(&self) -> Term {
        self.statuses().map(|(_, status)| status.point.term).max().unwrap_or_default()
    }
}

fn is_primary_of(status: &InstanceStatus, term: Term) -> bool {
    status.role == Role::Primary && status.point.term == term && status.fence <= term
}

fn candidate_state(known: &Known, excluded: Excluded) -> CandidateState {
    if excluded.contains(known.id.ordinal) {
        CandidateState::Excluded
    } else if known.leaving {
        CandidateState::Leaving
    } else if known.reachable {
        CandidateState::Ready
    } else {
        CandidateState::Unreachable
    }
}
