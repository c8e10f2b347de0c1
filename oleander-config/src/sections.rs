//! Section texts: splitting a document, hashing, and the validation of all sections together.

use std::collections::BTreeMap;

use sha2::Digest as _;
use sha2::Sha256;
use strum::IntoEnumIterator as _;

use crate::check;
use crate::keys;
use crate::model::Document;
use crate::model::Section;
use crate::names::Names;
use crate::nodes;
use crate::nodes::Data;
use crate::nodes::Entry;
use crate::nodes::Node;
use crate::parse;
use crate::problems::Location;
use crate::problems::Problem;

/// The maximum size of a section's text in bytes; below the store's limit of a megabyte per value.
pub const MAX_SECTION_BYTES: usize = 900_000;

/// The maximum number of problems reported at once. If there are more, the last one states how many
/// are not listed.
pub const MAX_PROBLEMS: usize = 200;

/// `SectionText` is the YAML text of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SectionText {
    /// The section.
    pub section: Section,
    /// The YAML text, a list.
    pub text: String,
    /// The line in its file at which the text starts, from 1.
    pub line: usize,
}

impl SectionText {
    /// Creates the text of a section that starts at line 1 of its file.
    pub fn new(section: Section, text: impl Into<String>) -> Self {
        Self { section, text: text.into(), line: 1 }
    }
}

/// Returns the name under which a section's text is stored: its SHA-256 digest in hexadecimal.
pub fn section_hash(text: &str) -> String {
    keys::hex(&Sha256::digest(text.as_bytes()))
}

/// Parses and validates all sections together. A missing section counts as empty.
///
/// # Errors
/// Returns all problems, sorted by section and line, at most `MAX_PROBLEMS`.
pub fn parse_sections(texts: &[SectionText]) -> Result<Document, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut nodes = BTreeMap::new();
    for text in texts {
        let Some(loaded) = load_section(text, &mut problems) else {
            continue;
        };
        if nodes.insert(text.section, loaded).is_some() {
            problems.push(location(text, text.line).problem("the section is given twice"));
        }
    }

    let mut names = Names::default();
    let mut parsed = parse::ParsedItems::default();
    for section in Section::iter() {
        if let Some((location, node)) = nodes.get(&section) {
            parse::read_section(location, node, &mut parsed, &mut names, &mut problems);
        }
    }
    check::references(&parsed, &names, &mut problems);
    check::zones(&parsed, &mut problems);
    check::costs(&parsed, &mut problems);

    if problems.is_empty() { Ok(parsed.into_document()) } else { Err(sort_and_truncate(problems)) }
}

/// Converts pairs of section name and text, as stored, to section texts.
///
/// # Errors
/// Fails if a name is not a section of this version: ignoring an unknown section would ignore
/// settings that a newer version relies on.
pub fn stored_sections<'a>(
    stored: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<Vec<SectionText>, Vec<Problem>> {
    let named = stored.into_iter().map(|(name, text)| match name.parse::<Section>() {
        Ok(section) => Ok(SectionText::new(section, text)),
        Err(_) => {
            let reason = "this version does not know the section".to_owned();
            Err(vec![Problem { section: None, path: name.to_owned(), line: 0, reason }])
        }
    });
    named.collect()
}

/// Parses and validates stored sections, given as pairs of name and text.
///
/// # Errors
/// Returns the problems of `stored_sections` or `parse_sections`.
pub fn parse_stored<'a>(
    stored: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<Document, Vec<Problem>> {
    parse_sections(&stored_sections(stored)?)
}

/// Splits a document into its sections. Absent sections are omitted.
///
/// # Errors
/// Fails if the text is larger than four sections can be, or is not a mapping in block style whose
/// fields are sections.
pub fn split_document(text: &str) -> Result<Vec<SectionText>, Vec<Problem>> {
    if MAX_SECTION_BYTES * 4 < text.len() {
        return Err(vec![document_problem(1, "", "the document is too large")]);
    }
    let node =
        nodes::load(text).map_err(|error| vec![document_problem(error.line, "", error.reason)])?;
    let Data::Mapping(entries) = &node.data else {
        return Err(vec![document_problem(node.line, "", "expected the sections as fields")]);
    };
    let problems: Vec<Problem> = entries
        .iter()
        .enumerate()
        .filter_map(|(index, entry)| entry_problem(entries, index, entry))
        .collect();
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(extract_sections(text, entries))
}

