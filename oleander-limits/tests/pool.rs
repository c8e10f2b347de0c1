//! Tests of selecting the connection for a statement and the connection to close for a new one.

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::home::pool::Pick;
use oleander_limits::home::pool::Pool;
use oleander_limits::home::pool::PoolOptions;
use oleander_limits::home::pool::SettingsHash;
use rstest::rstest;

const NOW: Time = Time(1_000_000);
const RYE: WorkspaceId = WorkspaceId(1);
const OAT: WorkspaceId = WorkspaceId(2);
const PLAIN: SettingsHash = SettingsHash(0);
const OTHER: SettingsHash = SettingsHash(9);

/// Creates a pool with the given idle connections, in order of their last use.
fn pool(
    max_open: u32,
    keep_open: u32,
    idle: &[(&'static str, WorkspaceId, SettingsHash)],
) -> Pool<&'static str> {
    let mut pool = Pool::default();
    pool.set_options(PoolOptions { max_open, keep_open });
    for (name, workspace, settings_hash) in idle {
        assert_eq!(pool.pick(NOW, WorkspaceId(99), PLAIN), Pick::Open { close: None });
        assert_eq!(pool.put(NOW, *workspace, *settings_hash, *name), None);
    }
    pool
}

/// `Picked` is a request for a connection and the expected result.
struct Picked {
    max_open: u32,
    idle: &'static [(&'static str, WorkspaceId, SettingsHash)],
    workspace: WorkspaceId,
    settings_hash: SettingsHash,
    pick: Pick<&'static str>,
}

#[rstest]
#[case::opens_if_empty(Picked {
    max_open: 2, idle: &[], workspace: RYE, settings_hash: PLAIN, pick: Pick::Open { close: None },
})]
#[case::prefers_the_same_settings(Picked {
    max_open: 3, idle: &[("a", RYE, PLAIN), ("b", RYE, OTHER)],
    workspace: RYE, settings_hash: PLAIN, pick: Pick::Reuse("a"),
})]
#[case::takes_the_most_recently_used(Picked {
    max_open: 3, idle: &[("a", RYE, PLAIN), ("b", RYE, PLAIN)],
    workspace: RYE, settings_hash: PLAIN, pick: Pick::Reuse("b"),
})]
#[case::opens_for_another_workspace(Picked {
    max_open: 3, idle: &[("a", RYE, PLAIN)], workspace: OAT, settings_hash: PLAIN,
    pick: Pick::Open { close: None },
})]
#[case::closes_the_oldest_of_the_workspace_with_most(Picked {
    max_open: 3, idle: &[("a", OAT, PLAIN), ("b", RYE, PLAIN), ("c", RYE, PLAIN)],
    workspace: WorkspaceId(3), settings_hash: PLAIN, pick: Pick::Open { close: Some("b") },
})]
fn selects_a_connection(#[case] picked: Picked) {
    let mut pool = pool(picked.max_open, picked.max_open, picked.idle);
    assert_eq!(pool.pick(NOW, picked.workspace, picked.settings_hash), picked.pick);
}

/// Guards against wasted slots: after a power loss an instance counts the lost VM's connections for
/// 3 s. Trying to open more for each statement took a slot each time and served no request.
#[test]
fn a_refused_connection_is_not_retried_at_once() {
    let mut pool = pool(8, 8, &[("a", RYE, PLAIN)]);
    assert_eq!(pool.pick(NOW, OAT, PLAIN), Pick::Open { close: None });
    pool.record_closed();
    pool.record_refusal(NOW);
    assert_eq!(pool.max_open(NOW), 1);
    assert_eq!(pool.pick(NOW, RYE, PLAIN), Pick::Reuse("a"));
    assert_eq!(pool.pick(NOW, OAT, PLAIN), Pick::Full);
    assert_eq!(pool.max_open(NOW + Span::from_millis(301)), 8);
}

/// Guards against refusing a workspace without a connection for as long as a lost VM's connections
/// count, although other workspaces have idle ones.
#[test]
fn an_idle_connection_is_closed_if_the_instance_accepts_no_more() {
    let mut pool = pool(8, 8, &[("a", RYE, PLAIN), ("b", RYE, PLAIN)]);
    pool.record_refusal(NOW);
    assert_eq!(pool.pick(NOW, OAT, PLAIN), Pick::Open { close: Some("a") });
}

#[test]
fn an_empty_pool_retries_soon_but_not_for_each_statement() {
    let mut pool = pool(8, 8, &[]);
    assert_eq!(pool.pick(NOW, OAT, PLAIN), Pick::Open { close: None });
    pool.record_closed();
    pool.record_refusal(NOW);
    assert_eq!(pool.pick(NOW, OAT, PLAIN), Pick::Full);
    assert_eq!(pool.pick(NOW + Span::from_millis(61), OAT, PLAIN), Pick::Open { close: None });
}

/// The next home of an instance needs connections while those of a lost VM still count, so idle
/// ones are closed. Closing those in frequent use as well cost more slots than it saved.
#[test]
fn long_idle_connections_are_closed_beyond_keep_open() {
    let mut pool = pool(4, 2, &[("a", RYE, PLAIN), ("b", RYE, PLAIN)]);
    let open = Pick::Open { close: None };
    assert_eq!(pool.pick(NOW, OAT, PLAIN), open);
    assert_eq!(pool.put(NOW + Span::from_millis(900), OAT, PLAIN, "c"), None);
    assert_eq!(pool.pick(NOW, OAT, PLAIN), Pick::Reuse("c"));
    assert_eq!(pool.put(NOW + Span::from_millis(1_100), OAT, PLAIN, "c"), Some("a"));
    assert_eq!(pool.open(), 2);
}

/// Guards against a crowd of a low level whose new connections close those of a high level, which
/// then has to open them again.
#[rstest]
#[case::the_lowest_level(Span::ZERO, "low")]
#[case::a_little_used_one(Span::from_secs(2), "high")]
fn an_idle_connection_of_a_low_level_is_closed_first(
    #[case] since_first: Span,
    #[case] closed: &'static str,
) {
    let mut pool = Pool::default();
    pool.set_options(PoolOptions { max_open: 3, keep_open: 3 });
    for _ in 0..3 {
        assert_eq!(pool.pick(NOW, WorkspaceId(3), PLAIN), Pick::Open { close: None });
    }
    let now = NOW + since_first;
    pool.put_at_level(NOW, Level(0), RYE, PLAIN, "high");
    pool.put_at_level(now, Level(0), RYE, PLAIN, "high too");
    pool.put_at_level(now, Level(2), OAT, PLAIN, "low");
    assert_eq!(pool.pick(now, WorkspaceId(3), PLAIN), Pick::Open { close: Some(closed) });
}
