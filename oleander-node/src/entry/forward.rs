//! Forwards statements to instances: selects the instance and its home, and retries after failures.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::level::Horizon;
use oleander_core::places::Regions;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_peer::client::PeerClient;
use oleander_peer::errors::Error;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_ports::upstream::LinkError;
use oleander_routing::lag_backoff::LagBackoff;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_runtime::metrics::Metrics;
use oleander_session::report::InstanceReport;
use oleander_session::work::Freshness;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;
use smallvec::SmallVec;

use super::outliers::ReadOutliers;
use super::outliers::ReadPlan;
use super::overload;
use super::overload::EntryHorizons;
use super::places;
use crate::charges;
use crate::eligibility;
use crate::eligibility::Obstacle;
use crate::eligibility::Rules;
use crate::eligibility::StatementKind;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::View;
use crate::home::registry::Homes;
use crate::home::upstream;
use crate::primaries::Primaries;

/// The maximum number of VMs tried as the home of one instance.
const MAX_HOME_ATTEMPTS: usize = 2;

/// The `retry_after` of a refusal while a primary is being replaced: roughly the duration of a
/// promotion.
const PROMOTION_RETRY_AFTER: Span = Span::from_millis(600);

/// The time allowed for a call to a home beyond the statement's limit, for network latency.
const NETWORK_MARGIN: Span = Span::from_millis(100);

/// `Forwarder` sends statements to homes, local or on other VMs.
pub struct Forwarder {
    /// The view of the fleet.
    pub fleet: Arc<Fleet>,
    /// The primary of each database.
    pub primaries: Arc<Primaries>,
    /// The homes on this VM, called directly.
    pub homes: Arc<Homes>,
    /// Orders the candidates of reads; `None` unless outliers are to be detected.
    pub outliers: Option<ReadOutliers>,
    /// The replicas to avoid because they were found behind.
    pub lag_backoff: Mutex<LagBackoff>,
    /// The horizons of homes; `None` unless `NodeSettings::overload` is set.
    pub horizons: Option<EntryHorizons>,
    /// Sends calls to homes on other VMs.
    pub peers: PeerClient,
    /// Logs retries, failed statements and suspected VMs.
    pub journal: Journal,
    /// Counts retries.
    pub metrics: Metrics,
}

/// `ForwardResult` is the answer to a statement and where it ran.
#[derive(Debug)]
pub struct ForwardResult {
    /// The answer of the home.
    pub answer: HomeAnswer,
    /// The VM whose home ran the statement.
    pub home: VmId,
    /// The identifier of the instance that ran it.
    pub instance: String,
}

/// `RequiredRole` is the replication role that an instance needs to run a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequiredRole {
    /// Only the primary may run it.
    Primary,
    /// The primary or a replica that has the data may run it.
    Any,
}

