//! Typed access to the fields of a mapping. Reading continues after a problem, so that all problems
//! are reported at once.

use std::str::FromStr;

use oleander_core::level::Level;
use oleander_core::time::Span;

use crate::nodes::Data;
use crate::nodes::Entry;
use crate::nodes::Node;
use crate::problems::Location;
use crate::problems::Problem;

/// The maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The maximum length, in characters, of configuration text that is quoted in a problem.
const MAX_QUOTED_CHARS: usize = 40;

/// The bounds of the priorities of routes and workspaces.
const PRIORITY_BOUNDS: Bounds = Bounds { min: 0, max: Level::LAST.0 as u32 };

/// `Bounds` is an inclusive range of numbers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) min: u32,
    pub(crate) max: u32,
}

/// `Fields` reads a mapping field by field.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    pub(crate) location: Location,
    entries: &'a [Entry],
}

/// `Located` is a value and its location in the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) location: Location,
}

impl<'a> Fields<'a> {
    /// Starts reading a mapping. Reports unknown and repeated fields. Returns `None` and reports a
    /// problem if the node is not a mapping.
    pub(crate) fn from_node(
        node: &'a Node,
        location: Location,
        allowed: &[&str],
        problems: &mut Vec<Problem>,
    ) -> Option<Self> {
        let Data::Mapping(entries) = &node.data else {
            problems.push(location.problem(format!("expected fields, found {}", describe(node))));
            return None;
        };
        for (index, entry) in entries.iter().enumerate() {
            let field = location.field(&excerpt(&entry.key), entry.line);
            if !allowed.contains(&entry.key.as_str()) {
                let known = allowed.join(", ");
                problems.push(field.problem(format!("unknown field; known are {known}")));
            } else if entries[..index].iter().any(|earlier| earlier.key == entry.key) {
                problems.push(field.problem("the field is given twice"));
            }
        }
        Some(Self { location, entries })
    }

    /// Returns a field's node and location; `None` if it is absent.
    pub(crate) fn optional(&self, name: &str) -> Option<(&'a Node, Location)> {
        let entry = self.entries.iter().find(|entry| entry.key == name)?;
        Some((&entry.value, self.location.field(name, entry.line)))
    }

    /// Returns a field's node and location. Reports an absent field.
    pub(crate) fn required(
        &self,
        name: &str,
        problems: &mut Vec<Problem>,
    ) -> Option<(&'a Node, Location)> {
        let found = self.optional(name);
        if found.is_none() {
            problems.push(self.location.problem(format!("the field {name} is missing")));
        }
        found
    }

    /// Reads a required name: letters, digits, `-`, `_` and `.`.
    pub(crate) fn name(&self, name: &str, problems: &mut Vec<Problem>) -> Option<Located<String>> {
        let (node, location) = self.required(name, problems)?;
        read_name(node, location, problems)
    }

    /// Reads a required text, quoted or not.
    pub(crate) fn text(&self, name: &str, problems: &mut Vec<Problem>) -> Option<Located<String>> {
        let (node, location) = self.required(name, problems)?;
        let value = read_text(node, &location, problems)?.to_owned();
        Some(Located { value, location })
    }

    /// Reads a required whole number within `bounds`.
    pub(crate) fn number(
        &self,
        name: &str,
        bounds: Bounds,
        problems: &mut Vec<Problem>,
    ) -> Option<u32> {
        let (node, location) = self.required(name, problems)?;
        read_number(node, &location, bounds, problems)
    }

    /// Reads an optional whole number within `bounds`.
    pub(crate) fn number_or(
        &self,
        name: &str,
        default: u32,
        bounds: Bounds,
        problems: &mut Vec<Problem>,
    ) -> Option<u32> {
        match self.optional(name) {
            None => Some(default),
            Some((node, location)) => read_number(node, &location, bounds, problems),
        }
    }

    /// Reads the optional `priority`; the default is 0, the highest.
    pub(crate) fn priority(&self, problems: &mut Vec<Problem>) -> Option<u8> {
        let priority = self.number_or("priority", 0, PRIORITY_BOUNDS, problems)?;
        u8::try_from(priority).ok()
    }

    /// Reads an optional `true` or `false`; the default is `false`.
    pub(crate) fn flag(&self, name: &str, problems: &mut Vec<Problem>) -> Option<bool> {
        let Some((node, location)) = self.optional(name) else {
            return Some(false);
        };
        match &node.data {
            Data::Plain(text) if text == "true" => Some(true),
            Data::Plain(text) if text == "false" => Some(false),
            _ => {
                problems.push(location.problem("expected true or false"));
                None
            }
        }
    }

