//! Forwards requests to homes, and retries them.

use std::sync::Arc;

use oleander_core::ids::TransactionId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::messages::WorkAnswer;
use oleander_peer::messages::WorkRequest;
use oleander_routing::homes;
use oleander_routing::homes::Home;
use oleander_routing::homes::HomeState;
use oleander_routing::homes::RoundTrips;
use oleander_routing::retry;
use oleander_routing::retry::Attempt;
use oleander_routing::retry::Cut;
use oleander_routing::retry::Effect;
use oleander_routing::retry::Next;
use smallvec::SmallVec;

use crate::entry::waits::QueueWait;
use crate::fleet::view::FleetView;
use crate::proxy::Proxy;

/// The expected duration of another send; without that much time left after the backoff, a request
/// is not sent again.
const EXPECTED_SEND_TIME: Span = Span::from_millis(10);

/// The maximum wait for another view before the homes are tried again.
const VIEW_WAIT: Span = Span::from_millis(50);

/// The time after a request's deadline for which the entry VM still waits for the home's answer.
const ANSWER_GRACE: Span = Span::from_millis(100);

impl Proxy {
    /// Forwards a request to a home of its database, and to the other home if the first one failed
    /// and the request may be sent again.
    ///
    /// If no home accepts the request, waits for a view with other homes and tries again, until
    /// half of the time to the deadline has passed.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the home refused the request or no send succeeded.
    pub(crate) async fn forward(
        self: &Arc<Self>,
        mut request: WorkRequest,
        effect: Effect,
        deadline: Time,
    ) -> Result<WorkAnswer, Refusal> {
        self.retry_budget().deposit();
        let mut attempt = Attempt {
            effect,
            sends: 0,
            prior_verdict: Verdict::NotRun,
            deadline,
            expected: EXPECTED_SEND_TIME,
        };
        let mut last = None;
        let started = self.timers.now();
        let view_limit = started + Span(deadline.since(started).0 / 2);
        loop {
            // The homes are looked up for each send, because shares may have moved since the last.
            let order = self.ordered_homes(&request);
            let target = order.iter().copied().find(|vm| Some(*vm) != last).or(last);
            last = target;
            attempt.sends += 1;
            request.remaining = deadline.since(self.timers.now());
            let failure = match self.send_to(target, &request, effect).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            let Some(cut) = failure.cut else { return Err(failure.refusal) };
            let now = self.timers.now();
            if let Some(vm) = target.filter(|_| is_not_accepted(cut)) {
                let queue_wait = QueueWait { wait: homes::UNREACHABLE_WAIT, reported_at: now };
                self.queue_waits().record(request.database, vm, queue_wait);
            }
            if is_not_accepted(cut) && order.len() <= attempt.sends as usize && now < view_limit {
                // The shares are being reassigned; the next view should name the new homes.
                self.wait_for_view(now + VIEW_WAIT).await;
                attempt.sends = 0;
                continue;
            }
            let next = retry::decide(now, cut, &attempt, &mut self.retry_budget(), rand::random());
            match next {
                Next::Retry { at } => {
                    attempt.prior_verdict = attempt.prior_verdict.max(failure.refusal.verdict);
                    self.timers.sleep_until(at).await;
                }
                Next::Refuse(decided) => return Err(merge_refusals(failure.refusal, &decided)),
            }
        }
    }

    /// Forwards a request to the home that holds its transaction, without retries.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the home refused the request or the send failed.
    pub(crate) async fn forward_in_transaction(
        self: &Arc<Self>,
        mut request: WorkRequest,
        effect: Effect,
        transaction: TransactionId,
        deadline: Time,
    ) -> Result<WorkAnswer, Refusal> {
        request.remaining = deadline.since(self.timers.now());
        let result = self.send_to(Some(transaction.home), &request, effect).await;
        result.map_err(|failure| match failure.cut {
            Some(cut) => {
                Refusal { verdict: retry::outcome(cut, effect).verdict, ..failure.refusal }
            }
            None => failure.refusal,
        })
    }