impl Forwarder {
    /// Runs a statement that belongs to no open transaction on the best instance.
    ///
    /// Until `deadline`, a statement that has not run is retried on other instances, and so is a
    /// read after a transient failure.
    ///
    /// # Errors
    /// Fails with the last refusal, or with `UpstreamUnavailable` if no instance could be tried.
    pub async fn run(
        &self,
        database: DatabaseId,
        role: RequiredRole,
        mut request: HomeRequest,
        deadline: Time,
    ) -> Result<ForwardResult, Refusal> {
        let is_read = !request.work.is_write();
        let limit = request.limit;
        let mut last = None;
        let target = self.fleet.now() + request.patience;
        let age = request.freshness.age;
        let regions = request.regions.clone();
        let primary = self.primaries.primary(database);
        if let Some(refusal) =
            places::region_refusal(&self.fleet, database, role, primary, &regions)
        {
            return Err(refusal);
        }
        let mut candidates = self.candidates(database, role, age, &regions);
        if let Some(horizons) = &self.horizons {
            horizons.admit(self.fleet.now(), &request, &mut candidates)?;
        }
        let outliers = self.outliers.as_ref();
        let reads = outliers.filter(|_| role == RequiredRole::Any);
        let mut plan = reads.map_or_else(ReadPlan::default, |reads| {
            reads.plan(&self.fleet.view(), database, &mut candidates)
        });
        outliers.inspect(|outliers| outliers.record_first());
        for (index, instance) in candidates.iter().enumerate() {
            let now = self.fleet.now();
            if deadline <= now {
                break;
            }
            instance.entry.instance.as_str().clone_into(&mut request.instance);
            request.patience = deadline.min(target).since(now);
            request.limit = if self.fleet.settings.overload { deadline.since(now) } else { limit };
            let sent = reads.map(|reads| reads.start(&mut plan, instance.key, &mut request));
            let mut outcome = self.run_at(instance, &request).await;
            self.record_lag(instance.key, &request, &outcome);
            if let Err(refusal) = &outcome
                && Some(instance.key) == primary
                && lacks_own_commit(&request, refusal)
            {
                // A promotion has dropped the commit, or it belongs to an earlier database of this
                // name. The latest data has all that is left of the session's commits.
                self.log_refusal(Event::RequestRetried, &request, refusal);
                request.charge = charges::remaining_charge(request.charge, refusal);
                request.freshness = Freshness { latest: true, age: None, seen: None };
                outcome = self.run_at(instance, &request).await;
            }
            if let (Some(reads), Some(sent)) = (reads, sent) {
                reads.finish(&sent, &self.fleet.view(), &plan, outcome.as_ref().err());
            }
            let refusal = match outcome {
                Ok(ran) => return Ok(ran),
                Err(refusal) => refusal,
            };
            let retry = refusal.verdict == Verdict::NotRun || (is_read && is_transient(&refusal));
            // Another answer would take as much of this VM's memory.
            let retry = retry
                && !charges::is_over_rate(request.charge, &refusal)
                && refusal.code != RefusalCode::AnswerTooLarge;
            request.charge = charges::remaining_charge(request.charge, &refusal);
            // An instance may fail a read that another one answers.
            let retry = retry || (reads.is_some() && refusal.code == RefusalCode::UpstreamError);
            let next = candidates.get(index + 1).map(|instance| instance.key);
            let is_allowed = match (outliers, next) {
                (Some(outliers), Some(next)) if retry => outliers.may_retry(&refusal, next),
                _ => true,
            };
            if !retry || !is_allowed || refusal.code == RefusalCode::BadRequest {
                self.log_refusal(Event::StatementFailed, &request, &refusal);
                return Err(if reads.is_some() { strongest(last, refusal) } else { refusal });
            }
            self.log_refusal(Event::RequestRetried, &request, &refusal);
            self.metrics.count("request.retried", 1);
            let refusal = if reads.is_some() { strongest(last.clone(), refusal) } else { refusal };
            last = Some(match &self.horizons {
                Some(_) => overload::earliest_return(last.as_ref(), refusal),
                None => refusal,
            });
        }
        Err(self.final_refusal(database, role, last))
    }

    /// Runs a statement of an open transaction at the home that holds the transaction.
    ///
    /// # Errors
    /// Fails with the home's refusal; the statement is not retried.
    pub async fn run_in_transaction(
        &self,
        home: VmId,
        request: HomeRequest,
    ) -> Result<HomeAnswer, Refusal> {
        let outcome = match self.evacuation_refusal(&request) {
            Some(refusal) => Err(refusal),
            None => self.call(home, &request).await,
        };
        outcome.inspect_err(|refusal| self.log_refusal(Event::StatementFailed, &request, refusal))
    }

    /// Returns the refusal of a statement of an open transaction on an evacuated instance, which the
    /// home may not know to be one; `None` if the statement may be sent. The home always gets a
    /// rollback.
    fn evacuation_refusal(&self, request: &HomeRequest) -> Option<Refusal> {
        if request.work == Work::Rollback {
            return None;
        }
        let view = self.fleet.view();
        let instance = view.instances.get(&InstanceKey::from_name(&request.instance))?;
        let kind = StatementKind::InTransaction;
        let refusal = eligibility::evacuation_refusal(&self.fleet, instance, kind)?;
        self.fleet.evacuation_counts.at_entry.fetch_add(1, Ordering::Relaxed);
        Some(refusal)
    }

