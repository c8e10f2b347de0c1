//! Whether the caller of a statement still waits for its answer.

use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use tokio::sync::watch;

/// `CallerGuard` is held while the caller waits; dropping it cancels the statement if it has not
/// been sent to the instance yet.
#[derive(Debug)]
pub struct CallerGuard {
    _sender: watch::Sender<()>,
}

/// `Caller` is the side of the home, which sees when the guard is dropped.
#[derive(Clone, Debug)]
pub struct Caller(watch::Receiver<()>);

/// `StartCondition` states until when a statement may start, and for whom.
#[derive(Clone, Debug)]
pub struct StartCondition {
    /// The time after which it must not start.
    pub deadline: Time,
    /// The caller; `None` if the statement runs even if nobody waits for it.
    pub caller: Option<Caller>,
}

/// Returns a guard for a caller, and what the home sees of it.
pub fn channel() -> (CallerGuard, Caller) {
    let (sender, receiver) = watch::channel(());
    (CallerGuard { _sender: sender }, Caller(receiver))
}

impl Caller {
    /// Returns `true` if the caller no longer waits.
    pub fn has_left(&self) -> bool {
        // The channel fails only once its sender has been dropped.
        self.0.has_changed().is_err()
    }

    /// Waits until the caller no longer waits.
    pub async fn left(&self) {
        let mut receiver = self.0.clone();
        while receiver.changed().await.is_ok() {}
    }
}

impl From<Time> for StartCondition {
    fn from(deadline: Time) -> Self {
        Self { deadline, caller: None }
    }
}

impl StartCondition {
    /// Runs `waiting`, which waits for something that the statement needs, until the caller leaves.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if the caller has left, and with the errors of `waiting`.
    pub async fn wait_for<T>(
        &self,
        waiting: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let Some(caller) = &self.caller else { return waiting.await };
        tokio::select! {
            biased;
            outcome = waiting => outcome,
            () = caller.left() => Err(caller_left()),
        }
    }

    /// Checks that the caller still waits.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if the caller has left.
    pub fn check(&self) -> Result<(), Refusal> {
        match &self.caller {
            Some(caller) if caller.has_left() => Err(caller_left()),
            _ => Ok(()),
        }
    }
}

fn caller_left() -> Refusal {
    Refusal::not_run(RefusalCode::DeadlineExceeded, "the caller has closed its connection")
}
