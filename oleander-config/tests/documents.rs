//! Accepted documents: examples, splitting, hashes, differences and edits.

use oleander_config::diff::Action;
use oleander_config::diff::diff;
use oleander_config::edit::EditError;
use oleander_config::edit::grant_key;
use oleander_config::edit::withdraw_key;
use oleander_config::keys::hash_key;
use oleander_config::model::Document;
use oleander_config::model::KeyHash;
use oleander_config::model::Section;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_config::sections::parse_stored;
use oleander_config::sections::section_hash;
use oleander_config::sections::split_document;
use oleander_config::sections::stored_sections;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::Revision;
use rstest::rstest;

const BAKERY: &str = include_str!("../../examples/bakery.yaml");
const REPAIR: &str = include_str!("../../examples/repair.yaml");

fn parse(text: &str) -> Document {
    parse_sections(&split_document(text).unwrap()).unwrap()
}

#[rstest]
#[case::bakery(BAKERY, "rosewood")]
#[case::repair(REPAIR, "linden")]
fn examples_are_valid_and_have_the_expected_sizes(#[case] text: &str, #[case] workspace: &str) {
    let document = parse(text);
    assert_eq!((document.workspaces.len(), document.rates.len()), (8, 8));
    assert_eq!(document.upstreams.len(), 3);
    assert!(document.upstreams.iter().all(|database| database.instances.len() == 3));
    let snapshot = Snapshot::new(Revision(1), document);
    let hash = hash_key(&format!("oleander_example_{workspace}"));
    let idx = snapshot.workspace_of_key(&hash).unwrap();
    assert_eq!(snapshot.workspaces[idx].name, workspace);
}

#[test]
fn sections_stand_alone_and_have_stable_hashes() {
    let sections = split_document(BAKERY).unwrap();
    let alone: Vec<SectionText> =
        sections.iter().map(|text| SectionText::new(text.section, text.text.clone())).collect();
    assert_eq!(parse_sections(&alone).unwrap(), parse(BAKERY));
    assert_eq!(
        section_hash("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}

#[test]
fn a_section_may_be_empty_or_in_one_line() {
    let sections = split_document("workspaces: [{name: a}]\nrates:\n").unwrap();
    assert_eq!(parse_sections(&sections).unwrap().workspaces[0].name, "a");
}

#[rstest]
#[case::rate("rate: 200/s", "rate: 300/s", "rates: rate rosewood: rate 200 -> 300")]
#[case::weight("    weight: 4", "    weight: 5", "workspaces: workspace rosewood: weight 4 -> 5")]
#[case::priority(
    "deadline: 800ms",
    "deadline: 800ms\n    priority: 2",
    "routes: route find-order: priority 0 -> 2"
)]
#[case::leaving(
    "slots: 2",
    "slots: 2\n    leaving: true",
    "upstreams: database orders: leaving false -> true"
)]
#[case::age("max_age: 2s", "max_age: 2500ms", "routes: route list-stops: max_age 2s -> 2500ms")]
fn a_changed_field_is_listed(
    #[case] piece: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    let changes = diff(&parse(BAKERY), &parse(&BAKERY.replacen(piece, replacement, 1)));
    let texts: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(texts, [expected]);
}

#[test]
fn added_and_removed_items_are_listed() {
    let (old, mut new) = (parse(BAKERY), parse(BAKERY));
    new.routes[0].name = "renamed".to_owned();
    let changes = diff(&old, &new);
    let actions: Vec<_> =
        changes.iter().map(|change| (change.name.as_str(), &change.action)).collect();
    assert_eq!(actions, [("place-order", &Action::Removed), ("renamed", &Action::Added)]);
}

fn workspaces_text() -> String {
    let sections = split_document(BAKERY).unwrap();
    sections.into_iter().find(|text| text.section == Section::Workspaces).unwrap().text
}

fn keys_of(text: &str, workspace: &str) -> Vec<(String, KeyHash)> {
    let document = parse_sections(&[SectionText::new(Section::Workspaces, text)]).unwrap();
    let found = document.workspaces.iter().find(|candidate| candidate.name == workspace).unwrap();
    found.keys.iter().map(|key| (key.name.clone(), key.hash)).collect()
}

#[test]
fn a_granted_key_can_be_withdrawn_without_a_trace() {
    let text = workspaces_text();
    let hash = hash_key("new key");
    let granted = grant_key(&text, "cedar", "second", &hash).unwrap();
    let keys = keys_of(&granted, "cedar");
    assert_eq!(keys.len(), 2);
    assert!(keys.contains(&("second".to_owned(), hash)));
    assert_eq!(keys_of(&granted, "rosewood").len(), 1);
    assert_eq!(withdraw_key(&granted, "cedar", "second").unwrap(), text);
}

#[rstest]
#[case::no_keys("- name: a\n  weight: 2\n")]
#[case::empty_keys("- name: a\n  keys:\n  weight: 2\n")]
#[case::long_form(
    "# Ours.\n- name: a\n  keys:\n  - name: first\n    sha256: 1111111111111111111111111111111111111111111111111111111111111111\n"
)]
fn a_key_is_granted_in_each_layout(#[case] text: &str) {
    let granted = grant_key(text, "a", "second", &hash_key("k")).unwrap();
    assert!(keys_of(&granted, "a").contains(&("second".to_owned(), hash_key("k"))));
}

#[test]
fn a_key_in_the_long_form_is_withdrawn_whole() {
    let text = "- name: a\n  keys:\n    - name: first\n      sha256: 11\n    - name: second\n      sha256: 22\n  weight: 2\n";
    let expected = "- name: a\n  keys:\n    - name: second\n      sha256: 22\n  weight: 2\n";
    assert_eq!(withdraw_key(text, "a", "first").unwrap(), expected);
}

#[rstest]
#[case::unknown_workspace("b", "x", EditError::UnknownWorkspace)]
#[case::unknown_key("a", "x", EditError::UnknownKey)]
#[case::one_line("c", "first", EditError::FlowStyle)]
fn impossible_edits_are_refused(
    #[case] workspace: &str,
    #[case] key: &str,
    #[case] expected: EditError,
) {
    let text = "- name: a\n  keys: []\n- {name: c, keys: [{name: first, sha256: 11}]}\n";
    assert_eq!(withdraw_key(text, workspace, key), Err(expected));
}

#[test]
fn a_second_key_of_the_same_name_is_refused() {
    let text = workspaces_text();
    let result = grant_key(&text, "cedar", "first", &hash_key("k"));
    assert_eq!(result, Err(EditError::DuplicateKey));
}

/// `Stored` is the name of a stored section and whether this version accepts it.
struct Stored {
    name: &'static str,
    accepted: bool,
}

/// Guards against inconsistent checks: two programs ignored an unknown section that others refused.
#[rstest]
#[case::known(Stored { name: "workspaces", accepted: true })]
#[case::of_another_version(Stored { name: "shards", accepted: false })]
#[case::in_capitals(Stored { name: "Workspaces", accepted: false })]
fn a_stored_section_of_another_version_is_refused(#[case] stored: Stored) {
    let named = stored_sections([(stored.name, "")]);
    assert_eq!(named.is_ok(), stored.accepted);
    if let Err(problems) = named {
        assert_eq!(problems[0].path, stored.name);
    }
    assert_eq!(parse_stored([(stored.name, "[]")]).is_ok(), stored.accepted);
}