    fn rules<'a>(&'a self, view: &'a View, database: DatabaseId) -> Rules<'a> {
        let primary = self.primaries.primary(database);
        Rules { view, settings: &self.fleet.settings, primary, now: self.fleet.now() }
    }

    /// Returns the instances that may run a statement, in order of preference: instances that are
    /// not leaving first, then warm ones, then by distance, then replicas before the primary.
    fn candidates(
        &self,
        database: DatabaseId,
        role: RequiredRole,
        age: Option<Span>,
        regions: &Regions,
    ) -> SmallVec<[Instance; 4]> {
        let view = self.fleet.view();
        let rules = self.rules(&view, database);
        let Rules { primary, now, .. } = rules;
        let place = &self.fleet.settings.place;
        let mut instances: SmallVec<[Instance; 4]> = view
            .instances_of(database)
            .filter(|instance| match role {
                RequiredRole::Primary => Some(instance.key) == primary,
                RequiredRole::Any => true,
            })
            .filter(|instance| oleander_routing::places::allows_instance(regions, &instance.place))
            .filter(|instance| rules.obstacle(instance, StatementKind::New).is_none())
            .cloned()
            .collect();
        if let (Some(age), Some(primary)) = (age, primary) {
            let lag_backoff = self.lag_backoff();
            instances.retain(|instance| {
                instance.key == primary || !lag_backoff.is_behind(now, instance.key, age)
            });
        }
        instances.sort_by_cached_key(|instance| {
            let is_primary = Some(instance.key) == primary;
            let is_cold = self.fleet.is_cold(instance);
            let distance = instance.place.distance(place);
            (instance.entry.leaving, is_cold, distance, is_primary, instance.key)
        });
        instances
    }

