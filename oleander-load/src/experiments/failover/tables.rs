//! The experiment's tables and targets.

use hdrhistogram::Histogram;
use oleander_config::model::Acknowledge;
use oleander_core::time::Span;
use oleander_failover::options::Options;
use oleander_failover::options::Witness;
use strum::IntoEnumIterator as _;

use crate::experiments::failover::cost;
use crate::experiments::failover::scenarios;
use crate::experiments::failover::scenarios::Outcome;
use crate::experiments::failover::scenarios::Scenario;
use crate::report::Report;
use crate::report::Table;

/// The number of runs of each scenario.
const RUNS: u64 = 100;

/// The number of runs of each scenario in the table of variants.
const VARIANT_RUNS: u64 = 40;

/// The initial lag of the replicas in all tables but that of acknowledgement.
const DEFAULT_LAG: Span = Span::from_millis(5);

/// The upper bound of the median failover gap.
const MEDIAN_TARGET: Span = Span::from_secs(2);

/// The upper bound of the failover gap when one part of the fleet fails: in every scenario but
/// `Scenario::LossyNetwork`.
const WORST_TARGET: Span = Span::from_secs(4);

/// The upper bound of the failover gap in any run, also when messages are lost.
const LOSSY_TARGET: Span = Span::from_secs(10);

/// The greatest latency at which a write counts as timely.
const TIMELY: Span = Span::from_millis(250);

/// Runs the experiment from its seed.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("failover: detection, promotion and acknowledgement", seed);
    let gaps = gap_table(seed, &mut report);
    report.tables.push(gaps);
    report.tables.push(policy_table(seed));
    let acks = acknowledge_table(seed, &mut report);
    report.tables.push(acks);
    let storms = storm_table(seed, &mut report);
    report.tables.push(storms);
    let pings = cost::table(&mut report);
    report.tables.push(pings);
    report
}

fn gap_table(seed: u64, report: &mut Report) -> Table {
    let columns = [
        "scenario",
        "p50 ms",
        "p99 ms",
        "max ms",
        "none",
        "promotions",
        "abandoned",
        "lost",
        "doubled",
    ];
    let mut table = Table::new(format!("Failover gap over {RUNS} runs a scenario"), &columns);
    let mut all = histogram();
    for scenario in Scenario::iter() {
        let outcomes = outcomes(scenario, Options::default(), seed, RUNS);
        let gaps = gaps(&outcomes);
        table.push(gap_row(&scenario.to_string(), &gaps, &outcomes));
        check_targets(scenario, &gaps, &outcomes, report);
        if scenario.needs_promotion() {
            all.add(&gaps).expect("the histograms have the same bounds");
        }
    }
    let median = Span::from_millis(all.value_at_quantile(0.5));
    report.require(median < MEDIAN_TARGET, "median gap under 2 s");
    table
}

fn check_targets(
    scenario: Scenario,
    gaps: &Histogram<u64>,
    outcomes: &[Outcome],
    report: &mut Report,
) {
    let worst = Span::from_millis(gaps.max());
    let limit = if scenario == Scenario::LossyNetwork { LOSSY_TARGET } else { WORST_TARGET };
    report.require(worst < limit, format!("{scenario}: worst gap under {} s", limit.as_secs_f64()));
    report.require(gaps.len() == RUNS, format!("{scenario}: every run recovers"));
    let (lost, doubled) = lost_and_doubled(outcomes);
    report.require(lost == 0, format!("{scenario}: no acknowledged write lost"));
    report.require(doubled == 0, format!("{scenario}: no write doubled"));
    if scenario == Scenario::BadLink {
        let promotions: usize = outcomes.iter().map(|outcome| outcome.promotions).sum();
        report.require(promotions == 0, "no promotion from one VM's own bad link");
    }
}

/// Compares the policy with variants of detection, under the same faults.
fn policy_table(seed: u64) -> Table {
    let base = Options::default();
    let variants = [
        ("policy", base),
        ("two misses", Options { misses: 2, ..base }),
        ("five misses", Options { misses: 5, ..base }),
        ("no second opinion", Options { witness: Witness::Skipped, ..base }),
        ("no stagger", Options { stagger: Span::ZERO, ..base }),
        ("slow pings", Options { ping_interval: Span::from_secs(1), ..base }),
    ];
    let columns = [
        "variant",
        "lost primary p50 ms",
        "lossy p99 ms",
        "zone lost max ms",
        "promotions: bad link",
        "short pause",
        "abandoned",
    ];
    let title = format!("Detection: the policy beside its variants, {VARIANT_RUNS} runs each");
    let mut table = Table::new(title, &columns);
    for (name, options) in variants {
        let run = |scenario| outcomes(scenario, options, seed, VARIANT_RUNS);
        let lost = gaps(&run(Scenario::PrimaryLost));
        let lossy = run(Scenario::LossyNetwork);
        let zone = run(Scenario::ZoneLost);
        let promotions =
            |scenario| -> usize { run(scenario).iter().map(|outcome| outcome.promotions).sum() };
        let abandoned = lossy.iter().chain(&zone).map(|outcome| outcome.abandoned).sum::<usize>();
        table.push([
            name.to_owned(),
            lost.value_at_quantile(0.5).to_string(),
            gaps(&lossy).value_at_quantile(0.99).to_string(),
            gaps(&zone).max().to_string(),
            promotions(Scenario::BadLink).to_string(),
            promotions(Scenario::ShortPause).to_string(),
            abandoned.to_string(),
        ]);
    }
    table
}

