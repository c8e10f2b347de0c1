//! The fleet as this proxy sees it.

use std::collections::HashMap;
use std::sync::Arc;

use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::ids::VmId;
use oleander_core::time::Time;
use oleander_membership::member::Member;
use oleander_membership::messages::InstanceReport;
use oleander_membership::messages::View;
use oleander_membership::shares::ShareMap;
use oleander_routing::homes;

/// `FleetView` is the last view from the agent, with its times turned into the proxy's own.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The configuration in force.
    pub snapshot: Arc<Snapshot>,
    /// The VMs of the fleet.
    pub members: HashMap<VmId, Member>,
    /// The owners of the shares.
    pub shares: ShareMap,
    /// The end of the time in which this VM may use its own shares.
    pub shares_until: Time,
    /// The end of the time in which this VM counts as current.
    pub current_until: Time,
    /// The agent's last reports on instances, with the time of each status.
    pub instances: HashMap<InstanceId, TimedReport>,
    /// The number of the view on its stream.
    pub serial: u64,
    /// `true` once this VM is to drain.
    pub draining: bool,
}

/// `TimedReport` is an agent's report on an instance, with its age turned into a time.
#[derive(Clone, Copy, Debug)]
pub struct TimedReport {
    /// The report.
    pub report: InstanceReport,
    /// The latest time at which the instance was asked.
    pub requested_at: Time,
}

impl FleetView {
    /// Makes the view that follows on this one; `snapshot` is the configuration in force.
    pub fn from_view(snapshot: Arc<Snapshot>, view: View) -> Self {
        let instances = view
            .instances
            .iter()
            .map(|report| (report.instance, timed_report(*report, view.echo)))
            .collect();
        Self {
            snapshot,
            members: view.members.into_iter().map(|member| (member.vm, member)).collect(),
            shares: view.shares,
            shares_until: view.echo + view.shares_for,
            current_until: view.echo + view.current_for,
            instances,
            serial: view.serial,
            draining: view.draining,
        }
    }

    /// Returns `true` if the VM counts as current at `now`.
    pub fn is_current(&self, now: Time) -> bool {
        now < self.current_until
    }

    /// Returns `true` if the VM may use its own shares at `now`.
    pub fn may_use_shares(&self, now: Time) -> bool {
        now < self.shares_until
    }

    /// Gets the owners of the database's two home shares.
    pub fn homes(&self, database: DatabaseId) -> [Option<VmId>; 2] {
        let shares = homes::home_shares(database, self.shares.owners.len() as u16);
        shares.map(|share| self.shares.owner(share).map(|owner| owner.vm))
    }
}

/// Counts the age from the report that the view echoes, so that a delay in transit makes nothing younger.
fn timed_report(report: InstanceReport, echo: Time) -> TimedReport {
    TimedReport { report, requested_at: Time(echo.0.saturating_sub(report.age.0)) }
}
