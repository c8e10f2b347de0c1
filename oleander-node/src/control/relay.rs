//! Calls to the store through another VM while this one does not reach it.
//!
//! The store may turn some VMs away and serve the others. Without its lease a VM would have to give
//! up its shares and duties, and the rates and databases in its care would wait for new owners. Only
//! a VM whose own calls succeed passes calls on, so that a store that is down for all is not called
//! more often for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Verdict;
use oleander_membership::leased::LEASE_RULES;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::messages::StoreCall;
use oleander_peer::messages::StoreFailure;
use oleander_peer::messages::StoreReply;
use oleander_ports::store::Changes;
use oleander_ports::store::Commit;
use oleander_ports::store::CommitOutcome;
use oleander_ports::store::Entry;
use oleander_ports::store::Expectation;
use oleander_ports::store::KeyValueStore;
use oleander_ports::store::LeaseGrant;
use oleander_ports::store::LeaseId;
use oleander_ports::store::ReadResponse;
use oleander_ports::store::StoreError;
use oleander_ports::store::StoreRevision;
use oleander_ports::store::Write;
use rand::seq::IteratorRandom as _;
use smallvec::SmallVec;

use crate::fleet::Fleet;

/// The time after a failed call for which calls are sent through other VMs at once.
const DOWN_TIME: Span = Span::from_millis(1_000);

/// The time since its last successful call after which a VM passes no calls on: a little longer
/// than the time between two renewals of a lease.
const SOUND_TIME: Span = Span::from_millis(2_500);

/// The number of VMs that are asked to pass one call on.
const RELAYS: usize = 2;

/// The time within which a VM must have passed a call on: the time limit of a call to the store and
/// a round trip between regions.
const RELAY_TIMEOUT: Span = Span::from_millis(900);

/// `RelayedStore` calls the store, or another VM that does.
pub struct RelayedStore {
    own: Arc<dyn KeyValueStore>,
    fleet: Arc<Fleet>,
    peers: PeerClient,
    path: Mutex<Path>,
    /// The number of calls of this VM to the store itself, by kind.
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

/// `Path` is what is known of this VM's own way to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Path {
    /// The time of the last successful call; 0 before the first one.
    succeeded: Time,
    /// The time until which the store counts as unreachable.
    down_until: Time,
}

impl Path {
    /// Records the outcome of a call of this VM.
    pub fn record(&mut self, now: Time, succeeded: bool) {
        if succeeded {
            *self = Self { succeeded: now, down_until: Time(0) };
        } else {
            self.down_until = now + DOWN_TIME;
        }
    }

    /// Returns `true` while calls should be sent through other VMs.
    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Returns `true` if calls of other VMs may be passed on.
    pub fn is_sound(&self, now: Time) -> bool {
        !self.is_down(now) && self.succeeded != Time(0) && now.since(self.succeeded) <= SOUND_TIME
    }
}

impl RelayedStore {
    /// Creates a client that calls `own`, or other VMs of the fleet.
    pub fn new(own: Arc<dyn KeyValueStore>, fleet: Arc<Fleet>, peers: PeerClient) -> Self {
        Self { own, fleet, peers, path: Mutex::default(), counts: Mutex::default() }
    }