fn acknowledge_table(seed: u64, report: &mut Report) -> Table {
    let columns =
        ["acknowledge", "lag ms", "timely %", "p50 ms", "p99 ms", "lost a promotion", "gap p50 ms"];
    let title = "Acknowledgement: one lost primary a run, timely within 250 ms";
    let mut table = Table::new(title, &columns);
    for lag in [5, 50, 500].map(Span::from_millis) {
        for acknowledge in [Acknowledge::Replicated, Acknowledge::Primary] {
            let setup = scenarios::setup(Options::default(), acknowledge, lag);
            let runs = (0..RUNS).map(|run| {
                scenarios::run(Scenario::PrimaryLost, setup, seed.wrapping_mul(1_000) + run)
            });
            let outcomes: Vec<Outcome> = runs.collect();
            let (lost, _) = lost_and_doubled(&outcomes);
            let name = acknowledge.to_string();
            table.push(acknowledge_row(&name, lag, &outcomes));
            if acknowledge == Acknowledge::Replicated {
                let lag = lag.as_millis();
                report.require(lost == 0, format!("replicated, {lag} ms lag: no write lost"));
            }
        }
    }
    table
}

fn acknowledge_row(name: &str, lag: Span, outcomes: &[Outcome]) -> Vec<String> {
    let mut latencies = histogram();
    let sent: usize = outcomes.iter().map(|outcome| outcome.sent).sum();
    let all = outcomes.iter().flat_map(|outcome| &outcome.latencies);
    let timely = all.clone().filter(|latency| **latency <= TIMELY).count();
    all.for_each(|latency| latencies.saturating_record(latency.as_millis()));
    let promotions: usize = outcomes.iter().map(|outcome| outcome.promotions).sum();
    let (lost, _) = lost_and_doubled(outcomes);
    vec![
        name.to_owned(),
        lag.as_millis().to_string(),
        format!("{:.1}", 100.0 * timely as f64 / sent as f64),
        latencies.value_at_quantile(0.5).to_string(),
        latencies.value_at_quantile(0.99).to_string(),
        format!("{:.2}", lost as f64 / promotions.max(1) as f64),
        gaps(outcomes).value_at_quantile(0.5).to_string(),
    ]
}

fn storm_table(seed: u64, report: &mut Report) -> Table {
    let columns = ["runs", "promotions", "abandoned", "acknowledged", "lost", "doubled"];
    let mut table = Table::new("Storms: 4 to 11 overlapping faults a run", &columns);
    let setup = scenarios::setup(Options::default(), Acknowledge::Replicated, DEFAULT_LAG);
    let runs = (0..RUNS).map(|run| scenarios::storm(setup, seed.wrapping_mul(1_000) + run));
    let outcomes: Vec<Outcome> = runs.collect();
    let (lost, doubled) = lost_and_doubled(&outcomes);
    report.require(lost == 0, "storms: no acknowledged write lost");
    report.require(doubled == 0, "storms: no write doubled");
    let sum = |count: fn(&Outcome) -> usize| outcomes.iter().map(count).sum::<usize>().to_string();
    table.push([
        RUNS.to_string(),
        sum(|outcome| outcome.promotions),
        sum(|outcome| outcome.abandoned),
        sum(|outcome| outcome.latencies.len()),
        lost.to_string(),
        doubled.to_string(),
    ]);
    table
}

fn outcomes(scenario: Scenario, options: Options, seed: u64, runs: u64) -> Vec<Outcome> {
    let setup = scenarios::setup(options, Acknowledge::Replicated, DEFAULT_LAG);
    let run = |run| scenarios::run(scenario, setup, seed.wrapping_mul(1_000) + run);
    (0..runs).map(run).collect()
}

fn gap_row(name: &str, gaps: &Histogram<u64>, outcomes: &[Outcome]) -> Vec<String> {
    let (lost, doubled) = lost_and_doubled(outcomes);
    vec![
        name.to_owned(),
        gaps.value_at_quantile(0.5).to_string(),
        gaps.value_at_quantile(0.99).to_string(),
        gaps.max().to_string(),
        (outcomes.len() as u64 - gaps.len()).to_string(),
        outcomes.iter().map(|outcome| outcome.promotions).sum::<usize>().to_string(),
        outcomes.iter().map(|outcome| outcome.abandoned).sum::<usize>().to_string(),
        lost.to_string(),
        doubled.to_string(),
    ]
}

/// Returns the numbers of acknowledged writes that were lost and of writes that were doubled.
fn lost_and_doubled(outcomes: &[Outcome]) -> (u64, u64) {
    let lost = outcomes.iter().map(|outcome| outcome.lost).sum();
    (lost, outcomes.iter().map(|outcome| outcome.doubled).sum())
}

fn gaps(outcomes: &[Outcome]) -> Histogram<u64> {
    let mut gaps = histogram();
    for gap in outcomes.iter().filter_map(|outcome| outcome.gap) {
        gaps.saturating_record(gap.as_millis());
    }
    gaps
}

/// Returns an empty histogram of milliseconds up to one minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000, 3).expect("the bounds are valid")
}
