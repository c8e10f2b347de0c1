//! Fairness at a home: one workspace at ten times its rate beside the others, against plain FIFO.

mod bench;
mod fifo;

use oleander_core::time::Span;

use crate::experiments::fairness::bench::Load;
use crate::experiments::fairness::bench::NOISY;
use crate::experiments::fairness::bench::Policy;
use crate::experiments::fairness::bench::Result;
use crate::experiments::fairness::bench::WORKSPACES;
use crate::report::Report;
use crate::report::Table;

/// How many times its rate the noisy workspace sends.
const EXCESS: f64 = 10.0;
/// The least rate of timely answers, as a part of what the workspace gets alone.
const LEAST_TIMELY: f64 = 0.97;
/// The longest 99th percentile, as a multiple of what the workspace gets alone.
const MOST_P99: f64 = 1.5;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("fairness at a home", seed);
    for (policy, is_bound) in [(Policy::Fair, true), (Policy::Fifo, false)] {
        let calm = bench::run(policy, seed, &Load::default());
        let noisy = bench::run(policy, seed, &Load { excess: EXCESS, ..Load::default() });
        report.tables.push(compare(policy, &calm, &noisy));
        if is_bound {
            check(&calm, &noisy, &mut report);
        }
    }
    report
}

fn compare(policy: Policy, calm: &Result, noisy: &Result) -> Table {
    let title = format!(
        "{policy}: workspace {NOISY} at {EXCESS} times its rate; most slots in use {} of {}, most connections {} of {}",
        noisy.most_slots, noisy.slots, noisy.most_connections, noisy.connections,
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
        let (alone, beside) = (&calm.workspaces[workspace], &noisy.workspaces[workspace]);
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

fn check(calm: &Result, noisy: &Result, report: &mut Report) {
    for workspace in (0..WORKSPACES).filter(|workspace| *workspace != NOISY) {
        let (alone, beside) = (&calm.workspaces[workspace], &noisy.workspaces[workspace]);
        report.require(
            LEAST_TIMELY * alone.timely_rate() <= beside.timely_rate(),
            format!("fairness: workspace {workspace}: timely answers within 3% of those alone"),
        );
        report.require(
            beside.p99().0 as f64 <= MOST_P99 * alone.p99().0 as f64,
            format!("fairness: workspace {workspace}: p99 within 1.5 times of that alone"),
        );
    }
    for result in [calm, noisy] {
        report.require(
            result.most_slots <= result.slots && result.most_connections <= result.connections,
            "fairness: slots and connections are never exceeded",
        );
    }
}

fn millis(span: Span) -> String {
    format!("{:.1}", span.0 as f64 / 1e3)
}
