//! Charges operations to the rates of their workspaces: at the entry VM, or at the home of the first
//! statement, which with regional homes usually owns tokens of the rate itself.

use std::sync::Arc;

use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_session::work::HomeRequest;
use oleander_session::work::RateCharge;

use crate::fleet::Fleet;
use crate::fleet::STARTUP_PERIOD;
use crate::rates::Rates;

/// The divisor of the route's target latency that gives the time for which an operation waits for
/// the rate limiter: a caller that is refused by then can still retry within the target.
const RATE_WAIT_DIVISOR: u64 = 4;

/// The divisor of the route's target latency that gives the time for which an operation waits for
/// the VM's shares of the rates. The remaining time suffices to serve it within the target.
const RATE_RETRY_DIVISOR: u64 = 2;

/// The pause between two requests to the rate limiter.
const RATE_RETRY_PAUSE: Span = Span::from_millis(50);

/// `Charges` takes the tokens of operations.
#[derive(Clone)]
pub struct Charges {
    /// The clock, and the start of this VM.
    pub fleet: Arc<Fleet>,
    /// The rate limiter.
    pub rates: Rates,
}

impl Charges {
    /// Takes the tokens of an operation that was admitted at `admitted` and has the target latency
    /// `target`.
    ///
    /// # Errors
    /// Fails with `RateLimited` and verdict `NotRun` if the workspace is over its rate.
    pub async fn take(
        &self,
        workspace: WorkspaceId,
        charge: RateCharge,
        admitted: Time,
        target: Span,
    ) -> Result<(), Refusal> {
        let fleet = &self.fleet;
        let deadline = admitted + Span(target.0 / RATE_WAIT_DIVISOR);
        loop {
            let taken = self.rates.admit(workspace, charge.level, charge.cost, deadline).await;
            let Err(refusal) = taken else { return Ok(()) };
            match rate_retry_time(&refusal, fleet.now(), fleet.started(), admitted, target) {
                Some(retry_at) => fleet.timers.sleep_until(retry_at).await,
                None => return Err(refusal),
            }
        }
    }

    /// Takes the tokens of the operation that a statement at this home begins, unless none are due.
    /// Returns `true` if tokens were taken.
    ///
    /// # Errors
    /// Fails with `RateLimited` and verdict `NotRun` if the workspace is over its rate.
    pub async fn take_for(&self, request: &HomeRequest) -> Result<bool, Refusal> {
        let Some(charge) = request.charge else { return Ok(false) };
        let workspace = WorkspaceId::from_name(&request.workspace);
        self.take(workspace, charge, self.fleet.now(), request.patience).await?;
        Ok(true)
    }
}

/// Returns what is still due from an operation after a home has refused its first statement.
pub fn remaining_charge(charge: Option<RateCharge>, refusal: &Refusal) -> Option<RateCharge> {
    charge.filter(|_| !refusal.charged)
}

/// Returns `true` if a home has refused a statement because the workspace is over its rate. The home
/// has asked all owners of the rate, so that another home would refuse as well. Without a charge, the
/// refusal concerns the limit of a cold instance.
pub fn is_over_rate(charge: Option<RateCharge>, refusal: &Refusal) -> bool {
    refusal.code == RefusalCode::RateLimited && remaining_charge(charge, refusal).is_some()
}

/// Returns the time at which an operation refused by the rate limiter asks it again, or `None` if
/// the refusal is final.
///
/// `started` is the start of the VM, `admitted` that of the operation, and `target` the target
/// latency of its route.
pub fn rate_retry_time(
    refusal: &Refusal,
    now: Time,
    started: Time,
    admitted: Time,
    target: Span,
) -> Option<Time> {
    let retry_at = now + RATE_RETRY_PAUSE;
    let should_retry = refusal.code == RefusalCode::RateLimited
        && now.since(started) < STARTUP_PERIOD
        && retry_at <= admitted + Span(target.0 / RATE_RETRY_DIVISOR);
    should_retry.then_some(retry_at)
}
