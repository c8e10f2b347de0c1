//! Backoff of reads from replicas that are behind.

use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_routing::lag_backoff::LagBackoff;
use rstest::rstest;

const REPLICA: InstanceKey = InstanceKey(1);
const OTHER: InstanceKey = InstanceKey(2);
const AGE: Span = Span::from_millis(1_500);
const START: Time = Time(60_000_000);

/// `Read` is a read some time after `REPLICA` was found behind, and whether it is sent to `key`.
struct Read {
    key: InstanceKey,
    age: Span,
    after: Span,
    sent: bool,
}

#[rstest]
#[case::at_once(Read { key: REPLICA, age: AGE, after: Span::from_millis(1), sent: false })]
#[case::of_newer_data(Read {
    key: REPLICA,
    age: Span::from_millis(500),
    after: Span::from_millis(1),
    sent: false,
})]
#[case::of_older_data(Read {
    key: REPLICA,
    age: Span::from_millis(2_500),
    after: Span::from_millis(1),
    sent: true,
})]
#[case::after_the_backoff(Read { key: REPLICA, age: AGE, after: Span::from_secs(1), sent: true })]
#[case::of_another_replica(Read { key: OTHER, age: AGE, after: Span::from_millis(1), sent: true })]
fn a_replica_that_is_behind_is_skipped_during_its_backoff(#[case] read: Read) {
    let mut lag_backoff = LagBackoff::default();
    lag_backoff.record_behind(START, REPLICA, AGE);
    assert_eq!(!lag_backoff.is_behind(START + read.after, read.key, read.age), read.sent);
}

/// Guards against reads that miss their deadline: without backoff, every read of a database whose
/// replicas were behind for half a minute went to both replicas first, and had no time left for the
/// primary.
#[test]
fn a_replica_that_stays_behind_is_tried_at_most_twice_a_second() {
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

/// Guards against a leak: replaced replicas stayed in the table until the process ended.
#[test]
fn removed_replicas_are_dropped() {
    let mut lag_backoff = LagBackoff::default();
    for key in 0..100 {
        lag_backoff.record_behind(START + Span::from_secs(key), InstanceKey(key), AGE);
    }
    assert!(lag_backoff.count() <= 11, "{} replicas", lag_backoff.count());
}
