//! The proxy's view of the fleet.

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

/// `FleetView` is the last view from the agent, with its durations converted to times of the
/// proxy's clock. The default is the state before the first view: nothing is configured or owned.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The configuration in force.
    pub snapshot: Arc<Snapshot>,
    /// The VMs of the fleet by identifier.
    pub members: HashMap<VmId, Member>,
    /// The owners of the shares; a share that this VM may not use yet, or no longer, has none.
    pub shares: ShareMap,
    /// The time until which this VM may use its own shares.
    pub shares_until: Time,
    /// The time until which this VM's configuration counts as current.
    pub current_until: Time,
    /// The agent's last report on each instance that it pings.
    pub instances: HashMap<InstanceId, TimedReport>,
    /// The serial number of the view; reports acknowledge it.
    pub serial: u64,
    /// `true` once this VM has been told to drain.
    pub draining: bool,
}

/// `TimedReport` is an agent's report on an instance and the time at which the agent requested the
/// reported status.
#[derive(Clone, Copy, Debug)]
pub struct TimedReport {
    /// The report as received.
    pub report: InstanceReport,
    /// The earliest time at which the agent can have requested the status, on the proxy's clock.
    pub requested_at: Time,
}

impl FleetView {
    /// Converts a view from the agent; `snapshot` is the configuration in force.
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

    /// Returns `true` if this VM's configuration counts as current at `now`.
    pub fn is_current(&self, now: Time) -> bool {
        now < self.current_until
    }

    /// Returns `true` if this VM may use its own shares at `now`.
    pub fn may_use_shares(&self, now: Time) -> bool {
        now < self.shares_until
    }

    /// Returns the owners of the database's two home shares; `None` for a share without an owner.
    pub fn homes(&self, database: DatabaseId) -> [Option<VmId>; 2] {
        let shares = homes::home_shares(database, self.shares.owners.len() as u16);
        shares.map(|share| self.shares.owner(share).map(|owner| owner.vm))
    }
}

/// Converts the age in a report to a time of the proxy's clock.
///
/// The age is subtracted from `echo`, the time at which the proxy sent the message that the view
/// echoes, so that a delay in transit does not make a status appear more recent.
fn timed_report(report: InstanceReport, echo: Time) -> TimedReport {
    TimedReport { report, requested_at: Time(echo.0.saturating_sub(report.age.0)) }
}
