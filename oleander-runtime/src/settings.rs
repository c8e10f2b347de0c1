//! Settings files: one YAML file per process.
//!
//! A settings struct carries `#[serde(deny_unknown_fields)]`, so that a
//! misspelt field is refused. Spans of time are written with their unit, such
//! as `500ms` or `2s`, by `#[serde(with = "oleander_runtime::settings::span")]`.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::errors::Result;
use crate::errors::read_error;
use crate::errors::settings_error;

/// The largest settings file that is read, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 * 1024;

/// Reads a settings file.
///
/// # Errors
/// Fails with path, line and reason if the file cannot be read, is larger than
/// `MAX_SETTINGS_BYTES` or does not match `T`.
pub fn load<T: DeserializeOwned>(path: impl AsRef<Path>) -> Result<T> {
    let path = path.as_ref();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(path, &text),
        Err(error) => read_error(path, error),
    }
}

/// Reads settings from a text; `path` is named in errors.
///
/// # Errors
/// Fails as `load` does.
pub fn parse<T: DeserializeOwned>(path: impl AsRef<Path>, text: &str) -> Result<T> {
    let path = path.as_ref();
    if MAX_SETTINGS_BYTES < text.len() {
        return settings_error(path, 0, "the file is too large");
    }
    serde_saphyr::from_str(text).or_else(|error| {
        let line = error.location().map_or(0, |location| location.line());
        // The library's message goes on with a picture of the source; its first line holds the reason.
        let message = error.without_snippet().to_string();
        let reason = message.lines().next().unwrap_or("malformed YAML");
        // The line is told apart.
        let reason = reason.rsplit_once(" at line ").map_or(reason, |(reason, _)| reason);
        settings_error(path, line, reason)
    })
}

/// Reads and writes a `Span` as a number with its unit.
pub mod span {
    use oleander_core::time::Span;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error as _;

    /// Reads a span such as `500ms`.
    ///
    /// # Errors
    /// Fails if the number or the unit is missing or wrong.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }

    /// Writes a span such as `500ms`.
    ///
    /// # Errors
    /// Fails if the serializer does.
    pub fn serialize<S: Serializer>(span: &Span, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(span)
    }
}
