//! Contract tests of connections against the stand-in.

mod common;

use common::LONG;
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
async fn write_proves_its_position_and_read_sees_it() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::soon()).await.unwrap();
    let written = connection.write("w", &common::append("1"), common::soon()).await.unwrap();
    let point = LogPoint { term: Term(1), position: Position(2) };
    assert_eq!((written.status.role, written.status.point), (Role::Primary, point));
    let read = connection.read("w", &common::read(), common::soon()).await.unwrap();
    assert_eq!(read.rows.rows, vec![vec![Value::Text("1".to_owned())]]);
    assert_eq!((read.status.point, written.rows.affected, read.rows.affected), (point, 1, 0));
}

#[tokio::test]
async fn connection_carries_one_workspace_at_a_time() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    for workspace in ["mine", "theirs"] {
        let mut connection = pool.acquire(workspace, common::soon()).await.unwrap();
        connection.write(workspace, &common::append(workspace), common::soon()).await.unwrap();
        pool.put_back(connection);
    }
    let mut connection = pool.acquire("mine", common::soon()).await.unwrap();
    let read = connection.read("mine", &common::read(), common::soon()).await.unwrap();
    assert_eq!(read.rows.rows, vec![vec![Value::Text("mine".to_owned())]]);
    assert_eq!(group.relay(0).accepted(), 1);
}

/// `Cut` is a way in which an instance can fail a write.
struct Cut {
    break_group: fn(&Group),
    sql: &'static str,
    verdict: Verdict,
    changes: usize,
    clean: bool,
    deadline: fn() -> Instant,
}

const INSERT: &str = "INSERT INTO entries (key, value) VALUES ($1, $2)";

#[rstest]
#[case::answer_lost(Cut { break_group: |group| group.relay(0).lose_answers("INSERT", 1), sql: INSERT, verdict: Verdict::MayHaveRun, changes: 1, clean: false, deadline: common::soon })]
#[case::killed(Cut { break_group: |group| group.kill(0), sql: INSERT, verdict: Verdict::MayHaveRun, changes: 0, clean: false, deadline: common::soon })]
#[case::silent(Cut { break_group: |group| group.relay(0).silence_established(), sql: INSERT, verdict: Verdict::MayHaveRun, changes: 0, clean: false, deadline: common::shortly })]
#[case::partitioned(Cut { break_group: |group| group.partition(0), sql: INSERT, verdict: Verdict::MayHaveRun, changes: 0, clean: false, deadline: common::shortly })]
#[case::statement_error(Cut { break_group: |_| {}, sql: "SELECT 1 / 0", verdict: Verdict::NotRun, changes: 0, clean: true, deadline: common::soon })]
#[case::unknown_statement(Cut { break_group: |_| {}, sql: "SELECT nonsense", verdict: Verdict::NotRun, changes: 0, clean: true, deadline: common::soon })]
#[case::control_statement(Cut { break_group: |_| {}, sql: "/* a /* b */ */ BEGIN", verdict: Verdict::NotRun, changes: 0, clean: true, deadline: common::soon })]
#[case::identity_statement(Cut { break_group: |_| {}, sql: "SELECT Set_Config('a', 'b', false)", verdict: Verdict::NotRun, changes: 0, clean: true, deadline: common::soon })]
#[tokio::test]
async fn verdict_of_a_cut_write_is_true(#[case] cut: Cut) {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::soon()).await.unwrap();
    (cut.break_group)(&group);
    let mut statement = common::append("1");
    statement.sql = cut.sql.to_owned();
    if cut.sql != INSERT {
        statement.parameters.clear();
    }
    let error = connection.write("w", &statement, (cut.deadline)()).await.unwrap_err();
    assert_eq!((error.verdict(), connection.is_clean()), (cut.verdict, cut.clean));
    assert_eq!(group.changes(0).len(), cut.changes);
}

#[rstest]
#[case::refused(Passage::Refuse)]
#[case::silent(Passage::Silent)]
#[tokio::test]
async fn unreachable_instance_has_run_nothing(#[case] passage: Passage) {
    let group = common::group(GroupOptions::default()).await;
    group.relay(0).set_passage(passage);
    let pool = common::pool(&group, 0, 1);
    let error = pool.acquire("w", common::shortly()).await.unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn replica_refuses_a_write_and_has_run_nothing() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 1, 1);
    let mut connection = pool.acquire("w", common::soon()).await.unwrap();
    let error = connection.write("w", &common::append("1"), common::soon()).await.unwrap_err();
    assert_eq!((error, connection.is_clean()), (Error::NotPrimary, true));
}

#[tokio::test]
async fn write_across_a_fence_is_not_confirmed() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::soon()).await.unwrap();
    let admin = Admin::new(&group.addresses()[0].to_string(), &PoolOptions::default()).unwrap();
    admin.fence(Term(2), LONG).await.unwrap();
    admin.promote(Term(2), LONG).await.unwrap();
    let error = connection.write("w", &common::append("1"), common::soon()).await.unwrap_err();
    assert_eq!((error.verdict(), connection.is_clean()), (Verdict::MayHaveRun, false));
}

#[tokio::test]
async fn transaction_commits_all_its_writes_at_one_time() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::soon()).await.unwrap();
    connection.begin("w", common::soon()).await.unwrap();
    for value in ["1", "2"] {
        connection.execute(&common::append(value), common::soon()).await.unwrap();
    }
    assert!(group.changes(0).is_empty());
    connection.commit(common::soon()).await.unwrap();
    assert_eq!((group.changes(0).len(), connection.is_clean()), (2, true));
}

#[tokio::test]
async fn failed_transaction_can_only_be_rolled_back() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 0, 1);
    let mut connection = pool.acquire("w", common::soon()).await.unwrap();
    connection.begin("w", common::soon()).await.unwrap();
    connection.execute(&common::append("1"), common::soon()).await.unwrap();
    connection.execute(&common::plain("SELECT 1 / 0"), common::soon()).await.unwrap_err();
    assert!(connection.commit(common::soon()).await.is_err());
    connection.rollback(common::soon()).await.unwrap();
    assert!(connection.is_clean() && group.changes(0).is_empty());
}

#[tokio::test]
async fn transaction_does_not_begin_on_a_replica() {
    let group = common::group(GroupOptions::default()).await;
    let pool = common::pool(&group, 1, 1);
    let mut connection = pool.acquire("w", common::soon()).await.unwrap();
    let begun = connection.begin("w", common::soon()).await;
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
    let mut connection = pool.acquire("w", common::soon()).await.unwrap();
    let answer = connection.read("w", &common::series(rows), common::soon()).await;
    assert_eq!(matches!(answer, Err(Error::AnswerTooLarge)), too_large);
    assert_eq!(connection.is_clean(), !too_large);
}
