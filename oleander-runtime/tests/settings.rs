//! Parsing of settings files and the errors of invalid ones.

use oleander_core::time::Span;
use oleander_runtime::errors::Error;
use oleander_runtime::settings;
use rstest::rstest;
use serde::Deserialize;

#[derive(Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct Settings {
    name: String,
    #[serde(with = "oleander_runtime::settings::span")]
    wait: Span,
}

#[test]
fn settings_are_read() {
    let settings: Settings = settings::parse("a.yaml", "name: a\nwait: 500ms\n").unwrap();
    assert_eq!(settings, Settings { name: "a".to_owned(), wait: Span::from_millis(500) });
}

#[rstest]
#[case::unknown_field("name: a\nwait: 2s\nwat: 1\n", 3, "unknown field")]
#[case::missing_field("name: a\n", 1, "missing field")]
#[case::no_unit("name: a\nwait: 500\n", 2, "needs a unit")]
#[case::wrong_unit("name: a\nwait: 2h\n", 2, "ms or s")]
#[case::overflow("name: a\nwait: 99999999999999999999s\n", 2, "too long")]
#[case::not_yaml("name: [a\n", 0, "")]
fn invalid_settings_are_rejected_with_line_and_reason(
    #[case] text: &str,
    #[case] expected_line: u64,
    #[case] expected_reason: &str,
) {
    let Err(Error::SettingsError { path, line, reason }) =
        settings::parse::<Settings>("a.yaml", text)
    else {
        panic!("accepted: {text}");
    };
    assert_eq!(path.to_str(), Some("a.yaml"));
    assert!(expected_line == 0 || expected_line == line, "line {line}: {reason}");
    assert!(reason.contains(expected_reason), "{reason}");
}

#[test]
fn a_missing_file_is_a_read_error() {
    let result = settings::load::<Settings>("/nonexistent/a.yaml");
    assert!(matches!(result, Err(Error::ReadError { .. })));
}
