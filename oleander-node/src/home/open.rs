//! An open transaction with the connection that it keeps.

use std::sync::Arc;

use oleander_core::time::Span;

use super::backend::Backend;
use super::connections::Connections;
use super::connections::Kept;
use super::connections::Lease;
use super::slots::InstanceSlots;

/// The time within which a transaction must be rolled back, or its connection is closed.
const ROLLBACK_LIMIT: Span = Span::from_millis(500);

/// `OpenTransaction` is a transaction with the connection that it keeps.
///
/// Dropping it puts the connection back, which closes it unless the transaction has ended.
pub struct OpenTransaction {
    /// The workspace.
    pub workspace: String,
    /// The time for which the transaction may rest.
    pub rest: Span,
    /// `true` once a write has run in it.
    pub wrote: bool,
    connections: Arc<Connections>,
    slots: InstanceSlots,
    backend: Option<Backend>,
}

impl OpenTransaction {
    /// Makes a transaction that keeps the leased connection, which counts in `slots` until its end.
    pub(super) fn new(lease: Lease, slots: InstanceSlots, rest: Span) -> Self {
        let Kept { connections, workspace, backend } = lease.keep();
        Self { workspace, rest, wrote: false, connections, slots, backend: Some(backend) }
    }

    /// Gets the connection; `None` once it was taken.
    pub fn backend(&mut self) -> Option<&mut Backend> {
        self.backend.as_mut()
    }

    /// Ends the transaction without its commit.
    pub async fn roll_back(mut self) {
        let connections = self.connections.clone();
        let Some(backend) = self.backend() else { return };
        // A connection in an unknown state is closed, which rolls back, too.
        let _ = connections.timers().within(ROLLBACK_LIMIT, backend.roll_back()).await;
    }
}

impl Drop for OpenTransaction {
    fn drop(&mut self) {
        if let Some(backend) = self.backend.take() {
            self.connections.put_back(&self.workspace, backend);
            self.slots.disconnect();
        }
    }
}
