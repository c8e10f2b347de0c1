//! The fixed set of statements that the stand-in executes.

use async_trait::async_trait;
use pgwire::api::ClientInfo;
use pgwire::api::Type;
use pgwire::api::portal::Format;
use pgwire::api::results::FieldInfo;
use pgwire::api::stmt::QueryParser;
use pgwire::error::ErrorInfo;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;

/// The SQLSTATE of a statement that is not in the set, PostgreSQL's code for a syntax error.
const SYNTAX_STATE: &str = "42601";

/// `Command` is a recognized statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Returns the status of the instance.
    Status,
    /// Fences the instance at a term.
    Fence,
    /// Promotes the instance at a term.
    Promote,
    /// Makes the instance follow the primary of a term.
    Follow,
    /// Sets the workspace of the connection.
    SetWorkspace,
    /// Clears the workspace of the connection; refused inside a transaction.
    Reset,
    /// Opens a transaction.
    Begin,
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Returns the number 1, without the cost of a data statement.
    Ping,
    /// Reads the values under a key.
    Read,
    /// Counts the values of the workspace under all keys.
    Count,
    /// Adds a value under a key.
    Append,
    /// Replaces the values under a key.
    Replace,
    /// Runs for the given number of milliseconds instead of the service time.
    Sleep,
    /// Fails with a division by zero.
    Fail,
    /// Returns a row for each number from 1 to the parameter.
    Series,
}

/// The text of each statement, in upper case with single spaces.
const STATEMENTS: [(&str, Command); 17] = [
    ("SELECT ROLE, TERM, POSITION, FENCE, START FROM OLEANDER_STATUS()", Command::Status),
    ("SELECT ROLE, TERM, POSITION, FENCE, START FROM OLEANDER_FENCE($1)", Command::Fence),
    ("SELECT ROLE, TERM, POSITION, FENCE, START FROM OLEANDER_PROMOTE($1)", Command::Promote),
    ("SELECT ROLE, TERM, POSITION, FENCE, START FROM OLEANDER_FOLLOW($1)", Command::Follow),
    ("SELECT SET_CONFIG('OLEANDER.WORKSPACE', $1, FALSE)", Command::SetWorkspace),
    ("DISCARD ALL", Command::Reset),
    ("BEGIN", Command::Begin),
    ("COMMIT", Command::Commit),
    ("ROLLBACK", Command::Rollback),
    ("SELECT 1", Command::Ping),
    ("SELECT VALUE FROM ENTRIES WHERE KEY = $1", Command::Read),
    ("SELECT COUNT(*) FROM ENTRIES", Command::Count),
    ("INSERT INTO ENTRIES (KEY, VALUE) VALUES ($1, $2)", Command::Append),
    ("UPDATE ENTRIES SET VALUE = $2 WHERE KEY = $1", Command::Replace),
    ("SELECT PG_SLEEP($1 / 1000.0)", Command::Sleep),
    ("SELECT 1 / 0", Command::Fail),
    ("SELECT GENERATE_SERIES(1, $1)", Command::Series),
];

impl Command {
    /// Recognizes a statement, ignoring case, the amount of white space and semicolons at the end;
    /// `None` if it is not in the set.
    pub fn parse(sql: &str) -> Option<Self> {
        let words: Vec<&str> = sql.trim_end_matches(';').split_whitespace().collect();
        let text = words.join(" ").to_ascii_uppercase();
        STATEMENTS.iter().find(|(known, _)| *known == text).map(|(_, command)| *command)
    }

    /// Returns `true` for a data statement, which takes a slot and runs for the service time.
    pub fn takes_slot(self) -> bool {
        matches!(
            self,
            Command::Read
                | Command::Count
                | Command::Append
                | Command::Replace
                | Command::Sleep
                | Command::Fail
                | Command::Series
        )
    }

    /// Returns the types of the parameters.
    pub fn parameters(self) -> Vec<Type> {
        match self {
            Command::Fence | Command::Promote | Command::Follow => vec![Type::INT8],
            Command::Sleep | Command::Series => vec![Type::INT8],
            Command::SetWorkspace | Command::Read => vec![Type::TEXT],
            Command::Append | Command::Replace => vec![Type::TEXT, Type::TEXT],
            _ => Vec::new(),
        }
    }

    /// Returns the names and types of the result's columns; empty for a statement without rows.
    pub fn columns(self) -> Vec<(&'static str, Type)> {
        match self {
            Command::Status | Command::Fence | Command::Promote | Command::Follow => vec![
                ("role", Type::TEXT),
                ("term", Type::INT8),
                ("position", Type::INT8),
                ("fence", Type::INT8),
                ("start", Type::INT8),
            ],
            Command::SetWorkspace => vec![("set_config", Type::TEXT)],
            Command::Read => vec![("value", Type::TEXT)],
            Command::Count => vec![("count", Type::INT8)],
            Command::Sleep => vec![("pg_sleep", Type::TEXT)],
            Command::Fail | Command::Ping => vec![("?column?", Type::INT8)],
            Command::Series => vec![("generate_series", Type::INT8)],
            _ => Vec::new(),
        }
    }

    /// Returns the column descriptions of the wire protocol.
    pub fn fields(self, format: &Format) -> Vec<FieldInfo> {
        let columns = self.columns().into_iter().enumerate();
        let field = |(at, (name, kind)): (usize, (&str, Type))| {
            FieldInfo::new(name.to_owned(), None, None, kind, format.format_for(at))
        };
        columns.map(field).collect()
    }
}

/// `Parser` is the statement parser that the wire protocol library calls.
#[derive(Clone, Copy, Debug)]
pub struct Parser;

#[async_trait]
impl QueryParser for Parser {
    type Statement = Command;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<Command>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let unknown = || user_error(SYNTAX_STATE, "standin: unknown statement");
        Command::parse(sql).map(Some).ok_or_else(unknown)
    }

    fn get_parameter_types(&self, command: &Command) -> PgWireResult<Vec<Type>> {
        Ok(command.parameters())
    }

    fn get_result_schema(
        &self,
        command: &Command,
        format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        Ok(command.fields(format.unwrap_or(&Format::UnifiedBinary)))
    }
}

/// Returns an error response with an SQLSTATE, after which the connection stays usable.
pub fn user_error(state: &str, detail: &str) -> PgWireError {
    let info = ErrorInfo::new("ERROR".to_owned(), state.to_owned(), detail.to_owned());
    PgWireError::UserError(Box::new(info))
}

/// Returns an error response with an SQLSTATE and the severity `FATAL`, which ends the connection.
pub fn fatal_error(state: &str, detail: &str) -> PgWireError {
    let info = ErrorInfo::new("FATAL".to_owned(), state.to_owned(), detail.to_owned());
    PgWireError::UserError(Box::new(info))
}
