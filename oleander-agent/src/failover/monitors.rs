//! The running database monitors of a VM.

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

use crate::failover::reports::InstanceReports;

/// `Monitors` holds the running monitors by database, and the instance states that they report.
#[derive(Debug, Default)]
pub struct Monitors {
    pub(super) running: Mutex<HashMap<DatabaseId, Monitor>>,
    pub(super) reports: InstanceReports,
}

impl Monitors {
    /// Returns the last known state of each monitored instance, with its age at `now`.
    pub fn reports(&self, now: Time) -> Vec<InstanceReport> {
        self.reports.list(now)
    }
}

/// `Monitor` is the handle of the task that monitors one database; dropping it aborts the task.
#[derive(Debug)]
pub(super) struct Monitor {
    pub(super) database: Database,
    pub(super) rank: Rank,
    pub(super) inputs: UnboundedSender<Input>,
    pub(super) task: JoinHandle<()>,
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}