/// Returns the problem of a field that cannot be split off as a section; `None` if it can.
fn entry_problem(entries: &[Entry], index: usize, entry: &Entry) -> Option<Problem> {
    let key = entry.key.as_str();
    let reason = if key.parse::<Section>().is_err() {
        "unknown section; known are workspaces, rates, upstreams, routes"
    } else if entries[..index].iter().any(|earlier| earlier.key == key) {
        "the section is given twice"
    } else if entry.column != 0 {
        "a section starts at the beginning of a line"
    } else {
        return None;
    };
    Some(document_problem(entry.line, key, reason))
}

/// Extracts the lines of each section from the document.
///
/// The section's name is replaced by spaces to keep line and column numbers.
fn extract_sections(text: &str, entries: &[Entry]) -> Vec<SectionText> {
    let lines: Vec<&str> = text.lines().collect();
    let ends = entries.iter().skip(1).map(|entry| entry.line - 1).chain([lines.len()]);
    let extract_one = |(entry, end): (&Entry, usize)| {
        let first = lines.get(entry.line - 1)?;
        let (_, rest) = first.split_once(':')?;
        let blanks = " ".repeat(first.len() - rest.len());
        let mut body = vec![format!("{blanks}{rest}").trim_end().to_owned()];
        body.extend(lines.get(entry.line..end)?.iter().map(|line| (*line).to_owned()));
        let mut text = body.join("\n");
        text.truncate(text.trim_end().len());
        text.push('\n');
        Some(SectionText { section: entry.key.parse().ok()?, text, line: entry.line })
    };
    entries.iter().zip(ends).filter_map(extract_one).collect()
}

/// Parses a section's text. Reports a text that is too large or malformed and returns `None`.
fn load_section(text: &SectionText, problems: &mut Vec<Problem>) -> Option<(Location, Node)> {
    if MAX_SECTION_BYTES < text.text.len() {
        let reason = format!("the section is larger than {MAX_SECTION_BYTES} bytes");
        problems.push(location(text, text.line).problem(reason));
        return None;
    }
    match nodes::load(&text.text) {
        Ok(mut node) => {
            shift_lines(&mut node, text.line - 1);
            Some((location(text, node.line), node))
        }
        Err(error) => {
            problems.push(location(text, error.line + text.line - 1).problem(error.reason));
            None
        }
    }
}

/// Adds `lines` to all line numbers of a node, to convert them to lines of its file.
fn shift_lines(node: &mut Node, lines: usize) {
    node.line += lines;
    match &mut node.data {
        Data::List(items) => items.iter_mut().for_each(|item| shift_lines(item, lines)),
        Data::Mapping(entries) => {
            for entry in entries {
                entry.line += lines;
                shift_lines(&mut entry.value, lines);
            }
        }
        Data::Null | Data::Plain(_) | Data::Quoted(_) => {}
    }
}

fn location(text: &SectionText, line: usize) -> Location {
    Location { section: text.section, path: text.section.to_string(), line }
}

fn document_problem(line: usize, path: &str, reason: impl Into<String>) -> Problem {
    Problem { section: None, path: path.to_owned(), line, reason: reason.into() }
}

/// Sorts problems by section and line and reduces them to `MAX_PROBLEMS`.
fn sort_and_truncate(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.sort_by_key(|problem| (problem.section, problem.line));
    if MAX_PROBLEMS < problems.len() {
        let left = problems.len() - (MAX_PROBLEMS - 1);
        problems.truncate(MAX_PROBLEMS - 1);
        problems.push(document_problem(0, "", format!("{left} more problems are not listed")));
    }
    problems
}
