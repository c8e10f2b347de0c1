//! Helpers shared by the tests of this crate.
#![allow(dead_code, reason = "each test program uses only some of the helpers")]

use std::time::Duration;

use oleander_core::statement::Statement;
use oleander_core::statement::Value;
use oleander_standin::group::Group;
use oleander_standin::group::GroupOptions;
use oleander_upstream::pool::Pool;
use oleander_upstream::pool::PoolOptions;
use tokio::time::Instant;

/// A time limit that is never reached unless a test fails.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// A time limit that a test lets expire.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

pub async fn group(options: GroupOptions) -> Group {
    Group::start(GroupOptions { lag: Duration::ZERO, ..options }).await.unwrap()
}

pub fn pool(group: &Group, ordinal: usize, connections: usize) -> Pool {
    let options = PoolOptions { connections, ..PoolOptions::default() };
    Pool::new(&group.addresses()[ordinal].to_string(), options).unwrap()
}

pub fn long_deadline() -> Instant {
    Instant::now() + LONG_TIMEOUT
}

pub fn short_deadline() -> Instant {
    Instant::now() + SHORT_TIMEOUT
}

pub fn append(value: &str) -> Statement {
    text_statement("INSERT INTO entries (key, value) VALUES ($1, $2)", &["k", value])
}

pub fn read() -> Statement {
    text_statement("SELECT value FROM entries WHERE key = $1", &["k"])
}

pub fn statement(sql: &str) -> Statement {
    Statement { sql: sql.to_owned(), parameters: Vec::new() }
}

pub fn row_series(count: i64) -> Statement {
    let sql = "SELECT generate_series(1, $1)".to_owned();
    Statement { sql, parameters: vec![Value::Int(count)] }
}

fn text_statement(sql: &str, parameters: &[&str]) -> Statement {
    let parameters = parameters.iter().map(|text| Value::Text((*text).to_owned())).collect();
    Statement { sql: sql.to_owned(), parameters }
}
