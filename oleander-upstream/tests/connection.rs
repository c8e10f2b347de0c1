//! Tests of connections and the SQL contract against the simulated database group.

mod common;

use common::LONG_TIMEOUT;
use oleander_core::statement::Value;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::verdict::Verdict;
use oleander_standin::group::Group;
use oleander_standin::group::GroupOptions;
use oleander_standin::relay::Passage;
use oleander_upstream::errors::Error;
use oleander_upstream::group::Admin;
use oleander_upstream::pool::PoolOptions;
use rstest::rstest;
use tokio::time::Instant;

#[tokio::test]
async fn write_returns_its_position_and_read_sees_it() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    let written =
        connection.write("w", &common::append("1"), common::long_deadline()).await.unwrap();
    let point = LogPoint { term: Term(1), position: Position(2) };
    assert_eq!((written.status.role, written.status.point), (Role::Primary, point));
    let read = connection.read("w", &common::read(), common::long_deadline()).await.unwrap();
    assert_eq!(read.rows.rows, vec![vec![Value::Text("1".to_owned())]]);
    assert_eq!((read.status.point, written.rows.affected, read.rows.affected), (point, 1, 0));
}

#[tokio::test]
async fn connection_carries_one_workspace_at_a_time() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    for workspace in ["mine", "theirs"] {
        let mut connection = pool.acquire(workspace, common::long_deadline()).await.unwrap();
        connection
            .write(workspace, &common::append(workspace), common::long_deadline())
            .await
            .unwrap();
        pool.put_back(connection);
    }
    let mut connection = pool.acquire("mine", common::long_deadline()).await.unwrap();
    let read = connection.read("mine", &common::read(), common::long_deadline()).await.unwrap();
    assert_eq!(read.rows.rows, vec![vec![Value::Text("mine".to_owned())]]);
    assert_eq!(group.relay(0).accepted(), 1);
}

/// `FailedWrite` is a way in which a write can fail, with the expected outcome.
struct FailedWrite {
    fault: fn(&Group),
    sql: &'static str,
    verdict: Verdict,
    changes: usize,
    clean: bool,
    deadline: fn() -> Instant,
}

const INSERT: &str = "INSERT INTO entries (key, value) VALUES ($1, $2)";

#[rstest]
#[case::answer_lost(FailedWrite { fault: |group| group.relay(0).lose_answers("INSERT", 1), sql: INSERT, verdict: Verdict::MayHaveRun, changes: 1, clean: false, deadline: common::long_deadline })]
#[case::killed(FailedWrite { fault: |group| group.kill(0), sql: INSERT, verdict: Verdict::MayHaveRun, changes: 0, clean: false, deadline: common::long_deadline })]
#[case::silent(FailedWrite { fault: |group| group.relay(0).silence_established(), sql: INSERT, verdict: Verdict::MayHaveRun, changes: 0, clean: false, deadline: common::short_deadline })]
#[case::partitioned(FailedWrite { fault: |group| group.partition(0), sql: INSERT, verdict: Verdict::MayHaveRun, changes: 0, clean: false, deadline: common::short_deadline })]
#[case::statement_error(FailedWrite { fault: |_| {}, sql: "SELECT 1 / 0", verdict: Verdict::NotRun, changes: 0, clean: true, deadline: common::long_deadline })]
#[case::unknown_statement(FailedWrite { fault: |_| {}, sql: "SELECT nonsense", verdict: Verdict::NotRun, changes: 0, clean: true, deadline: common::long_deadline })]
#[case::control_statement(FailedWrite { fault: |_| {}, sql: "/* a /* b */ */ BEGIN", verdict: Verdict::NotRun, changes: 0, clean: true, deadline: common::long_deadline })]
#[case::identity_statement(FailedWrite { fault: |_| {}, sql: "SELECT Set_Config('a', 'b', false)", verdict: Verdict::NotRun, changes: 0, clean: true, deadline: common::long_deadline })]
#[tokio::test]
async fn verdict_of_a_failed_write_is_correct(#[case] case: FailedWrite) {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    (case.fault)(&group);
    let mut statement = common::append("1");
    statement.sql = case.sql.to_owned();
    if case.sql != INSERT {
        statement.parameters.clear();
    }
    let error = connection.write("w", &statement, (case.deadline)()).await.unwrap_err();
    assert_eq!((error.verdict(), connection.is_clean()), (case.verdict, case.clean));
    assert_eq!(group.changes(0).len(), case.changes);
}

#[rstest]
#[case::refused(Passage::Refuse)]
#[case::silent(Passage::Silent)]
#[tokio::test]
async fn unreachable_instance_has_run_nothing(#[case] passage: Passage) {
    let group = common::group(GroupOptions::default()).await;
    group.relay(0).set_passage(passage);
    let pool = common::pool(&group, 0, 1);
    let error = pool.acquire("w", common::short_deadline()).await.unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn replica_refuses_a_write_and_has_run_nothing() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 1, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    let error =
        connection.write("w", &common::append("1"), common::long_deadline()).await.unwrap_err();
    assert_eq!((error, connection.is_clean()), (Error::NotPrimary, true));
}

#[tokio::test]
async fn write_on_a_connection_of_an_older_term_is_not_confirmed() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    let admin = Admin::new(&group.addresses()[0].to_string(), &PoolOptions::default()).unwrap();
    admin.fence(Term(2), LONG_TIMEOUT).await.unwrap();
    admin.promote(Term(2), LONG_TIMEOUT).await.unwrap();
    let error =
        connection.write("w", &common::append("1"), common::long_deadline()).await.unwrap_err();
    assert_eq!((error.verdict(), connection.is_clean()), (Verdict::MayHaveRun, false));
}

#[tokio::test]
async fn transaction_commits_all_its_writes_together() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    connection.begin("w", common::long_deadline()).await.unwrap();
    for value in ["1", "2"] {
        connection.execute(&common::append(value), common::long_deadline()).await.unwrap();
    }
    assert!(group.changes(0).is_empty());
    connection.commit(common::long_deadline()).await.unwrap();
    assert_eq!((group.changes(0).len(), connection.is_clean()), (2, true));
}

#[tokio::test]
async fn failed_transaction_can_only_be_rolled_back() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    connection.begin("w", common::long_deadline()).await.unwrap();
    connection.execute(&common::append("1"), common::long_deadline()).await.unwrap();
    connection
        .execute(&common::statement("SELECT 1 / 0"), common::long_deadline())
        .await
        .unwrap_err();
    assert!(connection.commit(common::long_deadline()).await.is_err());
    connection.rollback(common::long_deadline()).await.unwrap();
    assert!(connection.is_clean() && group.changes(0).is_empty());
}

#[tokio::test]
async fn transaction_does_not_begin_on_a_replica() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 1, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    let begun = connection.begin("w", common::long_deadline()).await;
    assert_eq!(begun, Err(Error::NotPrimary));
    assert!(!connection.is_clean());
}

#[rstest]
#[case::within(10_000, false)]
#[case::beyond(10_001, true)]
#[tokio::test]
async fn answer_is_bounded(#[case] rows: i64, #[case] too_large: bool) {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::long_deadline()).await.unwrap();
    let answer = connection.read("w", &common::row_series(rows), common::long_deadline()).await;
    assert_eq!(matches!(answer, Err(Error::AnswerTooLarge)), too_large);
    assert_eq!(connection.is_clean(), !too_large);
}
