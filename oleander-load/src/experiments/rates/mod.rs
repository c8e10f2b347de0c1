//! Fleet-wide rate limits: wrongful refusals, compared with a static split and a single owner.
//!
//! A refusal is wrongful if an ideal central bucket, given the same arrivals without any delay,
//! would have admitted the request.

mod baselines;
mod fleet;
mod scenarios;
mod setup;

use oleander_core::time::Span;

use crate::experiments::rates::scenarios::SCENARIOS;
use crate::experiments::rates::scenarios::Scenario;
use crate::experiments::rates::scenarios::Target;
use crate::experiments::rates::setup::LATENCY;
use crate::experiments::rates::setup::Outcome;
use crate::experiments::rates::setup::VMS;
use crate::report::Report;
use crate::report::Table;

/// The number of workspaces of each scenario; they differ in the owners of their fractions.
const WORKSPACES: u64 = 8;

/// Runs the experiment from its seed.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("rates over the whole fleet", seed);
    let columns = [
        "scenario",
        "policy",
        "refused",
        "ideal refuses",
        "wrongful",
        "target",
        "wait p50 ms",
        "wait p99 ms",
        "messages/s",
    ];
    let title = format!("{VMS} VMs, {} ms one way between VMs", LATENCY.as_millis());
    let mut table = Table::new(title, &columns);
    for scenario in SCENARIOS {
        run_scenario(scenario, seed, &mut table, &mut report);
    }
    report.tables.push(table);
    report
}

fn run_scenario(scenario: &Scenario, seed: u64, table: &mut Table, report: &mut Report) {
    let mut ideal_refused = 0;
    let mut fractions = Outcome::default();
    let mut split = Outcome::default();
    let mut owner = Outcome::default();
    for workspace in 0..WORKSPACES {
        let arrivals = scenario.arrivals(seed, workspace);
        let reachable = fleet::reachable_fractions(scenario, workspace);
        let ideal = baselines::ideal(scenario, reachable, &arrivals);
        ideal_refused += ideal.iter().filter(|admitted| !**admitted).count() as u64;
        for (sum, mut outcome) in [
            (&mut fractions, fleet::run(scenario, workspace, &arrivals)),
            (&mut split, baselines::static_split(scenario, &arrivals)),
            (&mut owner, baselines::single_owner(scenario, workspace, &arrivals)),
        ] {
            outcome.count_refusals(&ideal);
            sum.add(outcome);
        }
    }
    let ideal_share = ideal_refused as f64 / fractions.offered.max(1) as f64;
    check(scenario, &fractions, ideal_share, report);
    for (policy, outcome) in
        [("fractions", &mut fractions), ("static 1/N", &mut split), ("single owner", &mut owner)]
    {
        table.push([
            scenario.name.to_owned(),
            policy.to_owned(),
            percent(outcome.refused_share()),
            percent(ideal_share),
            percent(outcome.wrongful_share()),
            scenario.target.to_string(),
            millis(outcome.wait_quantile(0.5)),
            millis(outcome.wait_quantile(0.99)),
            format!("{:.1}", outcome.messages as f64 / (scenario.seconds * WORKSPACES) as f64),
        ]);
    }
}

fn check(scenario: &Scenario, outcome: &Outcome, ideal: f64, report: &mut Report) {
    let met = match scenario.target {
        Target::Wrongful(limit) => outcome.wrongful_share() < limit,
        Target::RefusedBeyondIdeal(limit) => outcome.refused_share() - ideal < limit,
        Target::None => true,
    };
    report.require(met, format!("rates: {}: {}", scenario.name, scenario.target));
}

fn percent(share: f64) -> String {
    format!("{:.3}%", share * 100.0)
}

fn millis(span: Span) -> String {
    format!("{:.1}", span.0 as f64 / 1e3)
}
