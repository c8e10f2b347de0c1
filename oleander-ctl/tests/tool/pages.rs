//! Tests that the documentation for operators covers everything that the code defines.

use clap::CommandFactory as _;
use oleander_core::events::Event;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_ctl::arguments::Arguments;
use oleander_ctl::catalogue;
use oleander_ctl::errors::Exit;
use strum::IntoEnumIterator as _;

const API: &str = include_str!("../../../docs/API.md");
const CONFIG: &str = include_str!("../../../docs/CONFIG.md");
const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn every_event_is_documented_once_and_in_order() {
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
fn every_refusal_code_and_verdict_is_documented() {
    for code in RefusalCode::iter() {
        assert!(API.contains(&format!("| `{code}` | ")), "no row {code}");
    }
    for verdict in Verdict::iter() {
        assert!(API.contains(&format!("| `{verdict}` | ")), "no row {verdict}");
    }
}

#[test]
fn every_field_of_the_examples_is_documented() {
    let examples = [
        include_str!("../../../examples/bakery.yaml"),
        include_str!("../../../examples/repair.yaml"),
    ];
    let lines = examples.iter().flat_map(|text| text.lines());
    let lines = lines.filter(|line| !line.starts_with('#'));
    let words = lines.flat_map(|line| line.split([' ', '{']));
    let fields = words.filter_map(|word| word.strip_suffix(':'));
    for field in fields {
        assert!(CONFIG.contains(&format!("`{field}`")), "no field {field}");
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
fn the_argument_definitions_are_consistent() {
    Arguments::command().debug_assert();
}
