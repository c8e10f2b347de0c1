//! The measures of each workspace and of the whole run.

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

/// The time within which an answer counts as timely.
pub const TIMELY: Span = Span::from_secs(2);

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY: u64 = 60_000_000;

/// `Served` is how the calls of one workspace, or of all, fared.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Served {
    /// The calls.
    pub calls: u64,
    /// The weight of all calls that the ideal bucket admits.
    pub offered: u64,
    /// The weight of all calls that were answered in time.
    pub timely: u64,
    /// The reads that were answered.
    pub reads: u64,
    /// The reads that replicas answered.
    pub replica: u64,
    /// The calls refused as over the rate although the ideal bucket admits them.
    pub wrongful: u64,
    /// The calls that the ideal bucket admits and that got any other refusal or none at all.
    pub failed: u64,
    /// The median latency of answers, in milliseconds.
    pub p50: f64,
    /// The 99th percentile of the latency of answers, in milliseconds.
    pub p99: f64,
}

/// `Summary` holds the measures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// The measures of each workspace.
    pub workspaces: BTreeMap<String, Served>,
    /// The measures of all workspaces together.
    pub total: Served,
    /// The least share of timely weight of any workspace.
    pub worst: f64,
}

impl Served {
    /// Gets the timely weight as a share of the weight that the ideal bucket admits, at most 1.
    ///
    /// Over its rate a workspace may be served other calls than the ideal bucket's choice.
    pub fn timely_share(&self) -> f64 {
        share(self.timely, self.offered).min(1.0)
    }

    /// Gets the share of reads that replicas served.
    pub fn replica_share(&self) -> f64 {
        share(self.replica, self.reads)
    }

    /// Gets the share of calls that were wrongfully refused.
    pub fn wrongful_share(&self) -> f64 {
        share(self.wrongful, self.calls)
    }
}

impl Summary {
    /// Computes the measures from the calls of a run.
    pub fn new(calls: &[Call], limits: &HashMap<String, Limit>) -> Self {
        let admitted = ideal::admissions(calls, limits);
        let mut groups: BTreeMap<&str, Vec<Judged<'_>>> = BTreeMap::new();
        for (call, admitted) in calls.iter().zip(admitted) {
            groups.entry(call.workspace.as_str()).or_default().push(Judged { call, admitted });
        }
        let workspaces: BTreeMap<String, Served> =
            groups.iter().map(|(name, calls)| ((*name).to_owned(), serve(calls))).collect();
        let all: Vec<Judged<'_>> = groups.into_values().flatten().collect();
        let worst = workspaces.values().map(Served::timely_share).fold(1.0, f64::min);
        Self { workspaces, total: serve(&all), worst }
    }

    /// Makes a table with a row a workspace and a row for all.
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
        for (name, served) in &self.workspaces {
            table.push(row(name, served));
        }
        table.push(row("all", &self.total));
        table
    }
}

/// `Judged` is a call and whether the ideal bucket admits it.
#[derive(Clone, Copy)]
struct Judged<'a> {
    call: &'a Call,
    admitted: bool,
}

fn serve(calls: &[Judged<'_>]) -> Served {
    let mut served = Served { calls: calls.len() as u64, ..Served::default() };
    // The bounds are constants that the library accepts.
    let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY, 3).expect("valid bounds");
    for judged in calls {
        count(&mut served, judged);
        if matches!(judged.call.outcome, Outcome::Answered { .. }) {
            latencies.saturating_record(judged.call.latency().0);
        }
    }
    served.p50 = latencies.value_at_quantile(0.5) as f64 / 1e3;
    served.p99 = latencies.value_at_quantile(0.99) as f64 / 1e3;
    served
}

fn count(served: &mut Served, judged: &Judged<'_>) {
    let Judged { call, admitted } = *judged;
    let weight = u64::from(call.weight);
    if admitted {
        served.offered += weight;
    }
    match &call.outcome {
        Outcome::Answered { replica, .. } => {
            let is_read = matches!(call.operation, Operation::Read { .. });
            served.reads += u64::from(is_read);
            served.replica += u64::from(is_read && *replica);
            served.timely += if call.latency() <= TIMELY { weight } else { 0 };
        }
        Outcome::Refused { code: RefusalCode::RateLimited, .. } => {
            served.wrongful += u64::from(admitted);
        }
        Outcome::Refused { .. } | Outcome::Lost => served.failed += u64::from(admitted),
    }
}

fn row(name: &str, served: &Served) -> Vec<String> {
    vec![
        name.to_owned(),
        served.calls.to_string(),
        percent(served.timely_share()),
        percent(served.replica_share()),
        served.wrongful.to_string(),
        served.failed.to_string(),
        format!("{:.1}", served.p50),
        format!("{:.1}", served.p99),
    ]
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}

/// Writes a share as a percentage with two decimals.
pub fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
