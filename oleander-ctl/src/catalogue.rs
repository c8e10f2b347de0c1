//! The catalogue of events, as the documentation holds it.

use oleander_core::events::Event;
use strum::IntoEnumIterator as _;

const PAGE: &str = include_str!("../../docs/EVENTS.md");

/// `Entry` is what the catalogue says of one event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The event.
    pub event: Event,
    /// What it means.
    pub meaning: String,
    /// What an operator does.
    pub remedy: String,
}

/// Finds an event by its number or name.
pub fn find(subject: &str) -> Option<Event> {
    let by_number = subject.parse().ok().and_then(Event::from_repr);
    by_number.or_else(|| Event::iter().find(|event| event.to_string() == subject))
}

/// Gets the catalogue's entry of an event; `None` if the page lacks it.
pub fn entry(event: Event) -> Option<Entry> {
    entries().into_iter().find(|entry| entry.event == event)
}

/// Gets all entries of the catalogue: the table rows that begin with a number.
pub fn entries() -> Vec<Entry> {
    PAGE.lines().filter_map(read_row).collect()
}

/// Reads `| number | name | meaning | remedy |`.
fn read_row(line: &str) -> Option<Entry> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let [_, number, name, meaning, remedy, _] = cells.as_slice() else {
        return None;
    };
    let event = Event::from_repr(number.parse().ok()?)?;
    let named = name.trim_matches('`') == event.to_string();
    named.then(|| Entry { event, meaning: (*meaning).to_owned(), remedy: (*remedy).to_owned() })
}
