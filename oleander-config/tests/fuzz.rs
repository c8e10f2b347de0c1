//! Hostile input: nothing panics, and the reported problems stay bounded.

use oleander_config::edit;
use oleander_config::evacuation;
use oleander_config::keys::hash_key;
use oleander_config::model::Section;
use oleander_config::sections::MAX_PROBLEMS;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_config::sections::split_document;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use strum::IntoEnumIterator as _;

const EXAMPLE: &str = include_str!("../../examples/bakery.yaml");

/// The longest reason or path that a problem may hold, in bytes.
const MAX_TEXT_BYTES: usize = 1_000;

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6f6c_6561),
        failure_persistence: None,
        ..Config::default()
    }
}

fn read(text: &str) {
    let mut results =
        vec![split_document(text).and_then(|texts| parse_sections(&texts).map(|_| ()))];
    for section in Section::iter() {
        results.push(parse_sections(&[SectionText::new(section, text)]).map(|_| ()));
    }
    for problems in results.into_iter().filter_map(Result::err) {
        assert!(problems.len() <= MAX_PROBLEMS);
        assert!(problems.iter().all(|problem| {
            problem.reason.len() <= MAX_TEXT_BYTES && problem.path.len() <= MAX_TEXT_BYTES
        }));
    }
    let _ = edit::grant_key(text, "rosewood", "k", &hash_key("k"));
    let _ = edit::withdraw_key(text, "rosewood", "first");
    let _ = evacuation::start(text, "coast-1");
    let _ = evacuation::end(text, "coast-1");
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_texts_never_panic(text in "\\PC{0,400}") {
        read(&text);
    }

    #[test]
    fn texts_of_yaml_punctuation_never_panic(text in "[-\\[\\]{}:,&*!|>'\"%@`#? \\n\\ta-c0-2]{0,300}") {
        read(&text);
    }

    #[test]
    fn damaged_documents_never_panic(
        at in 0..EXAMPLE.len(),
        length in 0_usize..60,
        piece in "[-\\[\\]{}:,&*!|>'\"# \\na-z0-9]{0,20}",
    ) {
        let end = (at + length).min(EXAMPLE.len());
        read(&format!("{}{piece}{}", &EXAMPLE[..at], &EXAMPLE[end..]));
    }

    #[test]
    fn repeated_pieces_stay_bounded(
        piece in "(- |\\[|\\{|\\{a: |- \\{name: a\\}\\n|\\? |&a |\\*a |- - |a: \\n|x: 1\\n)",
        count in 1_000_usize..4_000,
    ) {
        read(&piece.repeat(count));
    }
}

#[test]
fn nested_aliases_are_refused_before_they_expand() {
    let mut text = "a: &a [x, x, x, x, x, x, x, x]\n".to_owned();
    for (name, earlier) in ('b'..='z').zip('a'..='y') {
        text.push_str(&format!(
            "{name}: &{name} [*{earlier}, *{earlier}, *{earlier}, *{earlier}]\n"
        ));
    }
    let problems = split_document(&text).unwrap_err();
    assert!(problems[0].reason.contains("anchors are not allowed"));
}
