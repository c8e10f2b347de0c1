//! Replicas that are left alone while they are behind.

use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_routing::lag_backoff::LagBackoff;
use rstest::rstest;

const REPLICA: InstanceKey = InstanceKey(1);
const OTHER: InstanceKey = InstanceKey(2);
const AGE: Span = Span::from_millis(1_500);
const START: Time = Time(60_000_000);

/// `Asked` is a read some time after a replica was found behind, and whether it is sent there.
struct Asked {
    key: InstanceKey,
    age: Span,
    after: Span,
    sent: bool,
}

#[rstest]
#[case::at_once(Asked { key: REPLICA, age: AGE, after: Span::from_millis(1), sent: false })]
#[case::of_newer_data(Asked {
    key: REPLICA,
    age: Span::from_millis(500),
    after: Span::from_millis(1),
    sent: false,
})]
#[case::of_older_data(Asked {
    key: REPLICA,
    age: Span::from_millis(2_500),
    after: Span::from_millis(1),
    sent: true,
})]
#[case::after_its_rest(Asked { key: REPLICA, age: AGE, after: Span::from_secs(1), sent: true })]
#[case::at_another(Asked { key: OTHER, age: AGE, after: Span::from_millis(1), sent: true })]
fn a_replica_that_is_behind_is_left_alone(#[case] requested_at: Asked) {
    let mut lag_backoff = LagBackoff::default();
    lag_backoff.record_behind(START, REPLICA, AGE);
    assert_eq!(
        !lag_backoff.is_behind(START + requested_at.after, requested_at.key, requested_at.age),
        requested_at.sent
    );
}

/// All reads of a database whose replicas had been behind for half a minute went to both of them
/// first, and then had no time left at the primary.
#[test]
fn a_replica_that_stays_behind_is_asked_a_few_times_a_second() {
    let mut lag_backoff = LagBackoff::default();
    let mut sent = 0;
    for millis in 0..30_000 {
        let now = START + Span::from_millis(millis);
        if !lag_backoff.is_behind(now, REPLICA, AGE) {
            sent += 1;
            lag_backoff.record_behind(now, REPLICA, AGE);
        }
    }
    assert!(sent <= 30 * 2, "{sent} reads in 30 s");
}

#[test]
fn a_replica_that_serves_again_is_used_at_once() {
    let mut lag_backoff = LagBackoff::default();
    lag_backoff.record_behind(START, REPLICA, AGE);
    lag_backoff.record_served(REPLICA, AGE);
    assert!(!lag_backoff.is_behind(START, REPLICA, AGE));
}

/// Replicas that had been replaced stayed in the table until the process ended.
#[test]
fn replicas_that_are_gone_are_forgotten() {
    let mut lag_backoff = LagBackoff::default();
    for key in 0..100 {
        lag_backoff.record_behind(START + Span::from_secs(key), InstanceKey(key), AGE);
    }
    assert!(lag_backoff.count() <= 11, "{} replicas", lag_backoff.count());
}
