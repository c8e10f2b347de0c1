//! From a statement to an instance: which instance, by way of which home, and what follows a failure.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_routing::lag_backoff::LagBackoff;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::metrics::Metrics;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use smallvec::SmallVec;

use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::home::registry::Homes;
use crate::primaries::Primaries;

/// The VMs that are tried as the home of one instance.
const HOME_ATTEMPTS: usize = 2;

/// The time after which a caller is asked to come back while a primary is being replaced: about
/// the time of a promotion.
const PROMOTION_RETRY: Span = Span::from_millis(600);

/// The time that a home has beyond the limit of a statement, for its answer to travel.
const TRAVEL: Span = Span::from_millis(100);

/// `Forwarder` brings statements to homes.
pub struct Forwarder {
    /// What the VM believes.
    pub fleet: Arc<Fleet>,
    /// What is known of primaries.
    pub primaries: Arc<Primaries>,
    /// The homes of this VM.
    pub homes: Arc<Homes>,
    /// The replicas that were found behind.
    pub lag_backoff: Mutex<LagBackoff>,
    /// Calls to other VMs.
    pub peers: PeerClient,
    /// Records retries.
    pub journal: Journal,
    /// Counts retries.
    pub metrics: Metrics,
}

/// `Ran` is an answer with the home that gave it.
#[derive(Debug)]
pub struct Ran {
    /// The answer.
    pub answer: HomeAnswer,
    /// The home.
    pub home: VmId,
    /// The instance.
    pub instance: String,
}

/// `Need` says which instances may run a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// Only the primary.
    Primary,
    /// Any instance that has the data.
    Any,
}

impl Forwarder {
    /// Runs a statement that opens no earlier transaction on the best instance.
    ///
    /// A statement that has not run, or that only reads, is tried at further instances until
    /// `until`.
    pub async fn run(
        &self,
        database: DatabaseId,
        need: Need,
        mut request: HomeRequest,
        until: Time,
    ) -> Result<Ran, Refusal> {
        let retries = !request.work.is_write();
        let mut last = None;
        let age = request.freshness.age;
        for instance in self.candidates(database, need, age) {
            let now = self.fleet.now();
            if until <= now {
                break;
            }
            request.instance.clone_from(&instance.entry.instance);
            request.patience = until.since(now).min(request.patience);
            let outcome = self.run_at(&instance, &request).await;
            self.note_lag(instance.key, &request, &outcome);
            let refusal = match outcome {
                Ok(ran) => return Ok(ran),
                Err(refusal) => refusal,
            };
            let again = refusal.verdict == Verdict::NotRun || (retries && is_transient(&refusal));
            if !again || refusal.code == RefusalCode::BadRequest {
                self.note(Event::StatementFailed, &request, &refusal);
                return Err(refusal);
            }
            self.note(Event::RequestRetried, &request, &refusal);
            self.metrics.count("request.retried", 1);
            last = Some(refusal);
        }
        Err(self.explain(database, need, last))
    }

    /// Runs a further statement of a transaction at the home that holds it.
    pub async fn run_within(
        &self,
        home: VmId,
        request: HomeRequest,
    ) -> Result<HomeAnswer, Refusal> {
        let outcome = self.call(home, &request).await;
        outcome.inspect_err(|refusal| self.note(Event::StatementFailed, &request, refusal))
    }

    /// Gets the instances that may run a statement, the best first.
    fn candidates(
        &self,
        database: DatabaseId,
        need: Need,
        age: Option<Span>,
    ) -> SmallVec<[Instance; 4]> {
        let view = self.fleet.view();
        let primary = self.primaries.primary(database);
        let place = &self.fleet.settings.place;
        let drain_window = self.fleet.settings.drain_window();
        let now = self.fleet.now();
        let mut instances: SmallVec<[Instance; 4]> = view
            .instances_of(database)
            .filter(|instance| match need {
                Need::Primary => Some(instance.key) == primary,
                Need::Any => true,
            })
            .filter(|instance| match instance.leaving_since {
                None => true,
                // The lead is about to be handed over; after a while the instance is left alone.
                Some(at) => Some(instance.key) == primary && now.since(at) < drain_window,
            })
            .cloned()
            .collect();
        if let (Some(age), Some(primary)) = (age, primary) {
            let lag_backoff = self.lag_backoff();
            instances.retain(|it| it.key == primary || !lag_backoff.is_behind(now, it.key, age));
        }
        instances.sort_by_cached_key(|instance| {
            let is_primary = Some(instance.key) == primary;
            (instance.entry.leaving, instance.place.distance(place), is_primary, instance.key)
        });
        instances
    }

