//! The shutdown signal of a program.

use std::sync::Arc;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::errors::Result;
use crate::errors::setup_error;

/// `Shutdown` tells the parts of a program that it is to stop. Clones share the signal.
#[derive(Clone, Debug)]
pub struct Shutdown {
    sender: Arc<watch::Sender<bool>>,
}

impl Shutdown {
    /// Makes a signal that has not been given.
    pub fn new() -> Self {
        Self { sender: Arc::new(watch::Sender::new(false)) }
    }

    /// Gives the signal; further calls have no effect.
    pub fn trigger(&self) {
        self.sender.send_replace(true);
    }

    /// Returns `true` if the signal has been given.
    pub fn is_triggered(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the signal is given; returns at once if it has been.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = receiver.wait_for(|triggered| *triggered).await;
    }

    /// Gives the signal when the process receives SIGTERM or SIGINT.
    ///
    /// Every program of a process may call this; each gets the signal.
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

async fn forward(shutdown: Shutdown, mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shutdown.trigger();
}
