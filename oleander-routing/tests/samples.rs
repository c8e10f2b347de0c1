//! Samples of the primary's position, and the lag and data age that they prove.

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_routing::lag;
use oleander_routing::samples;
use oleander_routing::samples::MAX_SAMPLES;
use oleander_routing::samples::Sample;
use oleander_routing::samples::Samples;
use oleander_routing::samples::StatusAt;
use rstest::rstest;

fn point(term: u64, position: u64) -> LogPoint {
    LogPoint { term: Term(term), position: Position(position) }
}

fn samples(all: &[(u64, u64, u64)]) -> Samples {
    let mut samples = Samples::default();
    for (time, term, position) in all {
        samples.push(Sample { time: Time(*time), point: point(*term, *position) });
    }
    samples
}

fn status(requested_at: u64, role: Role, term: u64, position: u64, fence: u64) -> StatusAt {
    let point = point(term, position);
    let status = InstanceStatus { role, point, fence: Term(fence), start: Position(0) };
    StatusAt { status, requested_at: Time(requested_at) }
}

#[rstest]
#[case::oldest_within_the_age(250, 100, Some(point(1, 20)))]
#[case::at_the_edge(300, 100, Some(point(1, 20)))]
#[case::only_the_newest(301, 100, Some(point(1, 30)))]
#[case::none_within_the_age(401, 100, None)]
fn the_floor_is_the_oldest_sample_within_the_age(
    #[case] now: u64,
    #[case] age: u64,
    #[case] floor: Option<LogPoint>,
) {
    let samples = samples(&[(100, 1, 10), (200, 1, 20), (300, 1, 30)]);
    assert_eq!(samples.floor(Time(now), Span(age)), floor);
}

#[test]
fn a_newer_term_drops_the_samples_before_it() {
    let samples = samples(&[(100, 1, 10), (200, 2, 5), (300, 1, 30)]);
    assert_eq!(samples.floor(Time(300), Span(300)), Some(point(2, 5)));
}

#[test]
fn samples_stay_bounded_and_cover_a_long_time() {
    let mut samples = Samples::default();
    let hour = 3_600_000;
    for millis in 0..hour / 20 {
        let time = Time(millis * 20_000);
        samples.push(Sample { time, point: point(1, millis) });
    }
    let now = samples.newest().unwrap().time;
    for age in [Span::from_millis(100), Span::from_secs(10), Span::from_secs(1_800)] {
        let floor = samples.floor(now, age).unwrap().position.0;
        let wanted = (now.0 - age.0) / 20_000;
        assert!(wanted <= floor, "{age:?}");
        assert!(floor - wanted <= age.0 / 20_000 / 4, "{age:?}: {floor} for {wanted}");
    }
    assert!(format!("{samples:?}").matches("Sample {").count() <= MAX_SAMPLES);
}

/// `ConfirmCase` holds the statuses of a group of three, and the time and position of the sample
/// that they confirm.
struct ConfirmCase {
    statuses: Vec<StatusAt>,
    sample: Option<(u64, u64)>,
}

#[rstest]
#[case::majority(ConfirmCase {
    statuses: vec![status(50, Role::Primary, 1, 9, 1), status(40, Role::Replica, 1, 7, 1), status(10, Role::Replica, 1, 7, 1)],
    sample: Some((40, 9)),
})]
#[case::primary_requested_earlier(ConfirmCase {
    statuses: vec![status(20, Role::Primary, 1, 9, 1), status(40, Role::Replica, 1, 7, 1), status(45, Role::Replica, 1, 7, 1)],
    sample: Some((20, 9)),
})]
#[case::only_the_old_primary_reachable(ConfirmCase {
    statuses: vec![status(50, Role::Primary, 1, 9, 1)],
    sample: None,
})]
#[case::others_fenced(ConfirmCase {
    statuses: vec![status(50, Role::Primary, 1, 9, 1), status(40, Role::Fenced, 1, 7, 2), status(45, Role::Fenced, 1, 7, 2)],
    sample: None,
})]
#[case::others_in_a_newer_term(ConfirmCase {
    statuses: vec![status(50, Role::Primary, 1, 9, 1), status(40, Role::Replica, 2, 7, 2), status(45, Role::Primary, 2, 7, 2)],
    sample: Some((45, 7)),
})]
#[case::no_primary(ConfirmCase {
    statuses: vec![status(50, Role::Replica, 1, 9, 1), status(40, Role::Replica, 1, 7, 1)],
    sample: None,
})]
fn a_majority_confirms_a_sample(#[case] case: ConfirmCase) {
    let sample = samples::confirmed(3, case.statuses);
    assert_eq!(sample.map(|sample| (sample.time.0, sample.point.position.0)), case.sample);
}

#[rstest]
#[case::caught_up(status(300, Role::Replica, 1, 30, 1), Some(0))]
#[case::one_behind(status(310, Role::Replica, 1, 20, 1), Some(110))]
#[case::between(status(310, Role::Replica, 1, 15, 1), Some(210))]
#[case::before_all(status(310, Role::Replica, 1, 5, 1), None)]
#[case::other_term(status(310, Role::Replica, 2, 20, 2), None)]
fn the_delay_counts_from_when_the_primary_passed_the_position(
    #[case] observed: StatusAt,
    #[case] delay: Option<u64>,
) {
    let samples = samples(&[(100, 1, 10), (200, 1, 20), (300, 1, 30)]);
    assert_eq!(lag::delay(&samples, observed), delay.map(Span));
}
