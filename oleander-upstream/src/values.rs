//! Conversion between our values and those of the wire protocol.

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

/// `AnswerLimit` bounds the answer to a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerLimit {
    /// The greatest number of rows.
    pub rows: usize,
    /// The greatest number of bytes in all values together.
    pub bytes: usize,
}

impl Default for AnswerLimit {
    fn default() -> Self {
        Self { rows: 10_000, bytes: 4 * 1024 * 1024 }
    }
}

/// `Parameter` is a value on its way to an upstream.
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

/// Gets the parameters of a statement with their types.
pub fn parameters(statement: &Statement) -> Vec<(Parameter<'_>, Type)> {
    let typed = |value| (Parameter(value), type_of(value));
    statement.parameters.iter().map(typed).collect()
}

/// Reads a whole answer; `affected` is the count in the answer's tag.
///
/// # Errors
/// Fails if it is larger than `limit` or has a type that we do not know.
pub async fn collect(stream: RowStream, limit: AnswerLimit) -> Result<Rows> {
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

/// Reads the one row of a status answer.
///
/// # Errors
/// Fails if the answer does not have the form that the contract asks for.
pub fn status(rows: &Rows) -> Result<InstanceStatus> {
    let [row] = rows.rows.as_slice() else { return Err(protocol_error("status rows")) };
    let [Value::Text(role), term, position, fence, start] = row.as_slice() else {
        return Err(protocol_error("status columns"));
    };
    Ok(InstanceStatus {
        role: role.parse().map_err(|_| protocol_error("role"))?,
        point: LogPoint { term: Term(count(term)?), position: Position(count(position)?) },
        fence: Term(count(fence)?),
        start: Position(count(start)?),
    })
}

fn count(value: &Value) -> Result<u64> {
    let Value::Int(number) = value else { return Err(protocol_error("a number is missing")) };
    u64::try_from(*number).map_err(|_| protocol_error("a number is negative"))
}

fn type_of(value: &Value) -> Type {
    match value {
        Value::Null | Value::Text(_) => Type::TEXT,
        Value::Bool(_) => Type::BOOL,
        Value::Int(_) => Type::INT8,
        Value::Float(_) => Type::FLOAT8,
    }
}

fn decode(row: &Row) -> Result<Vec<Value>> {
    (0..row.len()).map(|at| decode_cell(row, at)).collect()
}

fn decode_cell(row: &Row, at: usize) -> Result<Value> {
    let value = match *row.columns()[at].type_() {
        Type::BOOL => row.try_get::<_, Option<bool>>(at)?.map(Value::Bool),
        Type::INT2 => row.try_get::<_, Option<i16>>(at)?.map(|value| Value::Int(value.into())),
        Type::INT4 => row.try_get::<_, Option<i32>>(at)?.map(|value| Value::Int(value.into())),
        Type::INT8 => row.try_get::<_, Option<i64>>(at)?.map(Value::Int),
        Type::FLOAT4 => row.try_get::<_, Option<f32>>(at)?.map(|value| Value::Float(value.into())),
        Type::FLOAT8 => row.try_get::<_, Option<f64>>(at)?.map(Value::Float),
        Type::TEXT | Type::VARCHAR | Type::BPCHAR | Type::NAME | Type::UNKNOWN => {
            row.try_get::<_, Option<String>>(at)?.map(Value::Text)
        }
        Type::VOID => None,
        _ => return Err(protocol_error("a column has a type that is not supported")),
    };
    Ok(value.unwrap_or(Value::Null))
}
