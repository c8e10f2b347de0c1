//! The signal by which a program shuts down.

use std::sync::Arc;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::errors::Result;
use crate::errors::setup_error;

/// `Shutdown` is a one-time signal that tells the tasks of a program to stop. Clones share the
/// signal.
#[derive(Clone, Debug)]
pub struct Shutdown {
    sender: Arc<watch::Sender<bool>>,
}

impl Shutdown {
    /// Creates a signal that has not been triggered.
    pub fn new() -> Self {
        Self { sender: Arc::new(watch::Sender::new(false)) }
    }

    /// Triggers the signal; further calls have no effect.
    pub fn trigger(&self) {
        self.sender.send_replace(true);
    }

    /// Returns `true` if the signal has been triggered.
    pub fn is_triggered(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the signal is triggered; returns immediately if it already has been.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // Cannot fail, because `self` keeps the sender alive.
        let _ = receiver.wait_for(|triggered| *triggered).await;
    }

    /// Triggers the signal when the process receives SIGTERM or SIGINT.
    ///
    /// Several programs of one process may call this; the signals of all of them are triggered.
    ///
    /// # Errors
    /// Fails if the handlers cannot be installed.
    pub fn trigger_on_signals(&self) -> Result<()> {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        let (Ok(terminate), Ok(interrupt)) = (terminate, interrupt) else {
            return setup_error("cannot listen for SIGTERM and SIGINT");
        };
        tokio::spawn(forward(self.clone(), terminate, interrupt));
        Ok(())
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for one of the process signals and triggers `shutdown`.
async fn forward(shutdown: Shutdown, mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shutdown.trigger();
}
