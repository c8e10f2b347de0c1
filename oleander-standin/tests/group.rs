//! Tests of the database group stand-in against the interface that upstream connections rely on.

use std::time::Duration;

use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_standin::group::Group;
use oleander_standin::group::GroupOptions;
use rstest::rstest;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::types::Type;

const LONG: Duration = Duration::from_secs(20);

fn options() -> GroupOptions {
    GroupOptions { lag: Duration::ZERO, ..GroupOptions::default() }
}

async fn connect(group: &Group, ordinal: usize) -> Result<Client, tokio_postgres::Error> {
    let address = group.addresses()[ordinal];
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("proxy").dbname("db");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn enter(client: &Client, workspace: &str) {
    let sql = "SELECT set_config('oleander.workspace', $1, false)";
    client.query_typed(sql, &[(&workspace, Type::TEXT)]).await.unwrap();
}

async fn insert(client: &Client, value: &str) -> Result<(), tokio_postgres::Error> {
    let sql = "INSERT INTO entries (key, value) VALUES ($1, $2)";
    client.query_typed(sql, &[(&"k", Type::TEXT), (&value, Type::TEXT)]).await.map(|_| ())
}

async fn values(client: &Client) -> Vec<String> {
    let sql = "SELECT value FROM entries WHERE key = $1";
    let rows = client.query_typed(sql, &[(&"k", Type::TEXT)]).await.unwrap();
    rows.iter().map(|row| row.get(0)).collect()
}

async fn change_role(client: &Client, function: &str, term: i64) -> Result<String, String> {
    let sql = format!("SELECT role, term, position, fence, start FROM oleander_{function}($1)");
    let rows = client.query_typed(&sql, &[(&term, Type::INT8)]).await;
    rows.map(|rows| rows[0].get(0)).map_err(|error| error.code().unwrap().code().to_owned())
}

#[tokio::test]
async fn workspaces_do_not_see_each_other() {
    let group = Group::start(options()).await.unwrap();
    let client = connect(&group, 0).await.unwrap();
    enter(&client, "mine").await;
    insert(&client, "1").await.unwrap();
    let mine = values(&client).await;
    enter(&client, "theirs").await;
    assert_eq!((mine, values(&client).await), (vec!["1".to_owned()], Vec::new()));
}

#[tokio::test]
async fn replica_applies_changes_only_after_its_lag() {
    let group = Group::start(options()).await.unwrap();
    group.set_lag(1, Duration::from_secs(3600));
    let client = connect(&group, 0).await.unwrap();
    enter(&client, "w").await;
    insert(&client, "1").await.unwrap();
    assert_eq!(group.status(1).point.position, Position(1));
    assert_eq!(group.status(2).point.position, Position(2));
}

#[rstest]
#[case::commit("COMMIT", 1)]
#[case::rollback("ROLLBACK", 0)]
#[tokio::test]
async fn transaction_takes_effect_at_its_end(#[case] end: &str, #[case] changes: usize) {
    let group = Group::start(options()).await.unwrap();
    let client = connect(&group, 0).await.unwrap();
    enter(&client, "w").await;
    client.query_typed("BEGIN", &[]).await.unwrap();
    insert(&client, "1").await.unwrap();
    assert_eq!((values(&client).await.len(), group.changes(0).len()), (1, 0));
    client.query_typed(end, &[]).await.unwrap();
    assert_eq!(group.changes(0).len(), changes);
}

#[tokio::test]
async fn replica_refuses_writes() {
    let group = Group::start(options()).await.unwrap();
    let client = connect(&group, 1).await.unwrap();
    enter(&client, "w").await;
    let error = insert(&client, "1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25006");
}

#[tokio::test]
async fn promotion_needs_a_fence_at_its_term() {
    let group = Group::start(options()).await.unwrap();
    let client = connect(&group, 1).await.unwrap();
    let refused = Err("55000".to_owned());
    assert_eq!(change_role(&client, "promote", 2).await, refused);
    assert_eq!(change_role(&client, "fence", 2).await, Ok("fenced".to_owned()));
    assert_eq!(change_role(&client, "fence", 2).await, refused);
    assert_eq!(change_role(&client, "promote", 2).await, Ok("primary".to_owned()));
    assert_eq!((group.primary(), group.status(1).start), (Some(1), Position(1)));
}

#[tokio::test]
async fn replaced_primary_discards_the_history_that_the_new_one_lacks() {
    let group = Group::start(options()).await.unwrap();
    group.partition(1);
    let old = connect(&group, 0).await.unwrap();
    enter(&old, "w").await;
    insert(&old, "lost").await.unwrap();
    group.partition(0);
    group.heal(1);
    let new = connect(&group, 1).await.unwrap();
    change_role(&new, "fence", 2).await.unwrap();
    change_role(&new, "promote", 2).await.unwrap();
    group.heal(0);
    let new_connection = connect(&group, 0).await.unwrap();
    assert_eq!(change_role(&new_connection, "follow", 2).await, Ok("replica".to_owned()));
    // An instance that discards history closes all connections but the one that ordered it.
    assert!(old.query_typed("SELECT 1", &[]).await.is_err());
    let status = group.status(0);
    assert_eq!((status.role, status.fence), (Role::Replica, Term(2)));
    assert!(group.changes(0).is_empty());
}

#[tokio::test]
async fn overruns_and_refused_connections_are_counted() {
    let group = Group::start(GroupOptions { slots: 1, connections: 2, ..options() }).await.unwrap();
    group.set_service(0, Duration::from_millis(400));
    let (one, two) = (connect(&group, 0).await.unwrap(), connect(&group, 0).await.unwrap());
    let refused = connect(&group, 0).await.unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "53300");
    enter(&one, "w").await;
    enter(&two, "w").await;
    let (left, right) = tokio::join!(insert(&one, "1"), insert(&two, "2"));
    left.and(right).unwrap();
    let counters = group.counters(0);
    assert_eq!((counters.peak_running, counters.overruns, counters.refused), (2, 1, 1));
}

#[tokio::test]
async fn silencing_established_connections_leaves_new_ones_working() {
    let group = Group::start(options()).await.unwrap();
    let old = connect(&group, 0).await.unwrap();
    group.relay(0).silence_established();
    let new = connect(&group, 0).await.unwrap();
    assert!(new.query_typed("SELECT 1", &[]).await.is_ok());
    let silent = tokio::time::timeout(Duration::from_millis(200), old.query_typed("SELECT 1", &[]));
    assert!(silent.await.is_err());
}

#[tokio::test]
async fn only_requests_with_the_pattern_are_counted() {
    let group = Group::start(options()).await.unwrap();
    group.relay(0).count_matches("secret-key");
    let client = connect(&group, 0).await.unwrap();
    enter(&client, "w").await;
    assert_eq!(group.relay(0).match_count(), 0);
    tokio::time::timeout(LONG, insert(&client, "secret-key")).await.unwrap().unwrap();
    assert_eq!(group.relay(0).match_count(), 1);
}
