//! Rolling restarts under load, in which no request may be cut off.

use std::time::Duration;

use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;

use crate::cluster::fleet::Fleet;
use crate::cluster::fleet::FleetOptions;
use crate::cluster::profile::Profile;
use crate::cluster::profile::User;
use crate::drive::plan::PlanOptions;
use crate::drive::run::ReadClass;
use crate::history::check;
use crate::history::record::Call;
use crate::history::record::Outcome;
use crate::measures::summary::Summary;
use crate::report::Report;
use crate::report::Table;
use crate::runs::live;
use crate::runs::live::Load;

/// The number of VMs of the fleet.
const VMS: usize = 4;

/// The maximum duration of the load, which normally ends soon after the last restart.
const MAX_LOAD_LENGTH: Span = Span::from_secs(1_200);

/// The load, in percent of each workspace's rate limit.
const LOAD_PERCENT: u32 = 50;

/// The time for which the load continues after the last restart.
const TAIL_LENGTH: Duration = Duration::from_secs(1);

/// Restarts the VMs in turn under load, `restarts` times in all.
///
/// Returns an error if the fleet, a VM or the load cannot be started or the load fails.
pub async fn run(restarts: usize, seed: u64) -> Result<Report, String> {
    let profile = Profile { vms: VMS, ..Profile::of(User::Magnolia) };
    let mut fleet =
        Fleet::start(profile, FleetOptions::default()).await.map_err(|error| error.to_string())?;
    let plan =
        PlanOptions { seed, length: MAX_LOAD_LENGTH, load: LOAD_PERCENT, ..PlanOptions::default() };
    let load = Load::start(&fleet, &plan, ReadClass::Routed)?;
    for count in 0..restarts {
        eprintln!("restart {} of {restarts}", count + 1);
        restart(&mut fleet, count % VMS).await?;
    }
    tokio::time::sleep(TAIL_LENGTH).await;
    let history = load.stop(&fleet).await?;
    let summary = Summary::new(&history.calls, &live::limits(&history));
    let mut report = Report::new(format!("{restarts} rolling restarts under load"), seed);
    report.tables.push(summary.table("By workspace"));
    report.tables.push(outcomes_table(&history.calls));
    let cut = history.calls.iter().filter(|call| is_cut(call)).count();
    report.require(cut == 0, format!("{cut} requests were cut by a planned stop"));
    let refused = live::refused_connections(&fleet);
    report
        .require(refused == 0, format!("{refused} connections were one too many for an instance"));
    report.missed.extend(check::check(&history).iter().map(ToString::to_string));
    Ok(report)
}

async fn restart(fleet: &mut Fleet, number: usize) -> Result<(), String> {
    let Some(node) = fleet.nodes[number].as_ref() else { return Ok(()) };
    // The load balancer checks readiness, which a VM loses at the start of its drain.
    node.proxy().start_drain();
    if let Some(node) = fleet.take_node(number) {
        node.stop().await;
    }
    fleet.restart(number).await.map_err(|error| error.to_string())
}

/// Returns `true` if the request was neither answered nor refused because of a limit of its
/// workspace.
fn is_cut(call: &Call) -> bool {
    match &call.outcome {
        Outcome::Answered { .. } => false,
        Outcome::Lost => true,
        Outcome::Refused { code, .. } => {
            !matches!(code, RefusalCode::RateLimited | RefusalCode::TooManyTransactions)
        }
    }
}

fn outcomes_table(calls: &[Call]) -> Table {
    let mut counts = std::collections::BTreeMap::<String, u64>::new();
    for call in calls {
        let name = match &call.outcome {
            Outcome::Answered { .. } => "answered".to_owned(),
            Outcome::Lost => "lost".to_owned(),
            Outcome::Refused { code, verdict, .. } => format!("{code}, {verdict}"),
        };
        *counts.entry(name).or_default() += 1;
    }
    let mut table = Table::new("Outcomes", &["outcome", "calls"]);
    for (name, count) in counts {
        table.push([name, count.to_string()]);
    }
    table
}
