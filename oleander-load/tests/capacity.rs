//! The arithmetic of the capacity estimate: fitted lines, figures and limits.

use oleander_config::sections::parse_sections;
use oleander_core::time::Span;
use oleander_load::capacity::configuration;
use oleander_load::capacity::fleet::Fleet;
use oleander_load::capacity::line::Axis;
use oleander_load::capacity::line::Point;
use oleander_load::capacity::line::Series;
use oleander_load::capacity::line::fit;
use oleander_load::capacity::membership;
use oleander_load::capacity::roles;
use oleander_load::capacity::roles::Figure;
use oleander_load::capacity::target::Target;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(0x6c69_6e65), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn fit_recovers_a_straight_line(base in -1e3..1e3_f64, slope in -1e2..1e2_f64) {
        let points = [60.0, 120.0, 240.0].map(|size| Point { size, value: base + slope * size });
        let line = fit(&points);
        prop_assert!((line.at(420.0) - (base + slope * 420.0)).abs() < 1e-6);
        prop_assert!(line.error < 1e-9);
    }
}

#[test]
fn line_error_is_maximum_distance_relative_to_maximum_value() {
    let points = [(0.0, 0.0), (1.0, 4.0), (2.0, 2.0)].map(|(size, value)| Point { size, value });
    let line = fit(&points);
    // The line is 1 + x, its distances from the points are 1, 2 and 1, and the maximum value is 4.
    assert_eq!((line.base, line.slope, line.error), (1.0, 1.0, 0.5));
}

#[test]
fn one_point_gives_a_constant_line() {
    let line = fit(&[Point { size: 5.0, value: 3.0 }]);
    assert_eq!(line.at(100.0), 3.0);
}

#[test]
fn figure_over_its_limit_does_not_fit() {
    let figure = |value, limit| Figure { role: "", quantity: "", value, limit, mechanism: "" };
    assert!(figure(4_000.0, Some(4_000.0)).fits());
    assert!(!figure(4_001.0, Some(4_000.0)).fits());
    assert!(!figure(f64::NAN, Some(4_000.0)).fits());
    assert!(figure(f64::MAX, None).fits());
}

#[test]
fn estimate_is_never_below_check_or_measurements_of_decreasing_line() {
    let mut series = Series::new("falling", Axis::Vms);
    for (size, value) in [(60_u16, 3.0), (120, 2.0), (240, 1.0)] {
        series.push(size, value);
    }
    assert_eq!(series.estimate(420.0), 3.0);
    series.check = Some(Point { size: 420.0, value: 5.0 });
    assert_eq!(series.estimate(420.0), 5.0);
}

#[test]
fn figures_are_estimated_at_the_target_size() {
    let mut series = Series::new(membership::WATCHERS, Axis::Vms);
    for size in [60_u16, 120, 240] {
        series.push(size, 2.0 + f64::from(size) / 60.0);
    }
    let figures = roles::figures(&[series], &Target::default());
    let watchers = figures.iter().find(|figure| figure.quantity == "VMs that watch the store");
    assert_eq!(watchers.map(|figure| figure.value.round()), Some(9.0));
}

#[test]
fn configurations_of_all_sizes_are_valid() {
    for databases in [3, 60, 670] {
        let document = parse_sections(&configuration::document(databases)).unwrap();
        assert_eq!(document.workspaces.len(), databases * 8 / 3);
    }
}

#[test]
fn fleet_propagates_edit_and_reassigns_shares_of_lost_zone() {
    let mut fleet = Fleet::new(16, 1);
    fleet.run(Span::from_secs(10));
    fleet.publish("- name: a\n");
    fleet.run(Span::from_secs(5));
    assert_eq!(fleet.outdated_nodes(), 0);
    fleet.stop_zone();
    assert_ne!(fleet.orphaned_shares(), 0);
    fleet.run(Span::from_secs(60));
    assert_eq!(fleet.orphaned_shares(), 0);
}
