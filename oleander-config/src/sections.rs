//! Sections as texts: splitting, hashing, and the check of all sections together.

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
use crate::problems::Problem;
use crate::problems::Site;

/// The largest text of a section, in bytes; below the store's limit of a megabyte for a value.
pub const MAX_SECTION_BYTES: usize = 900_000;

/// The number of problems that are reported at once; a text with more ends the list with a note.
pub const MAX_PROBLEMS: usize = 200;

/// `SectionText` is the YAML text of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SectionText {
    /// The section.
    pub section: Section,
    /// The YAML text: a list.
    pub text: String,
    /// The line of its file on which the text starts, from 1.
    pub line: usize,
}

impl SectionText {
    /// Makes a section's text that starts its file.
    pub fn new(section: Section, text: impl Into<String>) -> Self {
        Self { section, text: text.into(), line: 1 }
    }
}

/// Gets the name under which a section's text is stored: its SHA-256 in hexadecimal.
pub fn section_hash(text: &str) -> String {
    keys::hex(&Sha256::digest(text.as_bytes()))
}

/// Reads and checks all sections together. A section that is not given is empty.
///
/// # Errors
/// Gets all problems, in the order of sections and lines, at most `MAX_PROBLEMS`.
pub fn parse_sections(texts: &[SectionText]) -> Result<Document, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut nodes = BTreeMap::new();
    for text in texts {
        let Some(loaded) = load_section(text, &mut problems) else {
            continue;
        };
        if nodes.insert(text.section, loaded).is_some() {
            problems.push(site(text, text.line).problem("the section is given twice"));
        }
    }

    let mut names = Names::default();
    let mut drafts = parse::Drafts::default();
    for section in Section::iter() {
        if let Some((site, node)) = nodes.get(&section) {
            parse::section(site, node, &mut drafts, &mut names, &mut problems);
        }
    }
    check::references(&drafts, &names, &mut problems);
    check::places(&drafts, &mut problems);
    check::costs(&drafts, &mut problems);

    if problems.is_empty() { Ok(drafts.into_document()) } else { Err(bound(problems)) }
}

/// Takes the names of stored sections in.
///
/// # Errors
/// Fails if a section is not known to this version, which must not pass over what it holds.
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

/// Reads and checks stored sections together, by their names.
///
/// # Errors
/// Fails as `stored_sections` and `parse_sections` do.
pub fn parse_stored<'a>(
    stored: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<Document, Vec<Problem>> {
    parse_sections(&stored_sections(stored)?)
}

/// Splits a whole document into its sections. A section that is absent is left out.
///
/// # Errors
/// Fails if the text is not a mapping in block style whose fields are sections.
pub fn split_document(text: &str) -> Result<Vec<SectionText>, Vec<Problem>> {
    if MAX_SECTION_BYTES * 4 < text.len() {
        return Err(vec![outside(1, "", "the document is too large")]);
    }
    let node = nodes::load(text).map_err(|fault| vec![outside(fault.line, "", fault.reason)])?;
    let Data::Mapping(entries) = &node.data else {
        return Err(vec![outside(node.line, "", "expected the sections as fields")]);
    };
    let problems: Vec<Problem> = entries
        .iter()
        .enumerate()
        .filter_map(|(at, entry)| misplaced(entries, at, entry))
        .collect();
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(cut(text, entries))
}

/// Tells if a field of the document cannot be cut out as a section.
fn misplaced(entries: &[Entry], at: usize, entry: &Entry) -> Option<Problem> {
    let key = entry.key.as_str();
    let reason = if key.parse::<Section>().is_err() {
        "unknown section; known are workspaces, rates, upstreams, routes"
    } else if entries[..at].iter().any(|earlier| earlier.key == key) {
        "the section is given twice"
    } else if entry.column != 0 {
        "a section starts at the beginning of a line"
    } else {
        return None;
    };
    Some(outside(entry.line, key, reason))
}

/// Cuts the lines of each section out of the document.
///
/// The section's name becomes blanks, so that lines and columns stay the same.
fn cut(text: &str, entries: &[Entry]) -> Vec<SectionText> {
    let lines: Vec<&str> = text.lines().collect();
    let ends = entries.iter().skip(1).map(|entry| entry.line - 1).chain([lines.len()]);
    let cut_one = |(entry, end): (&Entry, usize)| {
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
    entries.iter().zip(ends).filter_map(cut_one).collect()
}

fn load_section(text: &SectionText, problems: &mut Vec<Problem>) -> Option<(Site, Node)> {
    if MAX_SECTION_BYTES < text.text.len() {
        let reason = format!("the section is larger than {MAX_SECTION_BYTES} bytes");
        problems.push(site(text, text.line).problem(reason));
        return None;
    }
    match nodes::load(&text.text) {
        Ok(mut node) => {
            shift(&mut node, text.line - 1);
            Some((site(text, node.line), node))
        }
        Err(fault) => {
            problems.push(site(text, fault.line + text.line - 1).problem(fault.reason));
            None
        }
    }
}

/// Moves a node's lines to where the text stands in its file.
fn shift(node: &mut Node, lines: usize) {
    node.line += lines;
    match &mut node.data {
        Data::List(items) => items.iter_mut().for_each(|item| shift(item, lines)),
        Data::Mapping(entries) => {
            for entry in entries {
                entry.line += lines;
                shift(&mut entry.value, lines);
            }
        }
        Data::Null | Data::Plain(_) | Data::Quoted(_) => {}
    }
}

fn site(text: &SectionText, line: usize) -> Site {
    Site { section: text.section, path: text.section.to_string(), line }
}

fn outside(line: usize, path: &str, reason: impl Into<String>) -> Problem {
    Problem { section: None, path: path.to_owned(), line, reason: reason.into() }
}

fn bound(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.sort_by_key(|problem| (problem.section, problem.line));
    if MAX_PROBLEMS < problems.len() {
        let left = problems.len() - (MAX_PROBLEMS - 1);
        problems.truncate(MAX_PROBLEMS - 1);
        problems.push(outside(0, "", format!("{left} more problems are not listed")));
    }
    problems
}
