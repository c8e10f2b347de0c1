//! Conversion between the proxy's values and those of the PostgreSQL wire protocol.

use bytes::BytesMut;
use futures::StreamExt as _;
use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::statement::Value;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use tokio_postgres::Row;
use tokio_postgres::RowStream;
use tokio_postgres::types::IsNull;
use tokio_postgres::types::ToSql;
use tokio_postgres::types::Type;
use tokio_postgres::types::to_sql_checked;

use crate::errors::Error;
use crate::errors::Result;
use crate::errors::protocol_error;

/// `AnswerLimit` is the maximum size of the answer to a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerLimit {
    /// The maximum number of rows.
    pub rows: usize,
    /// The maximum total size of the rows, in bytes.
    pub bytes: usize,
}

impl Default for AnswerLimit {
    fn default() -> Self {
        Self { rows: 10_000, bytes: 4 * 1024 * 1024 }
    }
}

/// `Parameter` is a statement parameter in the form that the database driver encodes.
#[derive(Debug)]
pub struct Parameter<'a>(&'a Value);

impl ToSql for Parameter<'_> {
    fn to_sql(
        &self,
        kind: &Type,
        out: &mut BytesMut,
    ) -> std::result::Result<IsNull, Box<dyn std::error::Error + Sync + Send>> {
        match self.0 {
            Value::Null => Ok(IsNull::Yes),
            Value::Bool(value) => value.to_sql(kind, out),
            Value::Int(value) => value.to_sql(kind, out),
            Value::Float(value) => value.to_sql(kind, out),
            Value::Text(value) => value.to_sql(kind, out),
        }
    }

    fn accepts(_kind: &Type) -> bool {
        true
    }

    to_sql_checked!();
}

/// Returns the parameters of a statement with their PostgreSQL types.
pub fn parameters(statement: &Statement) -> Vec<(Parameter<'_>, Type)> {
    let typed = |value| (Parameter(value), parameter_type(value));
    statement.parameters.iter().map(typed).collect()
}

/// Reads all rows of an answer. `affected` is the row count of the command tag.
///
/// # Errors
/// Returns [`Error::AnswerTooLarge`] if the answer exceeds `limit`, and [`Error::Protocol`] if a
/// column has a type that is not supported.
pub async fn collect_rows(stream: RowStream, limit: AnswerLimit) -> Result<Rows> {
    let mut stream = std::pin::pin!(stream);
    let mut rows = Rows::default();
    let mut bytes = 0;
    while let Some(row) = stream.next().await {
        let row = row?;
        bytes += row.raw_size_bytes();
        if limit.rows <= rows.rows.len() || limit.bytes < bytes {
            return Err(Error::AnswerTooLarge);
        }
        if rows.columns.is_empty() {
            rows.columns = row.columns().iter().map(|column| column.name().to_owned()).collect();
        }
        rows.rows.push(decode(&row)?);
    }
    rows.affected = stream.rows_affected().unwrap_or(0);
    Ok(rows)
}

/// Decodes the answer to a status query, which is one row.
///
/// # Errors
/// Returns [`Error::Protocol`] if the answer does not conform to [`crate::contract::STATUS_SQL`].
pub fn decode_status(rows: &Rows) -> Result<InstanceStatus> {
    let [row] = rows.rows.as_slice() else { return Err(protocol_error("status rows")) };
    let [Value::Text(role), term, position, fence, start] = row.as_slice() else {
        return Err(protocol_error("status columns"));
    };
    Ok(InstanceStatus {
        role: role.parse().map_err(|_| protocol_error("role"))?,
        point: LogPoint {
            term: Term(decode_unsigned(term)?),
            position: Position(decode_unsigned(position)?),
        },
        fence: Term(decode_unsigned(fence)?),
        start: Position(decode_unsigned(start)?),
    })
}

fn decode_unsigned(value: &Value) -> Result<u64> {
    let Value::Int(number) = value else { return Err(protocol_error("a number is missing")) };
    u64::try_from(*number).map_err(|_| protocol_error("a number is negative"))
}

fn parameter_type(value: &Value) -> Type {
    match value {
        Value::Null | Value::Text(_) => Type::TEXT,
        Value::Bool(_) => Type::BOOL,
        Value::Int(_) => Type::INT8,
        Value::Float(_) => Type::FLOAT8,
    }
}

fn decode(row: &Row) -> Result<Vec<Value>> {
    (0..row.len()).map(|index| decode_cell(row, index)).collect()
}

fn decode_cell(row: &Row, index: usize) -> Result<Value> {
    let value = match *row.columns()[index].type_() {
        Type::BOOL => row.try_get::<_, Option<bool>>(index)?.map(Value::Bool),
        Type::INT2 => row.try_get::<_, Option<i16>>(index)?.map(|value| Value::Int(value.into())),
        Type::INT4 => row.try_get::<_, Option<i32>>(index)?.map(|value| Value::Int(value.into())),
        Type::INT8 => row.try_get::<_, Option<i64>>(index)?.map(Value::Int),
        Type::FLOAT4 => {
            row.try_get::<_, Option<f32>>(index)?.map(|value| Value::Float(value.into()))
        }
        Type::FLOAT8 => row.try_get::<_, Option<f64>>(index)?.map(Value::Float),
        Type::TEXT | Type::VARCHAR | Type::BPCHAR | Type::NAME | Type::UNKNOWN => {
            row.try_get::<_, Option<String>>(index)?.map(Value::Text)
        }
        Type::VOID => None,
        _ => return Err(protocol_error("a column has a type that is not supported")),
    };
    Ok(value.unwrap_or(Value::Null))
}
