//! The service statistics of each workspace and of the whole run.

use std::collections::BTreeMap;
use std::collections::HashMap;

use hdrhistogram::Histogram;
use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;
use serde::Serialize;

use crate::history::record::Call;
use crate::history::record::Operation;
use crate::history::record::Outcome;
use crate::measures::ideal;
use crate::measures::ideal::Limit;
use crate::report::Table;

/// The maximum latency of a timely answer.
pub const TIMELY_LIMIT: Span = Span::from_secs(2);

/// The maximum latency of the histogram, in microseconds; longer ones are recorded as this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// `ServiceStats` are the service statistics of one workspace or of all workspaces.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceStats {
    /// The number of calls.
    pub calls: u64,
    /// The weight of all calls that the ideal bucket admits.
    pub offered: u64,
    /// The weight of all calls that were answered within `TIMELY_LIMIT`.
    pub timely: u64,
    /// The number of answered reads.
    pub reads: u64,
    /// The number of reads that replicas answered.
    pub replica: u64,
    /// The number of calls refused by the rate limit although the ideal bucket admits them.
    pub wrongful: u64,
    /// The number of calls that the ideal bucket admits and that got another refusal or no answer.
    pub failed: u64,
    /// The median latency of answers, in milliseconds.
    pub p50: f64,
    /// The 99th percentile of the latency of answers, in milliseconds.
    pub p99: f64,
}

/// `Summary` holds the service statistics of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// The statistics of each workspace, by its name.
    pub workspaces: BTreeMap<String, ServiceStats>,
    /// The statistics over all workspaces.
    pub total: ServiceStats,
    /// The lowest share of timely weight of any workspace.
    pub worst: f64,
}

impl ServiceStats {
    /// Returns the timely weight as a share of the weight that the ideal bucket admits, at most 1.
    ///
    /// The quotient can exceed 1: over its rate, a workspace may be served other calls than those
    /// that the ideal bucket admits.
    pub fn timely_share(&self) -> f64 {
        share(self.timely, self.offered).min(1.0)
    }

    /// Returns the share of answered reads that replicas served; 1 if there were none.
    pub fn replica_share(&self) -> f64 {
        share(self.replica, self.reads)
    }

    /// Returns the share of calls that were wrongfully refused; 1 if there were no calls.
    pub fn wrongful_share(&self) -> f64 {
        share(self.wrongful, self.calls)
    }
}

impl Summary {
    /// Computes the statistics of a run's calls; `limits` holds the rate limits by workspace.
    pub fn new(calls: &[Call], limits: &HashMap<String, Limit>) -> Self {
        let admitted = ideal::admissions(calls, limits);
        let mut groups: BTreeMap<&str, Vec<ClassifiedCall<'_>>> = BTreeMap::new();
        for (call, admitted) in calls.iter().zip(admitted) {
            groups
                .entry(call.workspace.as_str())
                .or_default()
                .push(ClassifiedCall { call, admitted });
        }
        let workspaces: BTreeMap<String, ServiceStats> =
            groups.iter().map(|(name, calls)| ((*name).to_owned(), compute_stats(calls))).collect();
        let all: Vec<ClassifiedCall<'_>> = groups.into_values().flatten().collect();
        let worst = workspaces.values().map(ServiceStats::timely_share).fold(1.0, f64::min);
        Self { workspaces, total: compute_stats(&all), worst }
    }

    /// Returns a table with one row per workspace and one for all workspaces.
    pub fn table(&self, title: &str) -> Table {
        let columns = [
            "workspace",
            "calls",
            "timely",
            "replica reads",
            "wrongful",
            "failed",
            "p50 ms",
            "p99 ms",
        ];
        let mut table = Table::new(title, &columns);
        for (name, stats) in &self.workspaces {
            table.push(row(name, stats));
        }
        table.push(row("all", &self.total));
        table
    }
}

/// `ClassifiedCall` is a call with the decision of the ideal bucket.
#[derive(Clone, Copy)]
struct ClassifiedCall<'a> {
    call: &'a Call,
    admitted: bool,
}

fn compute_stats(calls: &[ClassifiedCall<'_>]) -> ServiceStats {
    let mut stats = ServiceStats { calls: calls.len() as u64, ..ServiceStats::default() };
    // The bounds are constants that are valid for a histogram.
    let mut latencies =
        Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3).expect("valid bounds");
    for classified in calls {
        count_call(&mut stats, classified);
        if matches!(classified.call.outcome, Outcome::Answered { .. }) {
            latencies.saturating_record(classified.call.latency().0);
        }
    }
    stats.p50 = latencies.value_at_quantile(0.5) as f64 / 1e3;
    stats.p99 = latencies.value_at_quantile(0.99) as f64 / 1e3;
    stats
}

fn count_call(stats: &mut ServiceStats, classified: &ClassifiedCall<'_>) {
    let ClassifiedCall { call, admitted } = *classified;
    let weight = u64::from(call.weight);
    if admitted {
        stats.offered += weight;
    }
    match &call.outcome {
        Outcome::Answered { replica, .. } => {
            let is_read = matches!(call.operation, Operation::Read { .. });
            stats.reads += u64::from(is_read);
            stats.replica += u64::from(is_read && *replica);
            stats.timely += if call.latency() <= TIMELY_LIMIT { weight } else { 0 };
        }
        Outcome::Refused { code: RefusalCode::RateLimited, .. } => {
            stats.wrongful += u64::from(admitted);
        }
        Outcome::Refused { .. } | Outcome::Lost => stats.failed += u64::from(admitted),
    }
}

fn row(name: &str, stats: &ServiceStats) -> Vec<String> {
    vec![
        name.to_owned(),
        stats.calls.to_string(),
        format_percent(stats.timely_share()),
        format_percent(stats.replica_share()),
        stats.wrongful.to_string(),
        stats.failed.to_string(),
        format!("{:.1}", stats.p50),
        format!("{:.1}", stats.p99),
    ]
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}

/// Formats a share as a percentage with two decimals.
pub fn format_percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
