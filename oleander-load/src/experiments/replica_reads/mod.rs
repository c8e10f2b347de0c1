//! The proportion of reads that replicas serve, by policy, replica lag and acknowledgement mode.
//!
//! The production read routing of a home runs against a simulated group in virtual time. The
//! answers are checked against the positions that each session has really seen.

mod group;
mod outcome;
mod run;
mod setting;

use strum::IntoEnumIterator as _;

use crate::experiments::replica_reads::outcome::Outcome;
use crate::experiments::replica_reads::setting::Acknowledge;
use crate::experiments::replica_reads::setting::Policy;
use crate::experiments::replica_reads::setting::Scenario;
use crate::experiments::replica_reads::setting::Setting;
use crate::experiments::replica_reads::setting::User;
use crate::report::Report;
use crate::report::Table;

/// The replica lags in milliseconds, each with the proportion of eligible reads that replicas must
/// exceed.
const TARGETS: [(u64, f64); 2] = [(50, 0.95), (500, 0.80)];

/// Runs the experiment from its seed.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("Reads served by replicas", seed);
    for user in User::iter() {
        for acknowledge in Acknowledge::iter() {
            for scenario in Scenario::iter() {
                let title = format!("{user}, {scenario}, writes acknowledged {acknowledge}");
                report.tables.push(Table::new(title, &COLUMNS));
                for (lag, min_ratio) in TARGETS {
                    let setting =
                        Setting { user, acknowledge, lag, policy: Policy::ExpectedCost, scenario };
                    compare(&mut report, setting, min_ratio);
                }
            }
        }
    }
    report
}

/// Adds a row for each policy to the last table.
fn compare(report: &mut Report, setting: Setting, min_ratio: f64) {
    for policy in Policy::iter() {
        let setting = Setting { policy, ..setting };
        let outcome = run::run(report.seed, setting);
        check_targets(report, setting, &outcome, min_ratio);
        if let Some(table) = report.tables.last_mut() {
            table.push(row(setting, &outcome));
        }
    }
}

const COLUMNS: [&str; 10] = [
    "lag ms",
    "policy",
    "reads",
    "replica %",
    "of eligible %",
    "stale",
    "discarded %",
    "timely %",
    "p50 ms",
    "p99 ms",
];

fn row(setting: Setting, outcome: &Outcome) -> [String; 10] {
    let reads = outcome.reads as f64;
    [
        setting.lag.to_string(),
        setting.policy.to_string(),
        outcome.reads.to_string(),
        format!("{:.1}", 100.0 * outcome.from_replicas as f64 / reads),
        format!("{:.1}", 100.0 * outcome.eligible_ratio()),
        outcome.stale.to_string(),
        format!("{:.2}", 100.0 * outcome.discarded as f64 / reads),
        format!("{:.2}", 100.0 * outcome.timely as f64 / reads),
        format!("{:.1}", outcome.latency_ms(0.50)),
        format!("{:.1}", outcome.latency_ms(0.99)),
    ]
}

fn check_targets(report: &mut Report, setting: Setting, outcome: &Outcome, min_ratio: f64) {
    let Setting { user, acknowledge, lag, policy, scenario } = setting;
    let name = format!("{user}, {scenario}, {acknowledge}, {lag} ms, {policy}");
    report.require(outcome.stale == 0, format!("{name}: no stale answer"));
    if policy != Policy::ExpectedCost {
        return;
    }
    report.require(outcome.timely == outcome.reads, format!("{name}: all reads in time"));
    // The targets apply to lagging replicas. With one replica stalled, the slots of the other do
    // not suffice.
    if scenario != Scenario::Stalled {
        let target =
            format!("{name}: over {:.0}% of eligible reads by replicas", 100.0 * min_ratio);
        report.require(min_ratio < outcome.eligible_ratio(), target);
    }
}
