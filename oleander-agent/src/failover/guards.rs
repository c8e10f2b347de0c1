//! The running guards of a VM.

use std::collections::HashMap;
use std::sync::Mutex;

use oleander_config::model::Database;
use oleander_core::ids::DatabaseId;
use oleander_core::time::Time;
use oleander_failover::messages::Input;
use oleander_failover::messages::Rank;
use oleander_membership::messages::InstanceReport;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::failover::reports::Reports;

/// `Guards` are the running guards by database.
#[derive(Debug, Default)]
pub struct Guards {
    pub(super) running: Mutex<HashMap<DatabaseId, Guard>>,
    pub(super) reports: Reports,
}

impl Guards {
    /// Gets what was last seen of the watched instances, as it stands at `now`.
    pub fn reports(&self, now: Time) -> Vec<InstanceReport> {
        self.reports.list(now)
    }
}

/// `Guard` is the task that watches one database.
#[derive(Debug)]
pub(super) struct Guard {
    pub(super) database: Database,
    pub(super) rank: Rank,
    pub(super) inputs: UnboundedSender<Input>,
    pub(super) task: JoinHandle<()>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.task.abort();
    }
}
