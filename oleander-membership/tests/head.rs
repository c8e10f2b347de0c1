//! Optimistic concurrency of configuration edits, and parsing of body hashes.

use oleander_core::ids::ChangeId;
use oleander_core::ids::Revision;
use oleander_membership::head::BodyHash;
use oleander_membership::head::Edit;
use oleander_membership::head::EditOutcome;
use oleander_membership::head::Head;
use oleander_membership::head::REMEMBERED_CHANGES;
use rstest::rstest;

#[rstest]
#[case::section_unchanged("rates", Some("rates 1"), "new", 9, Ok(3))]
#[case::section_changed("rates", Some("rates 0"), "new", 9, Err(Some("rates 1")))]
#[case::section_missing("routes", Some("routes 0"), "new", 9, Err(None))]
#[case::new_section("routes", None, "new", 9, Ok(3))]
#[case::new_section_exists("rates", None, "new", 9, Err(Some("rates 1")))]
#[case::reused_identifier_with_other_text("rates", Some("rates 1"), "new", 1, Err(Some("rates 1")))]
#[case::retry_after_lost_answer("rates", Some("rates 0"), "rates 1", 1, Ok(1))]
fn edits_conflict_only_in_their_section(
    #[case] section: &str,
    #[case] base: Option<&str>,
    #[case] text: &str,
    #[case] change: u64,
    #[case] expected: Result<u64, Option<&str>>,
) {
    let head = apply(&apply(&Head::default(), "rates", None, 1), "workspaces", None, 2);
    let edit = edit(section, base, text, change);
    let outcome = match head.edit(&edit) {
        EditOutcome::Done(revision) => Ok(revision),
        EditOutcome::Next(next) => Ok(next.revision),
        EditOutcome::Conflict(hash) => Err(hash),
    };
    assert_eq!(outcome, expected.map(Revision).map_err(|text| text.map(BodyHash::of)));
}

#[test]
fn remembered_changes_are_bounded() {
    let mut head = Head::default();
    for change in 0..2 * REMEMBERED_CHANGES as u64 {
        head = apply(&head, &format!("section {change}"), None, change);
    }
    assert_eq!(head.changes.len(), REMEMBERED_CHANGES);
}

#[rstest]
#[case::short("ab")]
#[case::not_hexadecimal(&"zz".repeat(32))]
#[case::not_ascii(&"é".repeat(32))]
fn malformed_hashes_are_rejected(#[case] text: &str) {
    assert!(BodyHash::try_from(text.to_owned()).is_err());
}

fn apply(head: &Head, section: &str, base: Option<&str>, change: u64) -> Head {
    match head.edit(&edit(section, base, &format!("{section} {change}"), change)) {
        EditOutcome::Next(next) => next,
        other => panic!("the edit was not accepted: {other:?}"),
    }
}

fn edit(section: &str, base: Option<&str>, text: &str, change: u64) -> Edit {
    Edit {
        section: section.to_owned(),
        base: base.map(BodyHash::of),
        hash: BodyHash::of(text),
        change: ChangeId(change),
    }
}
