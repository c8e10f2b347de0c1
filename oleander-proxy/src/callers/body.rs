//! The JSON bodies of the HTTP API for callers.

use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::statement::Value;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::call::CallAnswer;

/// The maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The maximum number of parameters of a statement.
pub const MAX_PARAMETERS: usize = 1_024;

/// `StatementBody` is the request body for one statement, outside or in a transaction.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementBody {
    /// The statement class; not allowed where the path names the route.
    pub class: Option<String>,
    /// The SQL text.
    pub sql: String,
    /// The values of `$1`, `$2` and so on.
    #[serde(default)]
    pub parameters: Vec<serde_json::Value>,
    /// Session tokens, merged with those of the header.
    #[serde(default)]
    pub session: SessionTokens,
    /// The time for which the caller waits, in milliseconds; at most the route's deadline.
    pub deadline_ms: Option<u64>,
}

/// `ControlBody` is the request body that begins, commits or rolls back a transaction.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlBody {
    /// The statement class under which the transaction runs.
    pub class: String,
    /// Session tokens, merged with those of the header.
    #[serde(default)]
    pub session: SessionTokens,
    /// The time for which the caller waits, in milliseconds; at most the route's deadline.
    pub deadline_ms: Option<u64>,
}

/// `SessionTokens` is one token or a list of them.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum SessionTokens {
    /// A single token.
    One(String),
    /// Several tokens.
    Several(Vec<String>),
}

impl Default for SessionTokens {
    fn default() -> Self {
        SessionTokens::Several(Vec::new())
    }
}

impl SessionTokens {
    /// Returns the tokens as a list.
    pub fn into_vec(self) -> Vec<String> {
        match self {
            SessionTokens::One(text) => vec![text],
            SessionTokens::Several(texts) => texts,
        }
    }
}

/// `AnswerBody` is the response body of a request that ran.
#[derive(Debug, Serialize)]
pub struct AnswerBody {
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows, each with one value for each column.
    pub rows: Vec<Vec<serde_json::Value>>,
    /// The number of rows that the statement changed.
    pub affected: u64,
    /// The session token, which includes this request.
    pub session: String,
    /// `replica` or `primary`: the role of the instance when it ran the request.
    pub served_by: &'static str,
    /// The identifier of the transaction if it is still open.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub transaction: Option<String>,
}

/// `RefusalBody` is the response body of a request that got no result.
#[derive(Debug, Serialize)]
pub struct RefusalBody {
    /// The code of the refusal, which clients can match.
    pub code: RefusalCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The time after which the client may retry, in milliseconds, 1 or more.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// A description for humans.
    pub detail: String,
}

impl StatementBody {
    /// Takes the statement out of the body, leaving its text and parameters empty.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there are more than `MAX_PARAMETERS` parameters, or if one is an array,
    /// an object or a number out of range.
    pub fn statement(&mut self) -> Result<Statement, Refusal> {
        if MAX_PARAMETERS < self.parameters.len() {
            return Err(Refusal::not_run(RefusalCode::BadRequest, "too many parameters"));
        }
        let parameters = std::mem::take(&mut self.parameters);
        let parameters = parameters.into_iter().map(value_from_json).collect::<Result<_, _>>()?;
        Ok(Statement { sql: std::mem::take(&mut self.sql), parameters })
    }
}

impl AnswerBody {
    /// Creates the response body of an answer.
    pub fn new(answer: CallAnswer) -> Self {
        let Rows { columns, rows, affected } = answer.rows;
        Self {
            columns,
            rows: rows
                .into_iter()
                .map(|row| row.into_iter().map(json_from_value).collect())
                .collect(),
            affected,
            session: answer.session,
            served_by: if answer.replica { "replica" } else { "primary" },
            transaction: answer.transaction.map(|transaction| transaction.to_string()),
        }
    }
}

impl RefusalBody {
    /// Creates the response body of a refusal.
    pub fn new(refusal: Refusal) -> Self {
        Self {
            code: refusal.code,
            verdict: refusal.verdict,
            retry_after_ms: refusal.retry_after.map(|span| span.as_millis().max(1)),
            detail: refusal.detail,
        }
    }
}

fn value_from_json(value: serde_json::Value) -> Result<Value, Refusal> {
    match value {
        serde_json::Value::Null => Ok(Value::Null),
        serde_json::Value::Bool(value) => Ok(Value::Bool(value)),
        serde_json::Value::String(value) => Ok(Value::Text(value)),
        serde_json::Value::Number(number) => match (number.as_i64(), number.as_f64()) {
            (Some(value), _) => Ok(Value::Int(value)),
            (None, Some(value)) if !number.is_u64() => Ok(Value::Float(value)),
            _ => {
                Err(Refusal::not_run(RefusalCode::BadRequest, "a number parameter is out of range"))
            }
        },
        serde_json::Value::Array(_) | serde_json::Value::Object(_) => Err(Refusal::not_run(
            RefusalCode::BadRequest,
            "a parameter is neither null, boolean, number nor text",
        )),
    }
}

fn json_from_value(value: Value) -> serde_json::Value {
    match value {
        Value::Null => serde_json::Value::Null,
        Value::Bool(value) => value.into(),
        Value::Int(value) => value.into(),
        // JSON cannot represent NaN and infinities, so they are sent as text.
        Value::Float(value) => serde_json::Number::from_f64(value)
            .map_or_else(|| value.to_string().into(), serde_json::Value::Number),
        Value::Text(value) => value.into(),
    }
}
