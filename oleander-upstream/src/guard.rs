//! Rejects statements that would change the state of a pooled connection.

use crate::errors::Error;
use crate::errors::Result;

/// The first words of statements that control the transaction or change the session.
const CONTROL_WORDS: [&str; 24] = [
    "abort",
    "begin",
    "checkpoint",
    "close",
    "commit",
    "copy",
    "deallocate",
    "declare",
    "discard",
    "do",
    "end",
    "listen",
    "load",
    "lock",
    "notify",
    "prepare",
    "release",
    "reset",
    "rollback",
    "savepoint",
    "set",
    "start",
    "unlisten",
    "execute",
];

/// Texts that occur in any statement that could change the workspace of its connection.
const WORKSPACE_TEXTS: [&str; 2] = ["set_config", "oleander."];

/// Checks that a caller's statement does not change the state of the connection.
///
/// # Errors
/// Returns [`Error::Forbidden`] if the statement controls the transaction or the session, or
/// contains one of the `WORKSPACE_TEXTS`.
pub fn check(sql: &str) -> Result<()> {
    let text = sql.to_ascii_lowercase();
    if CONTROL_WORDS.contains(&first_word(&text)) {
        return Err(Error::Forbidden("it controls the connection"));
    }
    if WORKSPACE_TEXTS.iter().any(|part| text.contains(part)) {
        return Err(Error::Forbidden("it touches the workspace of the connection"));
    }
    Ok(())
}

/// Returns `true` if the row count in the statement's command tag counts changed rows. For other
/// statements, such as `SELECT`, it counts returned rows.
pub fn changes_rows(sql: &str) -> bool {
    ["insert", "update", "delete", "merge"].contains(&first_word(&sql.to_ascii_lowercase()))
}

/// Returns the first word of `text` after leading comments and separators.
fn first_word(text: &str) -> &str {
    let text = skip_comments(text);
    let end = text.find(|letter: char| !letter.is_ascii_alphanumeric() && letter != '_');
    &text[..end.unwrap_or(text.len())]
}

/// Skips leading white space, semicolons and comments. Block comments nest.
fn skip_comments(text: &str) -> &str {
    let mut rest = text;
    loop {
        rest = rest.trim_start_matches(|letter: char| letter.is_whitespace() || letter == ';');
        if let Some(line) = rest.strip_prefix("--") {
            rest = line.find('\n').map_or("", |end| &line[end..]);
        } else if rest.starts_with("/*") {
            rest = skip_block(rest);
        } else {
            return rest;
        }
    }
}

/// Skips a nested block comment; an unclosed one extends to the end of the text.
fn skip_block(text: &str) -> &str {
    let mut depth = 0;
    let mut rest = text;
    while !rest.is_empty() {
        if let Some(inner) = rest.strip_prefix("/*") {
            depth += 1;
            rest = inner;
        } else if let Some(outer) = rest.strip_prefix("*/") {
            depth -= 1;
            rest = outer;
            if depth == 0 {
                return rest;
            }
        } else {
            let mut letters = rest.chars();
            letters.next();
            rest = letters.as_str();
        }
    }
    rest
}
