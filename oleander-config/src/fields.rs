//! Typed reading of the fields of a mapping; every problem is kept, none ends the reading.

use std::str::FromStr;

use oleander_core::time::Span;

use crate::nodes::Data;
use crate::nodes::Entry;
use crate::nodes::Node;
use crate::problems::Problem;
use crate::problems::Site;

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The longest text of a configuration that a problem repeats, in characters.
const MAX_QUOTED_CHARS: usize = 40;

/// `Bounds` is the least and the greatest value of a number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) least: u32,
    pub(crate) most: u32,
}

/// `Fields` reads a mapping field by field.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    pub(crate) site: Site,
    entries: &'a [Entry],
}

/// `Located` is a value and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) site: Site,
}

impl<'a> Fields<'a> {
    /// Opens a mapping; tells of unknown and repeated fields.
    pub(crate) fn open(
        node: &'a Node,
        site: Site,
        allowed: &[&str],
        problems: &mut Vec<Problem>,
    ) -> Option<Self> {
        let Data::Mapping(entries) = &node.data else {
            problems.push(site.problem(format!("expected fields, found {}", kind(node))));
            return None;
        };
        for (at, entry) in entries.iter().enumerate() {
            let field = site.field(&excerpt(&entry.key), entry.line);
            if !allowed.contains(&entry.key.as_str()) {
                let known = allowed.join(", ");
                problems.push(field.problem(format!("unknown field; known are {known}")));
            } else if entries[..at].iter().any(|earlier| earlier.key == entry.key) {
                problems.push(field.problem("the field is given twice"));
            }
        }
        Some(Self { site, entries })
    }

    /// Gets a field's node and site; `None` if it is absent.
    pub(crate) fn optional(&self, name: &str) -> Option<(&'a Node, Site)> {
        let entry = self.entries.iter().find(|entry| entry.key == name)?;
        Some((&entry.value, self.site.field(name, entry.line)))
    }

    /// Gets a field's node and site; tells if it is absent.
    pub(crate) fn required(
        &self,
        name: &str,
        problems: &mut Vec<Problem>,
    ) -> Option<(&'a Node, Site)> {
        let found = self.optional(name);
        if found.is_none() {
            problems.push(self.site.problem(format!("the field {name} is missing")));
        }
        found
    }

    /// Reads a name: letters, digits, `-`, `_` and `.`.
    pub(crate) fn name(&self, name: &str, problems: &mut Vec<Problem>) -> Option<Located<String>> {
        let (node, site) = self.required(name, problems)?;
        read_name(node, site, problems)
    }

    /// Reads a text.
    pub(crate) fn text(&self, name: &str, problems: &mut Vec<Problem>) -> Option<Located<String>> {
        let (node, site) = self.required(name, problems)?;
        let value = read_text(node, &site, problems)?.to_owned();
        Some(Located { value, site })
    }

    /// Reads a whole number.
    pub(crate) fn number(
        &self,
        name: &str,
        bounds: Bounds,
        problems: &mut Vec<Problem>,
    ) -> Option<u32> {
        let (node, site) = self.required(name, problems)?;
        read_number(node, &site, bounds, problems)
    }

    /// Reads a whole number that may be absent.
    pub(crate) fn number_or(
        &self,
        name: &str,
        default: u32,
        bounds: Bounds,
        problems: &mut Vec<Problem>,
    ) -> Option<u32> {
        match self.optional(name) {
            None => Some(default),
            Some((node, site)) => read_number(node, &site, bounds, problems),
        }
    }

    /// Reads `true` or `false`; absent is `false`.
    pub(crate) fn flag(&self, name: &str, problems: &mut Vec<Problem>) -> Option<bool> {
        let Some((node, site)) = self.optional(name) else {
            return Some(false);
        };
        match &node.data {
            Data::Plain(text) if text == "true" => Some(true),
            Data::Plain(text) if text == "false" => Some(false),
            _ => {
                problems.push(site.problem("expected true or false"));
                None
            }
        }
    }

