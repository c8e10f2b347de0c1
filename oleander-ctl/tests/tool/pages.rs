//! The pages that operators read, against the code.

use clap::CommandFactory as _;
use oleander_core::events::Event;
use oleander_ctl::arguments::Arguments;
use oleander_ctl::catalogue;
use oleander_ctl::errors::Exit;
use strum::IntoEnumIterator as _;

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn the_catalogue_holds_every_event_once_in_order() {
    let found: Vec<Event> = catalogue::entries().iter().map(|entry| entry.event).collect();
    assert_eq!(found, Event::iter().collect::<Vec<_>>());
    assert!(
        catalogue::entries()
            .iter()
            .all(|entry| !entry.meaning.is_empty() && !entry.remedy.is_empty())
    );
}

#[test]
fn every_exit_code_is_documented() {
    for exit in Exit::iter() {
        let row = format!("| {} | `{exit}` |", exit as u8);
        assert!(OPERATIONS.contains(&row), "no row {row}");
    }
}

#[test]
fn every_command_is_documented() {
    let command = Arguments::command();
    for command in command.get_subcommands() {
        let name = format!("`oleanderctl {}", command.get_name());
        assert!(OPERATIONS.contains(&name), "no {name}");
    }
}

#[test]
fn arguments_are_consistent() {
    Arguments::command().debug_assert();
}