    async fn send_to(
        self: &Arc<Self>,
        target: Option<VmId>,
        request: &WorkRequest,
        effect: Effect,
    ) -> Result<WorkAnswer, SendError> {
        let Some(target) = target else { return Err(SendError::of(Cut::HomeUnreachable, effect)) };
        let outcome = if target == self.vm {
            self.homes.run(request.clone()).await
        } else {
            self.call_home(target, request, effect).await?
        };
        let answer = outcome.map_err(|refusal| SendError { cut: cut_of(refusal.code), refusal })?;
        if answer.id != request.id {
            return Err(SendError::of(Cut::ReplyCrossed, effect));
        }
        let queue_wait = QueueWait { wait: answer.queued, reported_at: self.timers.now() };
        self.queue_waits().record(request.database, target, queue_wait);
        Ok(answer)
    }

    async fn call_home(
        &self,
        target: VmId,
        request: &WorkRequest,
        effect: Effect,
    ) -> Result<Result<WorkAnswer, Refusal>, SendError> {
        let address = self.fleet().members.get(&target).map(|member| member.proxy);
        let Some(address) = address else {
            return Err(SendError::of(Cut::HomeUnreachable, effect));
        };
        let limit = request.remaining + ANSWER_GRACE;
        match self.peers.call(address, &Request::Work(request.clone()), limit).await {
            Ok(Reply::Work(outcome)) => Ok(outcome),
            Ok(_) => Err(SendError::of(Cut::ReplyCrossed, effect)),
            Err(error) if error.verdict() == Verdict::NotRun => {
                Err(SendError::of(Cut::HomeUnreachable, effect))
            }
            Err(_) => Err(SendError::of(Cut::HomeLost, effect)),
        }
    }

    /// Returns the homes of the request's database in the order in which to try them.
    fn ordered_homes(&self, request: &WorkRequest) -> SmallVec<[VmId; homes::HOMES_PER_DATABASE]> {
        let view = self.fleet();
        let now = self.timers.now();
        let here = self.settings.place();
        let owners = view.homes(request.database);
        let candidates: SmallVec<[Home; homes::HOMES_PER_DATABASE]> = owners
            .iter()
            .flatten()
            .filter_map(|vm| view.members.get(vm))
            .map(|member| {
                let queue_wait = self.queue_waits().last(request.database, member.vm);
                Home {
                    vm: member.vm,
                    state: self.home_state(&view, member),
                    distance: here.distance(&member.place),
                    wait: queue_wait.wait,
                    reported_at: queue_wait.reported_at,
                }
            })
            .collect();
        homes::order(now, &candidates, &RoundTrips::default(), rand::random())
    }

    fn home_state(&self, view: &FleetView, member: &Member) -> HomeState {
        if member.vm == self.vm && !view.may_use_shares(self.timers.now()) {
            return HomeState::Suspect;
        }
        match member.state {
            MemberState::Alive => HomeState::Reachable,
            MemberState::Suspect => HomeState::Suspect,
            MemberState::Leaving => HomeState::Leaving,
        }
    }
}

/// `SendError` describes a send that failed or that the home refused.
struct SendError {
    /// The point at which the send failed; `None` if the refusal is final.
    cut: Option<Cut>,
    /// The refusal for the caller if there is no further send.
    refusal: Refusal,
}

impl SendError {
    fn of(cut: Cut, effect: Effect) -> Self {
        let outcome = retry::outcome(cut, effect);
        let refusal = Refusal {
            code: outcome.code,
            verdict: outcome.verdict,
            retry_after: retry::retry_after(outcome.code),
            detail: format!("cut at: {cut}"),
            charged: false,
        };
        Self { cut: Some(cut), refusal }
    }
}

/// Returns `true` if the home did not accept the request.
fn is_not_accepted(cut: Cut) -> bool {
    matches!(cut, Cut::HomeUnreachable | Cut::HomeDraining)
}

/// Returns the point of failure for a home's refusal if the other home may serve the request.
fn cut_of(code: RefusalCode) -> Option<Cut> {
    match code {
        RefusalCode::HomeUnreachable | RefusalCode::NotCurrent => Some(Cut::HomeUnreachable),
        RefusalCode::Draining => Some(Cut::HomeDraining),
        RefusalCode::QueueFull => Some(Cut::QueueFull),
        _ => None,
    }
}

/// Combines a refusal with the decision not to retry: keeps the code and detail of the refusal, and
/// its retry time if it has one. The verdict is the decided one, which covers all sends.
fn merge_refusals(refusal: Refusal, decided: &Refusal) -> Refusal {
    Refusal {
        verdict: decided.verdict,
        retry_after: refusal.retry_after.or(decided.retry_after),
        ..refusal
    }
}
