//! Edits of the text of the section `upstreams` for the evacuation of an availability zone, which
//! preserve the operators' layout and comments.

use crate::edit::EditError;
use crate::nodes;
use crate::nodes::Data;
use crate::nodes::Entry;
use crate::nodes::Node;

/// `Change` replaces `length` characters at a position by a text.
struct Change {
    /// The line, from 1.
    line: usize,
    /// The column in characters, from 0.
    column: usize,
    length: usize,
    text: String,
}

/// Marks the instances of a zone as leaving in the text of the section `upstreams` and returns the
/// new text.
///
/// # Errors
/// Fails if the text cannot be edited or no instance is in the zone.
pub fn start(text: &str, zone: &str) -> Result<String, EditError> {
    edit(text, zone, "true")
}

/// Takes the mark back from the instances of a zone and returns the new text.
///
/// # Errors
/// Fails if the text cannot be edited or no instance is in the zone.
pub fn end(text: &str, zone: &str) -> Result<String, EditError> {
    edit(text, zone, "false")
}

fn edit(text: &str, zone: &str, leaving: &str) -> Result<String, EditError> {
    let root = nodes::load(text).map_err(|_| EditError::MalformedUpstreams)?;
    let Data::List(databases) = &root.data else {
        return Err(EditError::MalformedUpstreams);
    };
    let in_zone: Vec<&Node> = databases
        .iter()
        .flat_map(instances)
        .filter(|instance| scalar(instance, "zone") == Some(zone))
        .collect();
    if in_zone.is_empty() {
        return Err(EditError::UnknownZone);
    }
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    // From the end, so that the earlier positions stay valid.
    for instance in in_zone.into_iter().rev() {
        if let Some(change) = change(&lines, instance, leaving)? {
            apply(&mut lines, &change)?;
        }
    }
    let mut edited = lines.join("\n");
    edited.push('\n');
    Ok(edited)
}

fn instances(database: &Node) -> &[Node] {
    match field(database, "instances").map(|entry| &entry.value.data) {
        Some(Data::List(instances)) => instances,
        _ => &[],
    }
}

/// Returns the change that sets the field `leaving` of an instance; `None` if it has that value.
fn change(lines: &[String], instance: &Node, leaving: &str) -> Result<Option<Change>, EditError> {
    if let Some(entry) = field(instance, "leaving") {
        let Node { line, column, data } = &entry.value;
        return match data {
            Data::Plain(value) if value == leaving => Ok(None),
            Data::Plain(value) => {
                let length = value.chars().count();
                let text = leaving.to_owned();
                Ok(Some(Change { line: *line, column: *column, length, text }))
            }
            _ => Err(EditError::MalformedUpstreams),
        };
    }
    if leaving == "false" {
        return Ok(None);
    }
    let Node { line, column, .. } = *instance;
    if char_at(lines, line, column) == Some('{') {
        let text = "leaving: true, ".to_owned();
        return Ok(Some(Change { line, column: column + 1, length: 0, text }));
    }
    let zone = field(instance, "zone").ok_or(EditError::MalformedUpstreams)?;
    let text = format!("leaving: true\n{}", " ".repeat(zone.column));
    Ok(Some(Change { line: zone.line, column: zone.column, length: 0, text }))
}

fn apply(lines: &mut [String], change: &Change) -> Result<(), EditError> {
    let line = change.line.checked_sub(1).and_then(|index| lines.get_mut(index));
    let line = line.ok_or(EditError::MalformedUpstreams)?;
    let chars = line.chars();
    let before: String = chars.clone().take(change.column).collect();
    let after: String = chars.skip(change.column + change.length).collect();
    *line = format!("{before}{}{after}", change.text);
    Ok(())
}

fn char_at(lines: &[String], line: usize, column: usize) -> Option<char> {
    lines.get(line.checked_sub(1)?)?.chars().nth(column)
}

fn field<'a>(node: &'a Node, key: &str) -> Option<&'a Entry> {
    let Data::Mapping(entries) = &node.data else {
        return None;
    };
    entries.iter().find(|entry| entry.key == key)
}

fn scalar<'a>(node: &'a Node, key: &str) -> Option<&'a str> {
    match &field(node, key)?.value.data {
        Data::Plain(text) | Data::Quoted(text) => Some(text),
        _ => None,
    }
}
