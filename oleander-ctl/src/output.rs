//! Answers as lines for people or as JSON for programs.

use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

use crate::arguments::OutputForm;
use crate::errors::Error;

/// `Answer` is the result of a command in both forms.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The lines for people.
    pub text: String,
    /// The value for programs.
    pub json: Value,
}

/// Prints an answer on the standard output.
pub fn print_answer(answer: &Answer, form: OutputForm) -> ExitCode {
    match form {
        OutputForm::Text if answer.text.is_empty() => {}
        OutputForm::Text => println!("{}", answer.text.trim_end()),
        OutputForm::Json => println!("{}", answer.json),
    }
    ExitCode::SUCCESS
}

/// Prints an error: lines on the error output, or JSON on the standard output.
pub fn print_error(error: &Error, form: OutputForm) -> ExitCode {
    match form {
        OutputForm::Text => eprintln!("{error}"),
        OutputForm::Json => println!("{}", error_json(error)),
    }
    ExitCode::from(error.exit() as u8)
}

/// Gets the JSON form of an error.
pub fn error_json(error: &Error) -> Value {
    let mut value = json!({"error": error.exit().to_string(), "detail": error.to_string()});
    match error {
        Error::Invalid(problems) => value["problems"] = json!(problems),
        Error::Conflict(hash) => value["hash"] = json!(hash),
        Error::UnknownOutcome(change, _) => value["change"] = json!(format!("{:016x}", change.0)),
        _ => {}
    }
    value
}
