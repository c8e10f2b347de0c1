//! Decoding of parameters and encoding of result rows for the wire protocol.

use std::sync::Arc;

use futures::stream;
use pgwire::api::Type;
use pgwire::api::portal::Format;
use pgwire::api::portal::Portal;
use pgwire::api::results::DataRowEncoder;
use pgwire::api::results::QueryResponse;
use pgwire::api::results::Response;
use pgwire::error::PgWireResult;

use crate::group::sql::Command;
use crate::group::sql::user_error;

/// The SQLSTATE of a null parameter, PostgreSQL's `invalid_parameter_value`.
const BAD_PARAMETER_STATE: &str = "22023";

/// `Cell` is a value in a result row.
#[derive(Clone, Debug)]
pub enum Cell {
    /// A value of a column of type `INT8`.
    Int(i64),
    /// A value of a column of type `TEXT`.
    Text(String),
}

/// Returns a response with the given rows; each row has a cell for each column of the command.
pub fn rows_response(
    command: Command,
    format: &Format,
    cells: Vec<Vec<Cell>>,
) -> PgWireResult<Response> {
    let fields = Arc::new(command.fields(format));
    let mut encoder = DataRowEncoder::new(Arc::clone(&fields));
    let mut data = Vec::with_capacity(cells.len());
    for row in cells {
        for cell in row {
            match cell {
                Cell::Int(number) => encoder.encode_field(&number)?,
                Cell::Text(text) => encoder.encode_field(&text)?,
            }
        }
        data.push(Ok(encoder.take_row()));
    }
    Ok(Response::Query(QueryResponse::new(fields, stream::iter(data))))
}

/// Returns a parameter as a string; one that the caller declared as `INT8` is formatted.
pub fn text_parameter(portal: &Portal<Command>, at: usize) -> PgWireResult<String> {
    let kind = portal.statement.parameter_types.get(at).cloned().flatten().unwrap_or(Type::TEXT);
    if kind == Type::INT8 {
        return int_parameter(portal, at).map(|number| number.to_string());
    }
    let missing = || user_error(BAD_PARAMETER_STATE, "a text is missing");
    portal.parameter::<String>(at, &kind)?.ok_or_else(missing)
}

/// Returns a parameter of type `INT8`.
pub fn int_parameter(portal: &Portal<Command>, at: usize) -> PgWireResult<i64> {
    let missing = || user_error(BAD_PARAMETER_STATE, "a number is missing");
    portal.parameter::<i64>(at, &Type::INT8)?.ok_or_else(missing)
}
