//! The values of the four measures of a run, formatted for tables and plots.

use oleander_core::time::Span;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator as _;

use crate::measures::summary::Summary;
use crate::measures::summary::format_percent;
use crate::report::Table;

/// `Measure` is one of the four measures.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
pub enum Measure {
    /// The share of answered reads that replicas served.
    #[strum(to_string = "reads served by replicas")]
    ReplicaShare,
    /// The time without an acknowledged write after the primary failed.
    #[strum(to_string = "failover gap")]
    FailoverGap,
    /// The lowest share of timely weight of any workspace.
    #[strum(to_string = "worst-served workspace, timely weight")]
    WorstServed,
    /// The share of calls that were refused although they were within the rate limit.
    #[strum(to_string = "refused inside the rate")]
    WrongfulRefusals,
}

/// `Gap` is the time without acknowledged writes after a failure of the primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gap {
    /// No primary failed in the run.
    NoFailure,
    /// No write was acknowledged after the failure.
    NoWrite,
    /// The time from the failure to the first acknowledged write.
    Lasted(Span),
}

/// `Figures` holds the values of the four measures of a run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// The name of the run, used as a label.
    pub name: String,
    /// The share of answered reads that replicas served, from 0 to 1.
    pub replica_share: f64,
    /// The failover gap of the database whose primary failed.
    pub gap: Gap,
    /// The lowest share of timely weight of any workspace, from 0 to 1.
    pub worst_served: f64,
    /// The share of calls that were wrongfully refused, from 0 to 1.
    pub wrongful_share: f64,
}

impl Figures {
    /// Creates the figures of a run from its summary.
    pub fn new(name: impl Into<String>, summary: &Summary, gap: Gap) -> Self {
        Self {
            name: name.into(),
            replica_share: summary.total.replica_share(),
            gap,
            worst_served: summary.worst,
            wrongful_share: summary.total.wrongful_share(),
        }
    }

    /// Returns the value of a measure, as a share from 0 to 1 or in seconds; `None` if the run has
    /// no value for it.
    pub fn value(&self, measure: Measure) -> Option<f64> {
        match measure {
            Measure::ReplicaShare => Some(self.replica_share),
            Measure::WorstServed => Some(self.worst_served),
            Measure::WrongfulRefusals => Some(self.wrongful_share),
            Measure::FailoverGap => match self.gap {
                Gap::Lasted(gap) => Some(gap.as_secs_f64()),
                Gap::NoFailure | Gap::NoWrite => None,
            },
        }
    }

    /// Formats a measure with its unit, or says why the run has no value for it.
    pub fn format_measure(&self, measure: Measure) -> String {
        match (measure, self.gap) {
            (Measure::FailoverGap, Gap::NoFailure) => "no failure".to_owned(),
            (Measure::FailoverGap, Gap::NoWrite) => "no write after the failure".to_owned(),
            _ => self.value(measure).map(|value| format_value(measure, value)).unwrap_or_default(),
        }
    }

    /// Returns a table with one row per measure.
    pub fn table(&self) -> Table {
        let title = format!("{}: the four measures", self.name);
        let mut table = Table::new(title, &["measure", "figure"]);
        for measure in Measure::iter() {
            table.push([measure.to_string(), self.format_measure(measure)]);
        }
        table
    }
}

/// Formats a value of a measure with its unit.
pub fn format_value(measure: Measure, value: f64) -> String {
    match measure {
        Measure::FailoverGap => format!("{value:.2} s"),
        _ => format_percent(value),
    }
}