    /// Takes in what came of a read whose data may be of some age.
    fn note_lag(&self, key: InstanceKey, request: &HomeRequest, outcome: &Result<Ran, Refusal>) {
        // A session's own commit is too young to say anything of other reads.
        let (Some(age), None) = (request.freshness.age, request.freshness.seen) else { return };
        match outcome {
            Ok(_) => self.lag_backoff().record_served(key, age),
            Err(refusal) if refusal.code == RefusalCode::ReplicaBehind => {
                self.lag_backoff().record_behind(self.fleet.now(), key, age);
            }
            Err(_) => {}
        }
    }

    fn lag_backoff(&self) -> MutexGuard<'_, LagBackoff> {
        self.lag_backoff.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run_at(&self, instance: &Instance, request: &HomeRequest) -> Result<Ran, Refusal> {
        let mut last = None;
        let is_write =
            request.work.is_write() || request.scope == Scope::First { read_only: false };
        let homes =
            if is_write { self.fleet.write_homes(instance) } else { self.fleet.homes(instance) };
        for home in homes.into_iter().take(HOME_ATTEMPTS) {
            match self.call(home, request).await {
                Ok(answer) => {
                    let instance = instance.entry.instance.clone();
                    return Ok(Ran { answer, home, instance });
                }
                Err(refusal) if refusal.code == RefusalCode::HomeUnreachable => {
                    if refusal.verdict != Verdict::NotRun {
                        return Err(refusal);
                    }
                    last = Some(refusal);
                }
                // The home has lost the store; another one may have it.
                Err(refusal) if refusal.code == RefusalCode::NotCurrent => {
                    self.note(Event::RequestRetried, request, &refusal);
                    last = Some(refusal);
                }
                Err(refusal) => return Err(refusal),
            }
        }
        let none = || Refusal::not_run(RefusalCode::HomeUnreachable, "no VM can be the home");
        Err(last.unwrap_or_else(none))
    }

    async fn call(&self, home: VmId, request: &HomeRequest) -> Result<HomeAnswer, Refusal> {
        if home == self.fleet.vm {
            return self.homes.run(request).await;
        }
        let Some(address) = self.fleet.address(home) else {
            let detail = "the home has left the fleet";
            return Err(Refusal::not_run(RefusalCode::HomeUnreachable, detail));
        };
        let limit = request.limit + TRAVEL;
        let request = Request::Home(Box::new(request.clone()));
        match self.peers.call(address, &request, limit).await {
            Ok(Reply::Home(outcome)) => outcome,
            Ok(_) => Err(Refusal::may_have_run(RefusalCode::Internal, "an answer of another kind")),
            Err(error) => {
                if self.fleet.suspect(home) {
                    let fields = [Field::number("vm", home.0), Field::text("reason", error)];
                    self.journal.record(Event::PeerSuspected, &fields);
                }
                let refusal = Refusal::not_run(RefusalCode::HomeUnreachable, error.to_string());
                Err(Refusal { verdict: error.verdict(), ..refusal })
            }
        }
    }

    fn note(&self, event: Event, request: &HomeRequest, refusal: &Refusal) {
        let fields = [
            Field::text("statement", &request.statement),
            Field::text("workspace", &request.workspace),
            Field::text("instance", &request.instance),
            Field::text("code", refusal.code),
            Field::text("verdict", refusal.verdict),
            Field::text("detail", &refusal.detail),
        ];
        self.journal.record(event, &fields);
    }

    /// Makes the refusal of a statement that no instance ran.
    fn explain(&self, database: DatabaseId, need: Need, last: Option<Refusal>) -> Refusal {
        let replacing = need == Need::Primary && self.primaries.is_promoting(database);
        let refusal = match last {
            Some(refusal) => refusal,
            None => Refusal::not_run(RefusalCode::UpstreamUnavailable, "no instance can serve it"),
        };
        if replacing && refusal.retry_after.is_none() {
            return refusal.with_retry_after(PROMOTION_RETRY);
        }
        refusal
    }
}

/// Returns `true` if another instance may answer where this one did not.
fn is_transient(refusal: &Refusal) -> bool {
    matches!(
        refusal.code,
        RefusalCode::UpstreamLost | RefusalCode::HomeUnreachable | RefusalCode::Timeout
    )
}