    /// Reads a field with a word from which a `T` is parsed. An absent field yields `default`, or
    /// is reported if `default` is `None`. `known` lists the accepted words for the report.
    pub(crate) fn keyword<T: FromStr>(
        &self,
        name: &str,
        default: Option<T>,
        known: &str,
        problems: &mut Vec<Problem>,
    ) -> Option<T> {
        if let (None, Some(default)) = (self.optional(name), default) {
            return Some(default);
        }
        let Located { value, location } = self.text(name, problems)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            let found = excerpt(&value);
            problems.push(location.problem(format!("unknown value {found}; known are {known}")));
        }
        parsed
    }

    /// Reads a required duration of at least one millisecond, the smallest unit, and at most `max`.
    pub(crate) fn span(&self, name: &str, max: Span, problems: &mut Vec<Problem>) -> Option<Span> {
        let (node, location) = self.required(name, problems)?;
        let text = read_text(node, &location, problems)?;
        match text.parse::<Span>() {
            Err(error) => problems.push(location.problem(error.to_string())),
            Ok(Span::ZERO) => problems.push(location.problem("the duration must not be zero")),
            Ok(span) if max < span => {
                problems.push(location.problem(format!("the duration must be at most {max}")));
            }
            Ok(span) => return Some(span),
        }
        None
    }

    /// Reads an optional list; the default is an empty list.
    pub(crate) fn items(
        &self,
        name: &str,
        problems: &mut Vec<Problem>,
    ) -> Vec<(&'a Node, Location)> {
        match self.optional(name) {
            None => Vec::new(),
            Some((node, location)) => read_items(node, &location, problems),
        }
    }
}

/// Returns the items of a list with their locations. A null value counts as an empty list.
pub(crate) fn read_items<'a>(
    node: &'a Node,
    location: &Location,
    problems: &mut Vec<Problem>,
) -> Vec<(&'a Node, Location)> {
    match &node.data {
        Data::Null => Vec::new(),
        Data::List(items) => items
            .iter()
            .enumerate()
            .map(|(index, item)| (item, location.item(index, item.line)))
            .collect(),
        _ => {
            problems.push(location.problem(format!("expected a list, found {}", describe(node))));
            Vec::new()
        }
    }
}

/// Reads a name of 1 to `MAX_NAME_BYTES` letters, digits, `-`, `_` and `.`.
pub(crate) fn read_name(
    node: &Node,
    location: Location,
    problems: &mut Vec<Problem>,
) -> Option<Located<String>> {
    let text = read_text(node, &location, problems)?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed);
    if !valid {
        problems.push(location.problem(format!(
            "a name has 1 to {MAX_NAME_BYTES} letters, digits and the signs - _ ."
        )));
        return None;
    }
    Some(Located { value: text.to_owned(), location })
}

/// Truncates configuration text to `MAX_QUOTED_CHARS` for use in a problem.
pub(crate) fn excerpt(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        None => text.to_owned(),
        Some((end, _)) => format!("{}…", &text[..end]),
    }
}

/// Reads a text, quoted or not.
fn read_text<'a>(
    node: &'a Node,
    location: &Location,
    problems: &mut Vec<Problem>,
) -> Option<&'a str> {
    match &node.data {
        Data::Plain(text) | Data::Quoted(text) => Some(text),
        _ => {
            problems.push(location.problem(format!("expected a text, found {}", describe(node))));
            None
        }
    }
}

/// Reads an unquoted whole number within `bounds`.
pub(crate) fn read_number(
    node: &Node,
    location: &Location,
    bounds: Bounds,
    problems: &mut Vec<Problem>,
) -> Option<u32> {
    let Data::Plain(text) = &node.data else {
        problems
            .push(location.problem(format!("expected a whole number, found {}", describe(node))));
        return None;
    };
    read_digits(text, location, bounds, problems)
}

/// Parses a whole number within `bounds`.
pub(crate) fn read_digits(
    text: &str,
    location: &Location,
    bounds: Bounds,
    problems: &mut Vec<Problem>,
) -> Option<u32> {
    let Bounds { min, max } = bounds;
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        problems
            .push(location.problem(format!("expected a whole number, found {}", excerpt(text))));
        return None;
    }
    match text.parse::<u32>() {
        Ok(number) if min <= number && number <= max => Some(number),
        _ => {
            problems.push(location.problem(format!("the number must be from {min} to {max}")));
            None
        }
    }
}

/// Names the type of a node's value for a problem.
fn describe(node: &Node) -> &'static str {
    match node.data {
        Data::Null => "nothing",
        Data::Plain(_) => "a text or number",
        Data::Quoted(_) => "a quoted text",
        Data::List(_) => "a list",
        Data::Mapping(_) => "fields",
    }
}