    /// Returns the number of calls of this VM to the store, by kind. Calls that it has passed on for
    /// others are included, its own calls through others are not.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.lock_counts().clone()
    }

    fn count(&self, kind: &'static str) {
        *self.lock_counts().entry(kind).or_default() += 1;
    }

    fn lock_counts(&self) -> MutexGuard<'_, BTreeMap<&'static str, u64>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes on a call of another VM.
    pub async fn serve(&self, call: StoreCall) -> StoreReply {
        if !self.path().is_sound(self.fleet.now()) {
            return StoreReply::Failed(StoreFailure::NotRun);
        }
        let outcome = self.run_noted(&call).await;
        outcome.unwrap_or_else(|error| StoreReply::Failed(failure(error)))
    }

    /// Runs a call by this VM's own way, or through other VMs if that fails without an effect. While
    /// the own way is down, the other VMs come first.
    async fn call(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        if self.path().is_down(self.fleet.now()) {
            match self.relay(&call).await {
                Err(error) if is_relayed(&call, error) => self.run_noted(&call).await,
                outcome => outcome,
            }
        } else {
            match self.run_noted(&call).await {
                Err(error) if is_relayed(&call, error) => {
                    self.relay(&call).await.map_err(|relayed| stronger(error, relayed))
                }
                outcome => outcome,
            }
        }
    }

    async fn run_noted(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        self.count(call.into());
        let outcome = self.run(call).await;
        self.note(outcome.as_ref().err());
        outcome
    }

    /// Sends a call through other VMs, one after the other.
    async fn relay(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        for address in self.relays(call) {
            let request = Request::Store(call.clone());
            match self.peers.call(address, &request, RELAY_TIMEOUT).await {
                Ok(Reply::Store(StoreReply::Failed(failure))) => {
                    let error = error(failure);
                    if !is_relayed(call, error) {
                        return Err(error);
                    }
                }
                Ok(Reply::Store(reply)) => return Ok(reply),
                Ok(_) => {}
                Err(error) if error.verdict() == Verdict::NotRun || call.is_repeatable() => {}
                Err(_) => return Err(StoreError::Lost),
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn run(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        match call {
            StoreCall::Grant { ttl } => {
                let granted = self.own.grant(*ttl).await?;
                if granted.ttl < *ttl {
                    // The VM that asks would count the lease by the TTL that it has requested. If this
                    // fails, the lease expires by itself.
                    let _ = self.own.revoke(granted.lease).await;
                    return Err(StoreError::Refused);
                }
                let LeaseId { number, era } = granted.lease;
                Ok(StoreReply::Granted { number, era })
            }
            StoreCall::Renew { number, era } => {
                let applied = self.own.renew(LeaseId { number: *number, era: *era }).await?;
                if applied.is_some_and(|ttl| ttl < self.fleet.settings.lease_ttl()) {
                    // As above; the VM lets its own count of the lease run out.
                    return Err(StoreError::Refused);
                }
                Ok(StoreReply::Done)
            }
            StoreCall::GrantLease { ttl } => {
                let LeaseGrant { lease: LeaseId { number, era }, ttl } =
                    self.own.grant(*ttl).await?;
                Ok(StoreReply::Leased { number, era, ttl })
            }
            StoreCall::RenewLease { number, era } => {
                let ttl = self.own.renew(LeaseId { number: *number, era: *era }).await?;
                Ok(StoreReply::Renewed { ttl })
            }
            StoreCall::Revoke { number, era } => {
                self.own.revoke(LeaseId { number: *number, era: *era }).await?;
                Ok(StoreReply::Done)
            }
            StoreCall::Read { key } => {
                let ReadResponse { revision, entries } = self.own.read(key).await?;
                let entry = entries.into_iter().next();
                let entry = entry.map(|entry| (entry.value, entry.revision.0));
                Ok(StoreReply::Read { revision: revision.0, entry })
            }
            StoreCall::Commit { expected, puts, lease } => {
                let expectation = |(key, revision): &(String, u64)| Expectation {
                    key: key.clone(),
                    revision: StoreRevision(*revision),
                };
                let put = |(key, value): &(String, Vec<u8>)| Write::Put {
                    key: key.clone(),
                    value: value.clone(),
                };
                let commit = Commit {
                    expected: expected.iter().map(expectation).collect(),
                    writes: puts.iter().map(put).collect(),
                };
                let lease = lease.map(|(number, era)| LeaseId { number, era });
                match self.own.commit(&commit, lease).await? {
                    CommitOutcome::Committed(revision) => Ok(StoreReply::Committed(revision.0)),
                    CommitOutcome::Conflict => Ok(StoreReply::Conflict),
                }
            }
        }
    }

    /// Returns the addresses of VMs that may pass a call on, chosen at random. Builds that do not tell
    /// the TTL that applies pass no lease calls of this VM on.
    fn relays(&self, call: &StoreCall) -> SmallVec<[SocketAddr; RELAYS]> {
        let fleet = &self.fleet;
        let view = fleet.view();
        let others = view.roster.others(fleet.vm).filter(|member| {
            fleet.is_up(member.vm()) && (!call.asks_ttl() || LEASE_RULES <= member.leases)
        });
        let chosen = others.sample(&mut rand::rng(), RELAYS);
        chosen.into_iter().map(|member| member.peers).collect()
    }

    /// Records the outcome of a call of this VM; any answer shows that the store is reached.
    fn note(&self, error: Option<&StoreError>) {
        let lost = [StoreError::Unavailable, StoreError::OverRate, StoreError::Lost];
        let succeeded = error.is_none_or(|error| !lost.contains(error));
        let now = self.fleet.now();
        self.path().record(now, succeeded);
        if succeeded {
            self.fleet.mark_contact(now);
        }
    }

    fn path(&self) -> MutexGuard<'_, Path> {
        self.path.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl KeyValueStore for RelayedStore {
    /// Calls the store itself: other VMs tell its changes by `Request::Follow`.
    async fn read_all(&self) -> Result<ReadResponse, StoreError> {
        self.count("read_all");
        let outcome = self.own.read_all().await;
        self.note(outcome.as_ref().err());
        outcome
    }

    async fn read(&self, key: &str) -> Result<ReadResponse, StoreError> {
        match self.call(StoreCall::Read { key: key.to_owned() }).await? {
            StoreReply::Read { revision, entry } => {
                let entries = entry.map(|(value, revision)| Entry {
                    key: key.to_owned(),
                    value,
                    revision: StoreRevision(revision),
                });
                let revision = StoreRevision(revision);
                Ok(ReadResponse { revision, entries: entries.into_iter().collect() })
            }
            _ => Err(StoreError::Refused),
        }
    }

    /// Calls the store itself, as `read_all` does.
    async fn watch(&self, after: StoreRevision, wait: Span) -> Result<Changes, StoreError> {
        self.count("watch");
        let outcome = self.own.watch(after, wait).await;
        self.note(outcome.as_ref().err());
        outcome
    }

    async fn commit(
        &self,
        commit: &Commit,
        lease: Option<LeaseId>,
    ) -> Result<CommitOutcome, StoreError> {
        let Some(call) = commit_call(commit, lease) else {
            self.count("commit");
            return self.own.commit(commit, lease).await;
        };
        match self.call(call).await? {
            StoreReply::Committed(revision) => {
                Ok(CommitOutcome::Committed(StoreRevision(revision)))
            }
            StoreReply::Conflict => Ok(CommitOutcome::Conflict),
            _ => Err(StoreError::Refused),
        }
    }

    async fn grant(&self, ttl: Span) -> Result<LeaseGrant, StoreError> {
        match self.call(StoreCall::GrantLease { ttl }).await? {
            StoreReply::Leased { number, era, ttl } => {
                Ok(LeaseGrant { lease: LeaseId { number, era }, ttl })
            }
            _ => Err(StoreError::Refused),
        }
    }

    async fn renew(&self, lease: LeaseId) -> Result<Option<Span>, StoreError> {
        let LeaseId { number, era } = lease;
        match self.call(StoreCall::RenewLease { number, era }).await? {
            StoreReply::Renewed { ttl } => Ok(ttl),
            _ => Err(StoreError::Refused),
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let LeaseId { number, era } = lease;
        self.call(StoreCall::Revoke { number, era }).await.map(drop)
    }
}

/// Returns the call for a commit; `None` if it deletes keys, which no call does.
fn commit_call(commit: &Commit, lease: Option<LeaseId>) -> Option<StoreCall> {
    let put = |write: &Write| match write {
        Write::Put { key, value } => Some((key.clone(), value.clone())),
        Write::Delete { .. } => None,
    };
    let expected = commit.expected.iter();
    Some(StoreCall::Commit {
        expected: expected.map(|item| (item.key.clone(), item.revision.0)).collect(),
        puts: commit.writes.iter().map(put).collect::<Option<_>>()?,
        lease: lease.map(|lease| (lease.number, lease.era)),
    })
}

/// Returns `true` if a failed call may be sent through another VM: it had no effect, or a second
/// one does no harm.
fn is_relayed(call: &StoreCall, error: StoreError) -> bool {
    match error {
        StoreError::Unavailable | StoreError::OverRate => true,
        StoreError::Lost => call.is_repeatable(),
        StoreError::Compacted | StoreError::LeaseEnded | StoreError::Refused => false,
    }
}

/// Returns the error of two attempts: if the first may have been executed, so may the call.
fn stronger(first: StoreError, second: StoreError) -> StoreError {
    if first == StoreError::Lost { first } else { second }
}

fn failure(error: StoreError) -> StoreFailure {
    match error {
        StoreError::Unavailable | StoreError::OverRate => StoreFailure::NotRun,
        StoreError::Lost => StoreFailure::MayHaveRun,
        StoreError::LeaseEnded => StoreFailure::LeaseEnded,
        StoreError::Compacted | StoreError::Refused => StoreFailure::Refused,
    }
}

fn error(failure: StoreFailure) -> StoreError {
    match failure {
        StoreFailure::NotRun => StoreError::Unavailable,
        StoreFailure::MayHaveRun => StoreError::Lost,
        StoreFailure::LeaseEnded => StoreError::LeaseEnded,
        StoreFailure::Refused => StoreError::Refused,
    }
}
