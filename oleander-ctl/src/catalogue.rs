//! The catalogue of events, read from the documentation page that the program embeds.

use oleander_core::events::Event;
use strum::IntoEnumIterator as _;

/// The documentation page with a table row for each event.
const EVENTS_PAGE: &str = include_str!("../../docs/EVENTS.md");

/// `Entry` is the catalogue's description of one event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The event.
    pub event: Event,
    /// What has happened when the event is recorded.
    pub meaning: String,
    /// What an operator should do about it.
    pub remedy: String,
}

/// Finds an event by its number or its name in kebab case; `None` if there is no such event.
pub fn find(subject: &str) -> Option<Event> {
    let by_number = subject.parse().ok().and_then(Event::from_repr);
    by_number.or_else(|| Event::iter().find(|event| event.to_string() == subject))
}

/// Returns the catalogue entry of an event; `None` if the page lacks it.
pub fn entry(event: Event) -> Option<Entry> {
    entries().into_iter().find(|entry| entry.event == event)
}

/// Returns all entries in page order: the table rows that begin with a known event number and
/// repeat that event's name.
pub fn entries() -> Vec<Entry> {
    EVENTS_PAGE.lines().filter_map(parse_row).collect()
}

/// Parses `| number | name | meaning | remedy |`; `None` for any other line.
fn parse_row(line: &str) -> Option<Entry> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let [_, number, name, meaning, remedy, _] = cells.as_slice() else {
        return None;
    };
    let event = Event::from_repr(number.parse().ok()?)?;
    let name_matches = name.trim_matches('`') == event.to_string();
    name_matches.then(|| Entry {
        event,
        meaning: (*meaning).to_owned(),
        remedy: (*remedy).to_owned(),
    })
}
