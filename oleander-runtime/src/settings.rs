//! Settings files, one YAML file per process.
//!
//! Settings structs must have `#[serde(deny_unknown_fields)]`, so that a misspelt field is
//! rejected. Durations are written with their unit, such as `500ms` or `2s`; their fields have
//! `#[serde(with = "oleander_runtime::settings::span")]`.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::errors::Result;
use crate::errors::read_error;
use crate::errors::settings_error;

/// The maximum size of a settings file in bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 * 1024;

/// Loads a settings file.
///
/// # Errors
/// Fails with the path and the reason if the file cannot be read, is larger than
/// `MAX_SETTINGS_BYTES` or does not match `T`; in the last case also with the line, if it is known.
pub fn load<T: DeserializeOwned>(path: impl AsRef<Path>) -> Result<T> {
    let path = path.as_ref();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(path, &text),
        Err(error) => read_error(path, error),
    }
}

/// Parses settings from a text; `path` is used in errors only.
///
/// # Errors
/// Fails like `load`, except that nothing is read.
pub fn parse<T: DeserializeOwned>(path: impl AsRef<Path>, text: &str) -> Result<T> {
    let path = path.as_ref();
    if MAX_SETTINGS_BYTES < text.len() {
        return settings_error(path, 0, "the file is too large");
    }
    serde_saphyr::from_str(text).or_else(|error| {
        let line = error.location().map_or(0, |location| location.line());
        // Only the first line of the library's message is the reason; an excerpt of the source may
        // follow it.
        let message = error.without_snippet().to_string();
        let reason = message.lines().next().unwrap_or("malformed YAML");
        // The line is a field of the error, so it is removed from the text.
        let reason = reason.rsplit_once(" at line ").map_or(reason, |(reason, _)| reason);
        settings_error(path, line, reason)
    })
}

/// Serialisation of a `Span` as a number with its unit, for `#[serde(with)]`.
pub mod span {
    use oleander_core::time::Span;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error as _;

    /// Deserialises a span such as `500ms`.
    ///
    /// # Errors
    /// Fails if the number or the unit is missing or invalid.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }

    /// Serialises a span as text such as `500ms`.
    ///
    /// # Errors
    /// Fails if the serializer does.
    pub fn serialize<S: Serializer>(span: &Span, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(span)
    }
}
