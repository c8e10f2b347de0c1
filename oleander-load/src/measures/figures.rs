//! The four measures of a run, for tables and plots.

use oleander_core::time::Span;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator as _;

use crate::measures::summary::Summary;
use crate::measures::summary::percent;
use crate::report::Table;

/// `Measure` is one of the four measures.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
pub enum Measure {
    /// The share of reads that replicas served.
    #[strum(to_string = "reads served by replicas")]
    ReplicaShare,
    /// The time without an acknowledged write after the primary failed.
    #[strum(to_string = "failover gap")]
    FailoverGap,
    /// The least share of timely weight of any workspace.
    #[strum(to_string = "worst-served workspace, timely weight")]
    WorstServed,
    /// The share of calls refused although they were inside the rate.
    #[strum(to_string = "refused inside the rate")]
    WrongfulRefusals,
}

/// `Gap` is how long writes stood still.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gap {
    /// No primary failed in the run.
    NoFailure,
    /// No write was acknowledged after the failure.
    NoWrite,
    /// The time until the first acknowledged write.
    Lasted(Span),
}

/// `Figures` holds the four measures of a run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// What was run.
    pub name: String,
    /// The share of reads that replicas served.
    pub replica: f64,
    /// The failover gap.
    pub gap: Gap,
    /// The least share of timely weight of any workspace.
    pub worst: f64,
    /// The share of calls that were wrongfully refused.
    pub wrongful: f64,
}

impl Figures {
    /// Takes the figures from the summary of a run.
    pub fn new(name: impl Into<String>, summary: &Summary, gap: Gap) -> Self {
        Self {
            name: name.into(),
            replica: summary.total.replica_share(),
            gap,
            worst: summary.worst,
            wrongful: summary.total.wrongful_share(),
        }
    }

    /// Gets a measure: a share of one, or seconds. `None` if the run has no such figure.
    pub fn value(&self, measure: Measure) -> Option<f64> {
        match measure {
            Measure::ReplicaShare => Some(self.replica),
            Measure::WorstServed => Some(self.worst),
            Measure::WrongfulRefusals => Some(self.wrongful),
            Measure::FailoverGap => match self.gap {
                Gap::Lasted(gap) => Some(gap.as_secs_f64()),
                Gap::NoFailure | Gap::NoWrite => None,
            },
        }
    }

    /// Writes a measure with its unit.
    pub fn text(&self, measure: Measure) -> String {
        match (measure, self.gap) {
            (Measure::FailoverGap, Gap::NoFailure) => "no failure".to_owned(),
            (Measure::FailoverGap, Gap::NoWrite) => "no write after the failure".to_owned(),
            _ => self.value(measure).map(|value| with_unit(measure, value)).unwrap_or_default(),
        }
    }

    /// Makes a table with a row a measure.
    pub fn table(&self) -> Table {
        let title = format!("{}: the four measures", self.name);
        let mut table = Table::new(title, &["measure", "figure"]);
        for measure in Measure::iter() {
            table.push([measure.to_string(), self.text(measure)]);
        }
        table
    }
}

/// Writes a value of a measure with its unit.
pub fn with_unit(measure: Measure, value: f64) -> String {
    match measure {
        Measure::FailoverGap => format!("{value:.2} s"),
        _ => percent(value),
    }
}
