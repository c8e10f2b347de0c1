//! The pages for operators and clients must agree with the programs.

use std::collections::BTreeSet;

use oleander_agent::settings::Settings;
use oleander_agent::settings::Times;
use oleander_core::verdict::RefusalCode;
use oleander_proxy::callers::status::http_status;
use oleander_proxy::settings::ProxySettings;
use oleander_runtime::settings;
use serde::de::DeserializeOwned;
use strum::IntoEnumIterator as _;

const API: &str = include_str!("../../docs/API.md");
const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");

#[test]
fn api_page_lists_http_status_of_every_refusal_code() {
    for code in RefusalCode::iter() {
        let row = format!("| `{code}` | {} | ", http_status(code).as_u16());
        assert!(API.contains(&row), "no row {row}");
    }
}

#[test]
fn operations_page_lists_exactly_the_settings_of_each_program() {
    assert_eq!(documented("### `oleander-proxy`"), accepted::<ProxySettings>());
    assert_eq!(documented("### `oleander-agent`"), accepted::<Settings>());
    assert_eq!(documented("#### `times`"), accepted::<Times>());
}

#[test]
fn operations_page_lists_the_default_of_each_time() {
    let text = serde_json::to_value(Times::default()).unwrap();
    for (name, value) in text.as_object().unwrap() {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        let row = format!("| `{name}` | {value} | ");
        assert!(OPERATIONS.contains(&row), "no row {row}");
    }
}

/// Returns the names of the settings in the table under a heading.
fn documented(heading: &str) -> BTreeSet<String> {
    let heading = format!("\n{heading}\n");
    let (_, rest) = OPERATIONS.split_once(&heading).expect("no heading");
    let table = rest.split("\n#").next().unwrap_or_default();
    let names = table.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    names.map(str::to_owned).collect()
}

/// Returns the names of the settings that a program accepts, taken from its error message for an
/// unknown setting.
fn accepted<T: DeserializeOwned>() -> BTreeSet<String> {
    let Err(error) = settings::parse::<T>("settings.yaml", "no_such_setting: 1\n") else {
        panic!("an unknown setting was accepted");
    };
    let text = error.to_string();
    let (_, names) = text.split_once("expected one of").unwrap_or_else(|| panic!("{text}"));
    names.split(',').map(|name| name.trim().trim_matches('`').to_owned()).collect()
}
