//! What is wrong with a configuration: section, path, line and reason.

use serde::Serialize;

use crate::model::Section;

/// `Problem` is one reason to refuse a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The section; `None` if the problem lies outside of all sections.
    pub section: Option<Section>,
    /// The path of the value, such as `routes[2].deadline`.
    pub path: String,
    /// The line in the section's file, from 1.
    pub line: usize,
    /// The reason, a sentence part for a person.
    pub reason: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.reason)
    }
}

/// `Site` is where a value stands in a section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Site {
    pub(crate) section: Section,
    pub(crate) path: String,
    pub(crate) line: usize,
}

impl Site {
    /// Gets the site of a field of this value, on a line of its own.
    pub(crate) fn field(&self, name: &str, line: usize) -> Site {
        Site { section: self.section, path: format!("{}.{name}", self.path), line }
    }

    /// Gets the site of an item of this list.
    pub(crate) fn item(&self, at: usize, line: usize) -> Site {
        Site { section: self.section, path: format!("{}[{at}]", self.path), line }
    }

    /// Makes a problem of the value at this site.
    pub(crate) fn problem(&self, reason: impl Into<String>) -> Problem {
        Problem {
            section: Some(self.section),
            path: self.path.clone(),
            line: self.line,
            reason: reason.into(),
        }
    }
}