    /// Updates the lag backoff from the outcome of a read with a maximum age.
    fn record_lag(
        &self,
        key: InstanceKey,
        request: &HomeRequest,
        outcome: &Result<ForwardResult, Refusal>,
    ) {
        // A read that must include its session's own commit says nothing about reads with the
        // maximum age alone, because that commit is too recent.
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

    async fn run_at(
        &self,
        instance: &Instance,
        request: &HomeRequest,
    ) -> Result<ForwardResult, Refusal> {
        let mut last = None;
        let needs_primary = request.work.is_write()
            || request.scope == Scope::First { read_only: false }
            || request.freshness.latest;
        let homes = if needs_primary {
            self.fleet.write_homes(instance)
        } else {
            self.fleet.homes(instance)
        };
        let homes = places::allowed_homes(&self.fleet, &request.regions, homes);
        for home in homes.into_iter().take(MAX_HOME_ATTEMPTS) {
            match self.call(home, request).await {
                Ok(answer) => {
                    let instance = instance.entry.instance.to_string();
                    return Ok(ForwardResult { answer, home, instance });
                }
                Err(refusal) if refusal.code == RefusalCode::HomeUnreachable => {
                    if refusal.verdict != Verdict::NotRun {
                        return Err(refusal);
                    }
                    last = Some(refusal);
                }
                // The home has lost contact with the store; another VM may still have it.
                Err(refusal) if refusal.code == RefusalCode::NotCurrent => {
                    self.log_refusal(Event::RequestRetried, request, &refusal);
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
            let outcome = self.homes.run(request.clone()).await;
            self.record_report(request, self.homes.report(&request.instance));
            let horizon = self.homes.horizon(&request.instance);
            self.record_horizon(request, horizon, outcome.as_ref().err());
            return outcome;
        }
        if !places::allows_home(&self.fleet, &request.regions, home) {
            let detail = "the home is not in an allowed region";
            return Err(Refusal::not_run(RefusalCode::UpstreamUnavailable, detail));
        }
        let Some(address) = self.fleet.address(home) else {
            let detail = "the home has left the fleet";
            return Err(Refusal::not_run(RefusalCode::HomeUnreachable, detail));
        };
        let limit = request.limit + NETWORK_MARGIN;
        let message = Request::Home(Box::new(request.clone()));
        match self.peers.call(address, &message, limit).await {
            Ok(Reply::Home(outcome)) => outcome.inspect(|answer| {
                self.record_horizon(request, answer.horizon, None);
            }),
            Ok(Reply::Refused(refusal, horizon)) => {
                self.record_horizon(request, horizon, Some(&refusal));
                Err(refusal)
            }
            Ok(Reply::Reported(outcome, report, horizon)) => {
                self.record_report(request, Some(report));
                self.record_horizon(request, horizon, outcome.as_ref().err());
                outcome
            }
            Ok(_) => Err(Refusal::may_have_run(RefusalCode::Internal, "an answer of another kind")),
            Err(Error::NoRoom(_)) => {
                let refusal = upstream::link_refusal(&LinkError::NoRoom);
                Err(upstream::answer_refusal(&request.work, refusal))
            }
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

    fn record_report(&self, request: &HomeRequest, report: Option<InstanceReport>) {
        if let (Some(outliers), Some(report)) = (&self.outliers, report) {
            outliers.record_report(InstanceKey::from_name(&request.instance), report);
        }
    }

    fn record_horizon(&self, request: &HomeRequest, horizon: Horizon, refusal: Option<&Refusal>) {
        if let Some(horizons) = &self.horizons {
            horizons.record(self.fleet.now(), request, horizon, refusal);
        }
    }

    fn log_refusal(&self, event: Event, request: &HomeRequest, refusal: &Refusal) {
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

    /// Returns the refusal of a statement that no instance ran; `last` is that of the last instance
    /// tried.
    fn final_refusal(
        &self,
        database: DatabaseId,
        role: RequiredRole,
        last: Option<Refusal>,
    ) -> Refusal {
        let is_promoting = role == RequiredRole::Primary && self.primaries.is_promoting(database);
        let refusal = match last {
            Some(refusal) => refusal,
            None if self.is_evacuated(database, role) => {
                self.fleet.evacuation_counts.at_entry.fetch_add(1, Ordering::Relaxed);
                self.rules(&self.fleet.view(), database).evacuation_refusal(database)
            }
            None => Refusal::not_run(RefusalCode::UpstreamUnavailable, "no instance can serve it"),
        };
        if is_promoting && refusal.retry_after.is_none() {
            return refusal.with_retry_after(PROMOTION_RETRY_AFTER);
        }
        refusal
    }

    /// Returns `true` if an instance that could run the statement is in an evacuated zone.
    fn is_evacuated(&self, database: DatabaseId, role: RequiredRole) -> bool {
        let view = self.fleet.view();
        let rules = self.rules(&view, database);
        let mut instances = view.instances_of(database);
        instances.any(|instance| {
            let has_role = role == RequiredRole::Any || Some(instance.key) == rules.primary;
            let obstacle = rules.obstacle(instance, StatementKind::New);
            has_role && obstacle == Some(Obstacle::Evacuated)
        })
    }
}

/// Returns the refusal that a caller gets after an earlier attempt: "not run" only if none has run.
fn strongest(earlier: Option<Refusal>, refusal: Refusal) -> Refusal {
    match earlier {
        Some(earlier) if refusal.verdict < earlier.verdict => earlier,
        _ => refusal,
    }
}

/// Returns `true` if an instance refused a read since its log lacks the session's own commit.
fn lacks_own_commit(request: &HomeRequest, refusal: &Refusal) -> bool {
    request.freshness.seen.is_some()
        && refusal.code == RefusalCode::ReplicaBehind
        && refusal.verdict == Verdict::NotRun
}

/// Returns `true` if another instance may answer although this one did not.
fn is_transient(refusal: &Refusal) -> bool {
    matches!(
        refusal.code,
        RefusalCode::UpstreamLost
            | RefusalCode::HomeUnreachable
            | RefusalCode::Timeout
            | RefusalCode::NotPrimary
    )
}
