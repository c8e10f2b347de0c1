//! Fairness between the workspaces of a home: one workspace sends ten times its rate. Compares the
//! home queue with a plain FIFO queue.

mod bench;
mod fifo;

use oleander_core::time::Span;

use crate::experiments::fairness::bench::Load;
use crate::experiments::fairness::bench::NOISY;
use crate::experiments::fairness::bench::Outcome;
use crate::experiments::fairness::bench::Policy;
use crate::experiments::fairness::bench::WORKSPACES;
use crate::report::Report;
use crate::report::Table;

/// The load of the noisy workspace, as a multiple of its rate.
const EXCESS: f64 = 10.0;
/// The lower bound of a workspace's rate of timely answers, relative to the run without excess
/// load.
const MIN_TIMELY_RATIO: f64 = 0.97;
/// The upper bound of a workspace's 99th percentile, relative to the run without excess load.
const MAX_P99_RATIO: f64 = 1.5;

/// Runs the experiment from its seed.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("fairness at a home", seed);
    for (policy, has_targets) in [(Policy::Fair, true), (Policy::Fifo, false)] {
        let normal = bench::run(policy, seed, &Load::default());
        let noisy = bench::run(policy, seed, &Load { excess: EXCESS, ..Load::default() });
        report.tables.push(compare(policy, &normal, &noisy));
        if has_targets {
            check_targets(&normal, &noisy, &mut report);
        }
    }
    report
}

fn compare(policy: Policy, normal: &Outcome, noisy: &Outcome) -> Table {
    let title = format!(
        "{policy}: workspace {NOISY} at {EXCESS} times its rate; most slots in use {} of {}, most connections {} of {}",
        noisy.peak_slots, noisy.slots, noisy.peak_connections, noisy.connections,
    );
    let columns = [
        "workspace",
        "timely/s alone",
        "timely/s beside",
        "ratio",
        "p99 ms alone",
        "p99 ms beside",
        "ratio",
        "refused",
        "late",
    ];
    let mut table = Table::new(title, &columns);
    for workspace in 0..WORKSPACES {
        let (alone, beside) = (&normal.workspaces[workspace], &noisy.workspaces[workspace]);
        table.push([
            workspace.to_string(),
            format!("{:.2}", alone.timely_rate()),
            format!("{:.2}", beside.timely_rate()),
            format!("{:.3}", beside.timely_rate() / alone.timely_rate()),
            millis(alone.p99()),
            millis(beside.p99()),
            format!("{:.2}", beside.p99().0 as f64 / alone.p99().0.max(1) as f64),
            format!("{:.1}%", beside.refused_share() * 100.0),
            beside.late.to_string(),
        ]);
    }
    table
}

fn check_targets(normal: &Outcome, noisy: &Outcome, report: &mut Report) {
    for workspace in (0..WORKSPACES).filter(|workspace| *workspace != NOISY) {
        let (alone, beside) = (&normal.workspaces[workspace], &noisy.workspaces[workspace]);
        report.require(
            MIN_TIMELY_RATIO * alone.timely_rate() <= beside.timely_rate(),
            format!("fairness: workspace {workspace}: timely answers within 3% of those alone"),
        );
        report.require(
            beside.p99().0 as f64 <= MAX_P99_RATIO * alone.p99().0 as f64,
            format!("fairness: workspace {workspace}: p99 within 1.5 times of that alone"),
        );
    }
    for outcome in [normal, noisy] {
        report.require(
            outcome.peak_slots <= outcome.slots && outcome.peak_connections <= outcome.connections,
            "fairness: slots and connections are never exceeded",
        );
    }
}

fn millis(span: Span) -> String {
    format!("{:.1}", span.0 as f64 / 1e3)
}
