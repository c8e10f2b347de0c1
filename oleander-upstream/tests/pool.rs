//! Tests of connection pools against the simulated database group.

mod common;

use std::sync::Arc;
use std::time::Duration;

use oleander_standin::group::GroupOptions;
use oleander_upstream::errors::Error;

#[tokio::test]
async fn pool_never_exceeds_its_size_under_churn() {
    let options = GroupOptions { connections: 3, ..GroupOptions::default() };
    let group = common::group(options).await;
    let pool = common::pool(&group, 0, 3);
    let users = (0..60).map(|number: u32| {
        let pool = pool.clone();
        tokio::spawn(async move {
            let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
            connection.read("w", &common::read(), common::long_deadline()).await.unwrap();
            // Every third user closes its connection instead of returning it.
            if !number.is_multiple_of(3) {
                pool.put_back(connection);
            }
        })
    });
    for user in users.collect::<Vec<_>>() {
        user.await.unwrap();
    }
    let counters = group.counters(0);
    assert_eq!((counters.peak_connections <= 3, counters.refused), (true, 0));
}

#[tokio::test]
async fn full_pool_refuses_at_the_deadline() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let _held = pool.acquire("w", common::long_deadline()).await.unwrap();
    let error = pool.acquire("w", common::short_deadline()).await.unwrap_err();
    assert_eq!(error, Error::NoConnection);
}

#[tokio::test]
async fn connection_opened_too_late_is_kept_for_others() {
    let options = GroupOptions { connect: Duration::from_millis(400), ..GroupOptions::default() };
    let group = common::group(options).await;
    let pool = common::pool(&group, 0, 1);
    assert!(pool.acquire("w", common::short_deadline()).await.is_err());
    pool.acquire("w", common::long_deadline()).await.unwrap();
    assert_eq!(group.relay(0).accepted(), 1);
}

#[tokio::test]
async fn siblings_of_a_silent_connection_are_probed_at_once() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 3);
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(pool.acquire("w", common::long_deadline()).await.unwrap());
    }
    let mut silent = held.pop().unwrap();
    held.into_iter().for_each(|connection| pool.put_back(connection));
    group.relay(0).silence_established();
    assert!(silent.read("w", &common::read(), common::short_deadline()).await.is_err());
    pool.discard_silent(silent);
    let probed = async {
        while pool.counts().silent < 3 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(common::LONG_TIMEOUT, probed).await.expect("siblings were not probed");
    assert_eq!(pool.counts().idle, 0);
}

#[tokio::test]
async fn attached_slot_is_held_until_the_instance_has_finished() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let slot = Arc::new(());
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    connection.attach(Arc::clone(&slot));
    group.set_service(0, Duration::from_millis(1500));
    connection.read("w", &common::read(), common::short_deadline()).await.unwrap_err();
    drop(connection);
    assert_eq!((group.counters(0).running, Arc::strong_count(&slot)), (1, 2));
    let released = async {
        while Arc::strong_count(&slot) == 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(common::LONG_TIMEOUT, released).await.expect("the slot was not released");
    assert_eq!(group.counters(0).running, 0);
}

#[tokio::test]
async fn connection_of_a_cancelled_request_is_not_used_again() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    group.set_service(0, Duration::from_secs(3600));
    let statement = common::read();
    let read = connection.read("w", &statement, common::long_deadline());
    let cancelled = tokio::time::timeout(common::SHORT_TIMEOUT, read).await;
    assert!(cancelled.is_err() && !connection.is_clean());
    pool.put_back(connection);
    assert_eq!(pool.counts().idle, 0);
}

#[tokio::test]
async fn pool_opens_a_new_connection_after_a_silent_one() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut silent = pool.acquire("w", common::long_deadline()).await.unwrap();
    group.relay(0).silence_established();
    assert!(silent.read("w", &common::read(), common::short_deadline()).await.is_err());
    pool.discard_silent(silent);
    let mut fresh = pool.acquire("w", common::long_deadline()).await.unwrap();
    assert!(fresh.read("w", &common::read(), common::long_deadline()).await.is_ok());
}