    /// Reads one word of an enum; `default` stands for an absent field.
    pub(crate) fn word<T: FromStr>(
        &self,
        name: &str,
        default: Option<T>,
        known: &str,
        problems: &mut Vec<Problem>,
    ) -> Option<T> {
        if let (None, Some(default)) = (self.optional(name), default) {
            return Some(default);
        }
        let Located { value, site } = self.text(name, problems)?;
        let word = value.parse().ok();
        if word.is_none() {
            let found = excerpt(&value);
            problems.push(site.problem(format!("unknown value {found}; known are {known}")));
        }
        word
    }

    /// Reads a duration of at least a millisecond and at most `most`.
    pub(crate) fn span(&self, name: &str, most: Span, problems: &mut Vec<Problem>) -> Option<Span> {
        let (node, site) = self.required(name, problems)?;
        let text = read_text(node, &site, problems)?;
        match text.parse::<Span>() {
            Err(error) => problems.push(site.problem(error.to_string())),
            Ok(Span::ZERO) => problems.push(site.problem("the duration must not be zero")),
            Ok(span) if most < span => {
                problems.push(site.problem(format!("the duration must be at most {most}")));
            }
            Ok(span) => return Some(span),
        }
        None
    }

    /// Gets the items of a list; an absent field has none.
    pub(crate) fn items(&self, name: &str, problems: &mut Vec<Problem>) -> Vec<(&'a Node, Site)> {
        match self.optional(name) {
            None => Vec::new(),
            Some((node, site)) => read_items(node, &site, problems),
        }
    }
}

/// Gets the items of a list; nothing at all counts as an empty list.
pub(crate) fn read_items<'a>(
    node: &'a Node,
    site: &Site,
    problems: &mut Vec<Problem>,
) -> Vec<(&'a Node, Site)> {
    match &node.data {
        Data::Null => Vec::new(),
        Data::List(items) => {
            items.iter().enumerate().map(|(at, item)| (item, site.item(at, item.line))).collect()
        }
        _ => {
            problems.push(site.problem(format!("expected a list, found {}", kind(node))));
            Vec::new()
        }
    }
}

/// Reads a name.
pub(crate) fn read_name(
    node: &Node,
    site: Site,
    problems: &mut Vec<Problem>,
) -> Option<Located<String>> {
    let text = read_text(node, &site, problems)?;
    let known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(known);
    if !valid {
        problems.push(site.problem(format!(
            "a name has 1 to {MAX_NAME_BYTES} letters, digits and the signs - _ ."
        )));
        return None;
    }
    Some(Located { value: text.to_owned(), site })
}

/// Shortens a text of the configuration for a problem.
pub(crate) fn excerpt(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        None => text.to_owned(),
        Some((end, _)) => format!("{}…", &text[..end]),
    }
}

fn read_text<'a>(node: &'a Node, site: &Site, problems: &mut Vec<Problem>) -> Option<&'a str> {
    match &node.data {
        Data::Plain(text) | Data::Quoted(text) => Some(text),
        _ => {
            problems.push(site.problem(format!("expected a text, found {}", kind(node))));
            None
        }
    }
}

/// Reads a whole number within `bounds`.
pub(crate) fn read_number(
    node: &Node,
    site: &Site,
    bounds: Bounds,
    problems: &mut Vec<Problem>,
) -> Option<u32> {
    let Data::Plain(text) = &node.data else {
        problems.push(site.problem(format!("expected a whole number, found {}", kind(node))));
        return None;
    };
    read_digits(text, site, bounds, problems)
}

/// Reads a whole number within `bounds` from a text.
pub(crate) fn read_digits(
    text: &str,
    site: &Site,
    bounds: Bounds,
    problems: &mut Vec<Problem>,
) -> Option<u32> {
    let Bounds { least, most } = bounds;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !digits {
        problems.push(site.problem(format!("expected a whole number, found {}", excerpt(text))));
        return None;
    }
    match text.parse::<u32>() {
        Ok(number) if least <= number && number <= most => Some(number),
        _ => {
            problems.push(site.problem(format!("the number must be from {least} to {most}")));
            None
        }
    }
}

fn kind(node: &Node) -> &'static str {
    match node.data {
        Data::Null => "nothing",
        Data::Plain(_) => "a text or number",
        Data::Quoted(_) => "a quoted text",
        Data::List(_) => "a list",
        Data::Mapping(_) => "fields",
    }
}
