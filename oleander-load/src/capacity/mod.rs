//! A capacity estimate for the size that is expected in two years.
//!
//! Probes run the production decision code and peer protocol at three sizes each and return series
//! of measurements. A line is fitted through each series and extrapolated to the target size. The
//! load of each role is computed from these values and compared with its limits. Some series
//! are also measured at the target size to check the extrapolation.

pub mod configuration;
pub mod connections;
pub mod fleet;
pub mod homes;
pub mod line;
pub mod measure;
pub mod membership;
pub mod rates;
pub mod requests;
pub mod roles;
pub mod tables;
pub mod target;
pub mod wire;

use crate::capacity::line::Series;
use crate::capacity::target::Target;
use crate::report::Report;

/// Measures all series and returns a report that compares the target size with its limits.
pub fn run(seed: u64) -> Report {
    let target = Target::default();
    let series = measure_all(seed);
    let mut report = Report::new("capacity at the target size", seed);
    tables::add_slopes(&mut report, &series, &target);
    roles::add_table(&mut report, &series, &target);
    report
}

fn measure_all(seed: u64) -> Vec<Series> {
    // Memory probes run first, while the allocator holds little freed memory that would hide
    // growth.
    let probes: [(&str, &dyn Fn() -> Vec<Series>); 7] = [
        ("connections", &connections::measure),
        ("wire", &wire::measure),
        ("homes", &homes::measure),
        ("rates", &|| rates::measure(seed)),
        ("requests", &requests::measure),
        ("configuration", &configuration::measure),
        ("membership", &|| membership::measure(seed)),
    ];
    let mut series = Vec::new();
    for (name, measure) in probes {
        eprintln!("measuring {name}");
        series.extend(measure());
    }
    series
}
