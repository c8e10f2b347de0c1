//! The output of commands as lines of text or as JSON.

use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

use crate::arguments::OutputForm;
use crate::errors::Error;

/// `Output` is the result of a successful command in both formats.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// The lines of text for operators; nothing is printed if it is empty.
    pub text: String,
    /// The JSON value for scripts.
    pub json: Value,
}

/// Prints the result of a command on standard output and returns the exit code 0.
pub fn print_output(output: &Output, form: OutputForm) -> ExitCode {
    match form {
        OutputForm::Text if output.text.is_empty() => {}
        OutputForm::Text => println!("{}", output.text.trim_end()),
        OutputForm::Json => println!("{}", output.json),
    }
    ExitCode::SUCCESS
}

/// Prints an error, as text on standard error or as JSON on standard output, and returns its exit
/// code.
pub fn print_error(error: &Error, form: OutputForm) -> ExitCode {
    match form {
        OutputForm::Text => eprintln!("{error}"),
        OutputForm::Json => println!("{}", error_json(error)),
    }
    ExitCode::from(error.exit_code() as u8)
}

/// Returns the JSON form of an error: the name of its exit code, its message, and the problems,
/// hash or change identifier that it holds.
pub fn error_json(error: &Error) -> Value {
    let mut value = json!({"error": error.exit_code().to_string(), "detail": error.to_string()});
    match error {
        Error::Invalid(problems) => value["problems"] = json!(problems),
        Error::Conflict(hash) => value["hash"] = json!(hash),
        Error::UnknownOutcome(change, _) => value["change"] = json!(format!("{:016x}", change.0)),
        _ => {}
    }
    value
}
