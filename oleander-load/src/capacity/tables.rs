//! The table of all series with their fitted lines.

use crate::capacity::line::Series;
use crate::capacity::target::Target;
use crate::report::Report;
use crate::report::Table;

/// Adds the table of all series to a report.
pub fn add_slopes(report: &mut Report, series: &[Series], target: &Target) {
    let columns = [
        "quantity",
        "axis",
        "measured (size: value)",
        "base",
        "slope",
        "error",
        "at target",
        "check",
    ];
    let mut table = Table::new("slopes", &columns);
    for series in series {
        let line = series.line();
        let points: Vec<String> = series
            .points
            .iter()
            .map(|point| format!("{}: {}", point.size, number(point.value)))
            .collect();
        let at_target = target.size(series.axis).map(|size| number(series.estimate(size)));
        let check = series.check.map(|point| format!("{}: {}", point.size, number(point.value)));
        table.push([
            series.name.to_owned(),
            series.axis.to_string(),
            points.join(", "),
            number(line.base),
            number(line.slope),
            format!("{:.0}%", line.error * 100.0),
            at_target.unwrap_or_default(),
            check.unwrap_or_default(),
        ]);
    }
    report.tables.push(table);
}

/// Formats a number with about three significant digits, as a whole number or with at most four
/// decimals.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if 100.0 <= size || value == 0.0 {
        format!("{value:.0}")
    } else if 10.0 <= size {
        format!("{value:.1}")
    } else if 1.0 <= size {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
