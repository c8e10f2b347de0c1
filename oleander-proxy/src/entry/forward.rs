//! Sending a request to a home, and what follows when that fails.

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

use crate::entry::waits::Heard;
use crate::fleet::view::FleetView;
use crate::proxy::Proxy;

/// The time that one more send is expected to take.
const EXPECTED_SEND: Span = Span::from_millis(10);

/// The longest wait for another view before the homes are tried again.
const VIEW_PATIENCE: Span = Span::from_millis(50);

/// The time beyond a deadline for which the entry VM waits for the home's own answer.
const ANSWER_GRACE: Span = Span::from_millis(100);

impl Proxy {
    /// Sends a request to a home of its database; one that has not run may go to the other home.
    pub(crate) async fn forward(
        self: &Arc<Self>,
        mut request: WorkRequest,
        effect: Effect,
        deadline: Time,
    ) -> Result<WorkAnswer, Refusal> {
        self.budget().deposit();
        let mut attempt = Attempt {
            effect,
            sends: 0,
            prior_verdict: Verdict::NotRun,
            deadline,
            expected: EXPECTED_SEND,
        };
        let mut last = None;
        let started = self.timers.now();
        let patience = started + Span(deadline.since(started).0 / 2);
        loop {
            // Shares may have moved since the last send, so the homes are looked up each time.
            let order = self.homes_of(&request);
            let target = order.iter().copied().find(|vm| Some(*vm) != last).or(last);
            last = target;
            attempt.sends += 1;
            request.remaining = deadline.since(self.timers.now());
            let fault = match self.send_to(target, &request, effect).await {
                Ok(answer) => return Ok(answer),
                Err(fault) => fault,
            };
            let Some(cut) = fault.cut else { return Err(fault.refusal) };
            let now = self.timers.now();
            if let Some(vm) = target.filter(|_| is_homeless(cut)) {
                let heard = Heard { wait: homes::UNREACHABLE_WAIT, at: now };
                self.waits().record(request.database, vm, heard);
            }
            if is_homeless(cut) && order.len() <= attempt.sends as usize && now < patience {
                // Shares are changing hands; the next view names the new homes.
                self.wait_for_view(now + VIEW_PATIENCE).await;
                attempt.sends = 0;
                continue;
            }
            let next = retry::decide(now, cut, &attempt, &mut self.budget(), rand::random());
            match next {
                Next::Retry { at } => {
                    attempt.prior_verdict = attempt.prior_verdict.max(fault.refusal.verdict);
                    self.timers.sleep_until(at).await;
                }
                Next::Refuse(decided) => return Err(merge(fault.refusal, &decided)),
            }
        }
    }

    /// Sends a request to the home that holds its transaction.
    pub(crate) async fn forward_bound(
        self: &Arc<Self>,
        mut request: WorkRequest,
        effect: Effect,
        transaction: TransactionId,
        deadline: Time,
    ) -> Result<WorkAnswer, Refusal> {
        request.remaining = deadline.since(self.timers.now());
        let sent = self.send_to(Some(transaction.home), &request, effect).await;
        sent.map_err(|fault| match fault.cut {
            Some(cut) => Refusal { verdict: retry::outcome(cut, effect).verdict, ..fault.refusal },
            None => fault.refusal,
        })
    }

    async fn send_to(
        self: &Arc<Self>,
        target: Option<VmId>,
        request: &WorkRequest,
        effect: Effect,
    ) -> Result<WorkAnswer, SendFault> {
        let Some(target) = target else { return Err(SendFault::of(Cut::HomeUnreachable, effect)) };
        let outcome = if target == self.vm {
            self.homes.run(request.clone()).await
        } else {
            self.call_home(target, request, effect).await?
        };
        let answer = outcome.map_err(|refusal| SendFault { cut: cut_of(refusal.code), refusal })?;
        if answer.id != request.id {
            return Err(SendFault::of(Cut::ReplyCrossed, effect));
        }
        let heard = Heard { wait: answer.queued, at: self.timers.now() };
        self.waits().record(request.database, target, heard);
        Ok(answer)
    }

    async fn call_home(
        &self,
        target: VmId,
        request: &WorkRequest,
        effect: Effect,
    ) -> Result<Result<WorkAnswer, Refusal>, SendFault> {
        let address = self.fleet().members.get(&target).map(|member| member.proxy);
        let Some(address) = address else {
            return Err(SendFault::of(Cut::HomeUnreachable, effect));
        };
        let limit = request.remaining + ANSWER_GRACE;
        match self.peers.call(address, &Request::Work(request.clone()), limit).await {
            Ok(Reply::Work(outcome)) => Ok(outcome),
            Ok(_) => Err(SendFault::of(Cut::ReplyCrossed, effect)),
            Err(error) if error.verdict() == Verdict::NotRun => {
                Err(SendFault::of(Cut::HomeUnreachable, effect))
            }
            Err(_) => Err(SendFault::of(Cut::HomeLost, effect)),
        }
    }

    /// Gets the homes of the request's database, the best first.
    fn homes_of(&self, request: &WorkRequest) -> SmallVec<[VmId; homes::HOMES_PER_DATABASE]> {
        let view = self.fleet();
        let now = self.timers.now();
        let here = self.settings.place();
        let owners = view.homes(request.database);
        let candidates: SmallVec<[Home; homes::HOMES_PER_DATABASE]> = owners
            .iter()
            .flatten()
            .filter_map(|vm| view.members.get(vm))
            .map(|member| {
                let heard = self.waits().last(request.database, member.vm);
                Home {
                    vm: member.vm,
                    state: self.home_state(&view, member),
                    distance: here.distance(&member.place),
                    wait: heard.wait,
                    reported_at: heard.at,
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

/// `SendFault` is a send that got no result.
struct SendFault {
    /// Where it was cut; `None` if the refusal is final.
    cut: Option<Cut>,
    refusal: Refusal,
}

impl SendFault {
    fn of(cut: Cut, effect: Effect) -> Self {
        let outcome = retry::outcome(cut, effect);
        let refusal = Refusal {
            code: outcome.code,
            verdict: outcome.verdict,
            retry_after: retry::retry_after(outcome.code),
            detail: format!("cut at: {cut}"),
        };
        Self { cut: Some(cut), refusal }
    }
}

/// Returns `true` if no home took the request in.
fn is_homeless(cut: Cut) -> bool {
    matches!(cut, Cut::HomeUnreachable | Cut::HomeDraining)
}

/// Gets the cut for a refusal of a home after which the other home may serve the request.
fn cut_of(code: RefusalCode) -> Option<Cut> {
    match code {
        RefusalCode::HomeUnreachable | RefusalCode::NotCurrent => Some(Cut::HomeUnreachable),
        RefusalCode::Draining => Some(Cut::HomeDraining),
        RefusalCode::QueueFull => Some(Cut::QueueFull),
        _ => None,
    }
}

/// Keeps the code and words of the refusal, with the verdict and the time that were decided.
fn merge(refusal: Refusal, decided: &Refusal) -> Refusal {
    Refusal {
        code: refusal.code,
        verdict: decided.verdict,
        retry_after: refusal.retry_after.or(decided.retry_after),
        detail: refusal.detail,
    }
}
