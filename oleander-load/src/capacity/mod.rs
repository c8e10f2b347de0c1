//! The size of two years from now, worked out from slopes that are measured here.
//!
//! Probes drive the real decision structs and the real peer protocol at three
//! sizes each and give series. A line is fitted through each series and read
//! off at the target size; the roles add up what each of them carries and
//! compare it with the limits. One series is measured at the target size as
//! well, as a check of the method.

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

/// Measures all slopes and compares the target size with its limits.
pub fn run(seed: u64) -> Report {
    let target = Target::default();
    let series = measure_all(seed);
    let mut report = Report::new("capacity at the target size", seed);
    tables::slopes(&mut report, &series, &target);
    roles::add(&mut report, &series, &target);
    report
}

fn measure_all(seed: u64) -> Vec<Series> {
    // Probes of memory come first, while the allocator has little to give away.
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
