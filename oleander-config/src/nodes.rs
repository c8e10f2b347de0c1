//! YAML parsing into a tree with line numbers, with limits against hostile input.
//!
//! Anchors, aliases and tags are refused: a configuration does not need them, and aliases let a
//! short text expand into a huge one.

use saphyr_parser::Event;
use saphyr_parser::Parser;
use saphyr_parser::ScalarStyle;

/// The maximum nesting depth of lists and mappings.
pub(crate) const MAX_DEPTH: usize = 8;

/// The maximum number of fields in a mapping.
pub(crate) const MAX_FIELDS: usize = 32;

/// `Node` is a YAML value with its position.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// The line, from 1.
    pub(crate) line: usize,
    /// The column, from 0.
    pub(crate) column: usize,
    pub(crate) data: Data,
}

/// `Data` is the content of a node.
#[derive(Clone, Debug)]
pub(crate) enum Data {
    /// No value: an empty plain scalar, `~` or `null`.
    Null,
    /// A plain scalar: a number, a boolean or a text without quotes.
    Plain(String),
    /// A quoted or block scalar.
    Quoted(String),
    /// A list.
    List(Vec<Node>),
    /// A mapping, in source order. Keys may repeat.
    Mapping(Vec<Entry>),
}

/// `Entry` is a key of a mapping, with its line and column, and its value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) line: usize,
    pub(crate) column: usize,
    pub(crate) value: Node,
}

/// `LoadError` is the first error of a text, with its line.
#[derive(Clone, Debug)]
pub(crate) struct LoadError {
    pub(crate) line: usize,
    pub(crate) reason: String,
}

/// Parses one YAML document. An empty text is `Data::Null`.
pub(crate) fn load(text: &str) -> Result<Node, LoadError> {
    let mut parser = Parser::new_from_str(text);
    let mut builder = Builder::default();
    while let Some(step) = parser.next_event() {
        let (event, span) = step.map_err(|error| LoadError {
            line: error.marker().line(),
            reason: format!("malformed YAML: {}", error.info()),
        })?;
        builder.handle_event(event, span.start.line(), span.start.col())?;
    }
    Ok(builder.root.unwrap_or(Node { line: 1, column: 0, data: Data::Null }))
}

/// `Builder` builds the tree from the events of the YAML parser.
#[derive(Debug, Default)]
struct Builder {
    /// The open collections, outermost first.
    stack: Vec<OpenCollection>,
    /// The value of the document; `None` until it is complete.
    root: Option<Node>,
}

/// `OpenCollection` is a list or mapping that has not ended, with the last key of a mapping while
/// its value is missing.
#[derive(Debug)]
struct OpenCollection {
    node: Node,
    key: Option<Key>,
}

#[derive(Debug)]
struct Key {
    text: String,
    line: usize,
    column: usize,
}

impl Builder {
    fn handle_event(
        &mut self,
        event: Event<'_>,
        line: usize,
        column: usize,
    ) -> Result<(), LoadError> {
        if let Some(reason) = forbidden_feature(&event) {
            return load_error(line, reason);
        }
        match event {
            Event::Scalar(text, style, _, _) => {
                let data = scalar(text.into_owned(), style);
                self.add_node(Node { line, column, data })
            }
            Event::SequenceStart(..) => self.start_collection(line, column, Data::List(Vec::new())),
            Event::MappingStart(..) => {
                self.start_collection(line, column, Data::Mapping(Vec::new()))
            }
            Event::SequenceEnd | Event::MappingEnd => match self.stack.pop() {
                Some(open) => self.add_node(open.node),
                None => load_error(line, "a list or mapping ends that was not open"),
            },
            Event::DocumentStart(_) if self.root.is_some() => {
                load_error(line, "the text holds more than one YAML document")
            }
            _ => Ok(()),
        }
    }

    fn start_collection(
        &mut self,
        line: usize,
        column: usize,
        data: Data,
    ) -> Result<(), LoadError> {
        if MAX_DEPTH <= self.stack.len() {
            return load_error(line, "lists and mappings are nested too deeply");
        }
        self.stack.push(OpenCollection { node: Node { line, column, data }, key: None });
        Ok(())
    }

    /// Adds a complete node to the innermost open collection, as a key or a value in a mapping.
    fn add_node(&mut self, node: Node) -> Result<(), LoadError> {
        let Some(open) = self.stack.last_mut() else {
            self.root = Some(node);
            return Ok(());
        };
        match &mut open.node.data {
            Data::List(items) => items.push(node),
            Data::Mapping(entries) => match open.key.take() {
                Some(key) if MAX_FIELDS <= entries.len() => {
                    return load_error(key.line, "a mapping has too many fields");
                }
                Some(Key { text, line, column }) => {
                    entries.push(Entry { key: text, line, column, value: node });
                }
                None => open.key = Some(key(node)?),
            },
            Data::Null | Data::Plain(_) | Data::Quoted(_) => {}
        }
        Ok(())
    }
}

/// Returns the problem of an event that uses an anchor, alias or tag; `None` if it uses none.
fn forbidden_feature(event: &Event<'_>) -> Option<&'static str> {
    let (anchor, tagged) = match event {
        Event::Alias(_) => return Some("aliases are not allowed"),
        Event::Scalar(_, _, anchor, tag) => (*anchor, tag.is_some()),
        Event::SequenceStart(anchor, tag) | Event::MappingStart(anchor, tag) => {
            (*anchor, tag.is_some())
        }
        _ => return None,
    };
    if anchor != 0 {
        return Some("anchors are not allowed");
    }
    tagged.then_some("tags are not allowed")
}

fn scalar(text: String, style: ScalarStyle) -> Data {
    match (style, text.as_str()) {
        (ScalarStyle::Plain, "" | "~" | "null") => Data::Null,
        (ScalarStyle::Plain, _) => Data::Plain(text),
        _ => Data::Quoted(text),
    }
}

fn key(node: Node) -> Result<Key, LoadError> {
    match node.data {
        Data::Plain(text) | Data::Quoted(text) => {
            Ok(Key { text, line: node.line, column: node.column })
        }
        _ => load_error(node.line, "a field name must be a text"),
    }
}

fn load_error<T>(line: usize, reason: impl Into<String>) -> Result<T, LoadError> {
    Err(LoadError { line, reason: reason.into() })
}
