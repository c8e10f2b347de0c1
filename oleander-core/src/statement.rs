//! SQL statements, parameters and rows as exchanged between callers, VMs and upstreams.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// `Value` is a typed SQL value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// SQL `NULL`.
    Null,
    /// SQL `boolean`.
    Bool(bool),
    /// SQL `bigint`.
    Int(i64),
    /// SQL `double precision`.
    Float(f64),
    /// SQL `text`.
    Text(String),
}

/// `Statement` is a SQL text with the values of its parameters `$1`, `$2` and so on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The SQL text.
    pub sql: String,
    /// The parameters in order.
    pub parameters: Vec<Value>,
}

/// `Rows` is the result of a statement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows, each with one value per column.
    pub rows: Vec<Vec<Value>>,
    /// The number of rows that the statement changed.
    pub affected: u64,
}

/// `Access` declares whether the statements of a route write and whether they may be retried.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Access {
    /// The statement reads only and may run on a replica.
    Read,
    /// The statement writes, and running it twice has the same effect as once.
    IdempotentWrite,
    /// The statement writes and must run at most once.
    Write,
}

impl Access {
    /// Returns `true` if a request may be retried although it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Access::Read | Access::IdempotentWrite)
    }

    /// Returns `true` if the statement must run on the primary.
    pub fn is_write(self) -> bool {
        !matches!(self, Access::Read)
    }
}
