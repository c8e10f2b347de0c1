//! The load of each role at the target size, compared with its limits.

mod control;
mod platform;
mod serving;
mod slopes;

use crate::capacity::line::Series;
use crate::capacity::roles::slopes::Slopes;
use crate::capacity::tables::number;
use crate::capacity::target::Target;
use crate::report::Report;
use crate::report::Table;

/// `Figure` is a quantity of the load of a role.
#[derive(Clone, Debug)]
pub struct Figure {
    /// The name of the role.
    pub role: &'static str,
    /// The quantity with its unit.
    pub quantity: &'static str,
    /// The value at the target size.
    pub value: f64,
    /// The maximum value; `None` if there is no limit.
    pub limit: Option<f64>,
    /// The mechanism of the design that determines the value.
    pub mechanism: &'static str,
}

impl Figure {
    /// Returns `true` if the value is within its limit. NaN exceeds any limit.
    pub fn fits(&self) -> bool {
        self.limit.is_none_or(|limit| self.value <= limit)
    }
}

/// Adds the table of all figures to a report, and a missed target for each figure over its limit.
pub fn add_table(report: &mut Report, series: &[Series], target: &Target) {
    let columns = ["role", "quantity", "at target", "limit", "fits", "carried by"];
    let mut table = Table::new("roles at the target size", &columns);
    for figure in figures(series, target) {
        let fits = if figure.limit.is_none() {
            "-"
        } else if figure.fits() {
            "yes"
        } else {
            "NO"
        };
        let limit = figure.limit.map_or_else(String::new, number);
        let value = number(figure.value);
        report.require(
            figure.fits(),
            format!("{}: {} is {value}, over {limit}", figure.role, figure.quantity),
        );
        let Figure { role, quantity, mechanism, .. } = figure;
        table.push([
            role.to_owned(),
            quantity.to_owned(),
            value,
            limit,
            fits.to_owned(),
            mechanism.to_owned(),
        ]);
    }
    report.tables.push(table);
}

/// Computes all figures from the series.
pub fn figures(series: &[Series], target: &Target) -> Vec<Figure> {
    let slopes = Slopes { series, target };
    let mut figures = serving::entry(&slopes);
    figures.extend(serving::rate_limits(&slopes));
    figures.extend(serving::home(&slopes));
    figures.extend(control::agent(&slopes));
    figures.extend(control::agent_sums(&slopes));
    figures.extend(platform::watcher(&slopes));
    figures.extend(platform::promoter(&slopes));
    figures.extend(platform::operator(&slopes));
    figures.extend(platform::store(&slopes));
    figures
}

/// Creates a figure without a limit.
fn unlimited(
    role: &'static str,
    quantity: &'static str,
    value: f64,
    mechanism: &'static str,
) -> Figure {
    Figure { role, quantity, value, limit: None, mechanism }
}

/// Creates a figure with a limit.
fn limited(
    role: &'static str,
    quantity: &'static str,
    value: f64,
    limit: f64,
    mechanism: &'static str,
) -> Figure {
    Figure { role, quantity, value, limit: Some(limit), mechanism }
}
