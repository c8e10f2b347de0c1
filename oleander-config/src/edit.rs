//! Edits of the text of the section `workspaces` that preserve the operators' layout and comments.

use crate::model::KeyHash;
use crate::nodes;
use crate::nodes::Data;
use crate::nodes::Entry;
use crate::nodes::Node;

/// `EditError` is the reason why the text of a section was not edited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// The text is not a list of workspaces.
    Malformed,
    /// No workspace has the given name.
    UnknownWorkspace,
    /// The workspace has no key with the given name.
    UnknownKey,
    /// The workspace already has a key with the given name.
    DuplicateKey,
    /// The workspace or its keys are in YAML flow style and must be edited by hand.
    FlowStyle,
    /// The text is not a list of databases with instances.
    MalformedUpstreams,
    /// No instance is in the given availability zone.
    UnknownZone,
}

impl std::fmt::Display for EditError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            EditError::Malformed => "config: the section is not a list of workspaces",
            EditError::UnknownWorkspace => "config: no workspace has the name",
            EditError::UnknownKey => "config: the workspace has no key with the name",
            EditError::DuplicateKey => "config: the workspace already has a key with the name",
            EditError::MalformedUpstreams => {
                "config: the section is not a list of databases with instances"
            }
            EditError::UnknownZone => "config: no instance is in the availability zone",
            EditError::FlowStyle => "config: write each key on a line of its own, led by a dash",
        })
    }
}

impl std::error::Error for EditError {}

/// Adds a key to a workspace in the text of the section `workspaces` and returns the new text.
///
/// # Errors
/// Fails if the text cannot be edited, the workspace does not exist, or it already has a key of
/// that name.
pub fn grant_key(
    text: &str,
    workspace: &str,
    key: &str,
    hash: &KeyHash,
) -> Result<String, EditError> {
    let root = nodes::load(text).map_err(|_| EditError::Malformed)?;
    let entries = find_workspace(&root, workspace)?;
    let line = format!("- {{name: {key}, sha256: {hash}}}");
    let Some(keys) = entries.iter().find(|entry| entry.key == "keys") else {
        // The workspace was found by its name, so the name has a line.
        let name = entries.iter().find(|entry| entry.key == "name").ok_or(EditError::Malformed)?;
        let indent = " ".repeat(name.column);
        let added = [format!("{indent}keys:"), format!("{indent}  {line}")];
        return insert(text, name.line, &added);
    };
    match &keys.value.data {
        Data::Null => {
            let indent = " ".repeat(keys.column + 2);
            insert(text, keys.line, &[format!("{indent}{line}")])
        }
        Data::List(items) => {
            if items.iter().any(|item| name_of(item) == Some(key)) {
                return Err(EditError::DuplicateKey);
            }
            let dash = dash_column(text, items.first()).ok_or(EditError::FlowStyle)?;
            insert(text, keys.line, &[format!("{}{line}", " ".repeat(dash))])
        }
        _ => Err(EditError::Malformed),
    }
}

/// Removes a key from a workspace in the text of the section `workspaces` and returns the new text.
///
/// # Errors
/// Fails if the text cannot be edited, or the workspace or its key does not exist.
pub fn withdraw_key(text: &str, workspace: &str, key: &str) -> Result<String, EditError> {
    let root = nodes::load(text).map_err(|_| EditError::Malformed)?;
    let entries = find_workspace(&root, workspace)?;
    let keys = entries.iter().find(|entry| entry.key == "keys").ok_or(EditError::UnknownKey)?;
    let Data::List(items) = &keys.value.data else {
        return Err(EditError::UnknownKey);
    };
    let item = items.iter().find(|item| name_of(item) == Some(key)).ok_or(EditError::UnknownKey)?;
    let dash = dash_column(text, Some(item)).ok_or(EditError::FlowStyle)?;
    Ok(remove(text, item.line, dash))
}

fn find_workspace<'a>(root: &'a Node, workspace: &str) -> Result<&'a [Entry], EditError> {
    let Data::List(items) = &root.data else {
        return Err(EditError::Malformed);
    };
    let found = items.iter().find(|item| name_of(item) == Some(workspace));
    match found.map(|item| &item.data) {
        Some(Data::Mapping(entries)) => Ok(entries),
        _ => Err(EditError::UnknownWorkspace),
    }
}

/// Returns the value of a mapping's field `name`; `None` if it has none.
fn name_of(node: &Node) -> Option<&str> {
    let Data::Mapping(entries) = &node.data else {
        return None;
    };
    let name = entries.iter().find(|entry| entry.key == "name")?;
    match &name.value.data {
        Data::Plain(text) | Data::Quoted(text) => Some(text),
        _ => None,
    }
}

/// Returns the column of an item's dash; `None` if anything but the dash precedes the item on its
/// line.
fn dash_column(text: &str, item: Option<&Node>) -> Option<usize> {
    let line = text.lines().nth(item?.line - 1)?;
    let before = line.get(..item?.column)?;
    let dash = before.find('-')?;
    (before.trim() == "-").then_some(dash)
}

/// Inserts lines after line number `after`. Fails if that line starts a value in flow style.
fn insert(text: &str, after: usize, added: &[String]) -> Result<String, EditError> {
    let mut lines: Vec<&str> = text.lines().collect();
    let start = lines.get(after - 1).ok_or(EditError::Malformed)?;
    // In flow style an inserted line would not be a new item.
    let content = start.trim_start_matches([' ', '-']);
    if content.starts_with(['{', '[']) {
        return Err(EditError::FlowStyle);
    }
    lines.splice(after..after, added.iter().map(String::as_str));
    Ok(join(&lines))
}

/// Removes an item: the line of its dash and the following lines with deeper indentation.
fn remove(text: &str, line: usize, dash: usize) -> String {
    let lines: Vec<&str> = text.lines().collect();
    let belongs = |line: &&&str| dash < indent(line) && !line.trim().is_empty();
    let following = lines.iter().skip(line).take_while(belongs).count();
    let kept: Vec<&str> = [&lines[..line - 1], &lines[line + following..]].concat();
    join(&kept)
}

fn indent(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

fn join(lines: &[&str]) -> String {
    let mut text = lines.join("\n");
    text.push('\n');
    text
}
