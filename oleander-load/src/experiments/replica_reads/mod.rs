//! The share of reads that replicas serve, by policy, lag and way of acknowledging writes.
//!
//! The home's real decisions run against a small fake group in virtual time. The
//! answers are checked against what each session truly has seen.

mod group;
mod outcome;
mod run;
mod setting;

use strum::IntoEnumIterator as _;

use crate::experiments::replica_reads::outcome::Outcome;
use crate::experiments::replica_reads::setting::Acknowledge;
use crate::experiments::replica_reads::setting::Policy;
use crate::experiments::replica_reads::setting::Scene;
use crate::experiments::replica_reads::setting::Setting;
use crate::experiments::replica_reads::setting::User;
use crate::report::Report;
use crate::report::Table;

/// The replica lags in milliseconds with the least share of eligible reads that replicas are to serve.
const TARGETS: [(u64, f64); 2] = [(50, 0.95), (500, 0.80)];

/// Runs the experiment from its seed.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("Reads served by replicas", seed);
    for user in User::iter() {
        for acknowledge in Acknowledge::iter() {
            for scene in Scene::iter() {
                let title = format!("{user}, {scene}, writes acknowledged {acknowledge}");
                report.tables.push(Table::new(title, &COLUMNS));
                for (lag, least) in TARGETS {
                    let setting =
                        Setting { user, acknowledge, lag, policy: Policy::ExpectedCost, scene };
                    compare(&mut report, setting, least);
                }
            }
        }
    }
    report
}

/// Adds a row for each policy to the last table.
fn compare(report: &mut Report, setting: Setting, least: f64) {
    for policy in Policy::iter() {
        let setting = Setting { policy, ..setting };
        let outcome = run::run(report.seed, setting);
        require(report, setting, &outcome, least);
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
        format!("{:.1}", 100.0 * outcome.by_replica as f64 / reads),
        format!("{:.1}", 100.0 * outcome.eligible_share()),
        outcome.stale.to_string(),
        format!("{:.2}", 100.0 * outcome.discarded as f64 / reads),
        format!("{:.2}", 100.0 * outcome.timely as f64 / reads),
        format!("{:.1}", outcome.latency_ms(0.50)),
        format!("{:.1}", outcome.latency_ms(0.99)),
    ]
}

fn require(report: &mut Report, setting: Setting, outcome: &Outcome, least: f64) {
    let Setting { user, acknowledge, lag, policy, scene } = setting;
    let name = format!("{user}, {scene}, {acknowledge}, {lag} ms, {policy}");
    report.require(outcome.stale == 0, format!("{name}: no stale answer"));
    if policy != Policy::ExpectedCost {
        return;
    }
    report.require(outcome.timely == outcome.reads, format!("{name}: all reads in time"));
    // The targets are for replicas that lag. Without one, the slots of the other do not suffice.
    if scene != Scene::Stalled {
        let target = format!("{name}: over {:.0}% of eligible reads by replicas", 100.0 * least);
        report.require(least < outcome.eligible_share(), target);
    }
}
