//! YAML texts as trees with lines, within bounds that a hostile text cannot pass.
//!
//! Anchors, aliases and tags are refused: a configuration has no use for them,
//! and aliases let a short text stand for a huge one.

use saphyr_parser::Event;
use saphyr_parser::Parser;
use saphyr_parser::ScalarStyle;

/// The deepest nesting of lists and mappings.
pub(crate) const MAX_DEPTH: usize = 8;

/// The most fields of a mapping.
pub(crate) const MAX_FIELDS: usize = 32;

/// `Node` is a value of a YAML text.
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
    /// No value: an empty text, `~` or `null`.
    Null,
    /// A text without quotes, which may be a number, a flag or a name.
    Plain(String),
    /// A text in quotes or a block of text.
    Quoted(String),
    /// A list.
    List(Vec<Node>),
    /// A mapping in the order of the text.
    Mapping(Vec<Entry>),
}

/// `Entry` is one key of a mapping and its value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) line: usize,
    pub(crate) column: usize,
    pub(crate) value: Node,
}

/// `Fault` is a reason why a text is not a tree.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) line: usize,
    pub(crate) reason: String,
}

/// Reads one YAML document. An empty text is `Data::Null`.
pub(crate) fn load(text: &str) -> Result<Node, Fault> {
    let mut parser = Parser::new_from_str(text);
    let mut builder = Builder::default();
    while let Some(step) = parser.next_event() {
        let (event, span) = step.map_err(|error| Fault {
            line: error.marker().line(),
            reason: format!("malformed YAML: {}", error.info()),
        })?;
        builder.take(event, span.start.line(), span.start.col())?;
    }
    Ok(builder.root.unwrap_or(Node { line: 1, column: 0, data: Data::Null }))
}

#[derive(Debug, Default)]
struct Builder {
    open: Vec<Open>,
    root: Option<Node>,
}

/// `Open` is a list or mapping that is being read, with the key that waits for its value.
#[derive(Debug)]
struct Open {
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
    fn take(&mut self, event: Event<'_>, line: usize, column: usize) -> Result<(), Fault> {
        if let Some(reason) = refused(&event) {
            return fault(line, reason);
        }
        match event {
            Event::Scalar(text, style, _, _) => {
                let data = scalar(text.into_owned(), style);
                self.add(Node { line, column, data })
            }
            Event::SequenceStart(..) => self.open(line, column, Data::List(Vec::new())),
            Event::MappingStart(..) => self.open(line, column, Data::Mapping(Vec::new())),
            Event::SequenceEnd | Event::MappingEnd => match self.open.pop() {
                Some(open) => self.add(open.node),
                None => fault(line, "a list or mapping ends that was not open"),
            },
            Event::DocumentStart(_) if self.root.is_some() => {
                fault(line, "the text holds more than one YAML document")
            }
            _ => Ok(()),
        }
    }

    fn open(&mut self, line: usize, column: usize, data: Data) -> Result<(), Fault> {
        if MAX_DEPTH <= self.open.len() {
            return fault(line, "lists and mappings are nested too deeply");
        }
        self.open.push(Open { node: Node { line, column, data }, key: None });
        Ok(())
    }

    fn add(&mut self, node: Node) -> Result<(), Fault> {
        let Some(open) = self.open.last_mut() else {
            self.root = Some(node);
            return Ok(());
        };
        match &mut open.node.data {
            Data::List(items) => items.push(node),
            Data::Mapping(entries) => match open.key.take() {
                Some(key) if MAX_FIELDS <= entries.len() => {
                    return fault(key.line, "a mapping has too many fields");
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

fn refused(event: &Event<'_>) -> Option<&'static str> {
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

fn key(node: Node) -> Result<Key, Fault> {
    match node.data {
        Data::Plain(text) | Data::Quoted(text) => {
            Ok(Key { text, line: node.line, column: node.column })
        }
        _ => fault(node.line, "a field name must be a text"),
    }
}

fn fault<T>(line: usize, reason: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { line, reason: reason.into() })
}
