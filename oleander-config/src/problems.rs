//! Problems of a configuration: section, path, line and reason.

use serde::Serialize;

use crate::model::Section;

/// `Problem` is a validation error. A configuration with a problem is refused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The section; `None` if the problem is outside all sections.
    pub section: Option<Section>,
    /// The path of the value, such as `routes[2].deadline`.
    pub path: String,
    /// The line in the section's file, from 1; 0 if the problem has no line.
    pub line: usize,
    /// The reason, in lower case and without a full stop.
    pub reason: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.reason)
    }
}

/// `Location` is the section, path and line of a value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Location {
    pub(crate) section: Section,
    pub(crate) path: String,
    pub(crate) line: usize,
}

impl Location {
    /// Returns the location of a field of this value.
    pub(crate) fn field(&self, name: &str, line: usize) -> Location {
        Location { section: self.section, path: format!("{}.{name}", self.path), line }
    }

    /// Returns the location of an item of this list.
    pub(crate) fn item(&self, index: usize, line: usize) -> Location {
        Location { section: self.section, path: format!("{}[{index}]", self.path), line }
    }

    /// Creates a problem at this location.
    pub(crate) fn problem(&self, reason: impl Into<String>) -> Problem {
        Problem {
            section: Some(self.section),
            path: self.path.clone(),
            line: self.line,
            reason: reason.into(),
        }
    }
}
