//! Tests of session tokens: encoding, hostile texts and merging.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_session::codec;
use oleander_session::errors::Error;
use oleander_session::token::MAX_MARKS;
use oleander_session::token::SeenPoint;
use oleander_session::token::Token;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const WORKSPACE: WorkspaceId = WorkspaceId(7);
const SEED: u64 = 11;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn seen(term: u64, position: u64, durable: bool) -> SeenPoint {
    SeenPoint { point: LogPoint { term: Term(term), position: Position(position) }, durable }
}

fn token(marks: &[(u64, u64, u64, bool)]) -> Token {
    let mut token = Token::new(WORKSPACE);
    for (database, term, position, durable) in marks {
        let mut one = Token::new(WORKSPACE);
        one.observe(DatabaseId(*database), seen(*term, *position, *durable)).unwrap();
        token.merge(&one).unwrap();
    }
    token
}

fn any_token() -> impl Strategy<Value = Token> {
    let mark = (0..4u64, 0..3u64, 0..4u64, any::<bool>());
    proptest::collection::vec(mark, 0..8).prop_map(|marks| token(&marks))
}

fn merged(tokens: &[&Token]) -> Token {
    let mut all = Token::new(WORKSPACE);
    for token in tokens {
        all.merge(token).unwrap();
    }
    all
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_encoded_token_decodes_to_itself(token in any_token()) {
        let text = codec::encode(&token).unwrap();
        prop_assert_eq!(codec::decode(&text), Ok(token));
    }

    #[test]
    fn the_order_of_merges_does_not_matter(a in any_token(), b in any_token(), c in any_token()) {
        prop_assert_eq!(merged(&[&a, &b, &c]), merged(&[&c, &merged(&[&b, &a])]));
        prop_assert_eq!(merged(&[&a, &a]), a);
    }

    #[test]
    fn a_merge_keeps_the_furthest_marks(a in any_token(), b in any_token()) {
        let all = merged(&[&a, &b]);
        for mark in a.marks().iter().chain(b.marks()) {
            let kept = all.seen(mark.database);
            let covers = |kept: &SeenPoint| {
                kept.point.term == mark.seen.point.term
                    && mark.seen.point.position <= kept.point.position
            };
            prop_assert!(kept.iter().any(covers));
        }
    }

    #[test]
    fn any_text_decodes_or_fails_without_a_panic(text in "[A-Za-z0-9_=+/-]{0,3000}") {
        if let Ok(token) = codec::decode(&text) {
            prop_assert!(token.marks().len() <= MAX_MARKS);
        }
    }

    #[test]
    fn any_body_decodes_or_fails_without_a_panic(
        mut bytes in proptest::collection::vec(any::<u8>(), 0..1900),
    ) {
        bytes.insert(0, codec::VERSION);
        if let Ok(token) = codec::decode(&URL_SAFE_NO_PAD.encode(bytes)) {
            prop_assert!(token.marks().len() <= MAX_MARKS);
        }
    }

    #[test]
    fn a_changed_token_decodes_or_fails_without_a_panic(
        token in any_token(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = URL_SAFE_NO_PAD.decode(codec::encode(&token).unwrap()).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = codec::decode(&URL_SAFE_NO_PAD.encode(bytes));
    }
}

#[test]
fn the_longest_token_is_within_the_limit() {
    let mut token = Token::new(WorkspaceId(u64::MAX));
    for at in 0..MAX_MARKS as u64 {
        token.observe(DatabaseId(u64::MAX - at), seen(u64::MAX, u64::MAX, true)).unwrap();
    }
    let text = codec::encode(&token).unwrap();
    assert!(text.len() <= codec::MAX_TOKEN_CHARS);
    assert_eq!(codec::decode(&text), Ok(token));
}

#[test]
fn a_full_token_records_only_databases_that_it_holds() {
    let mut token = Token::new(WORKSPACE);
    for at in 0..MAX_MARKS as u64 {
        token.observe(DatabaseId(at), seen(1, 1, true)).unwrap();
    }
    assert!(!token.has_room(DatabaseId(MAX_MARKS as u64)));
    assert!(token.observe(DatabaseId(MAX_MARKS as u64), seen(1, 1, true)).is_err());
    assert!(token.observe(DatabaseId(3), seen(2, 5, true)).is_ok());
}

#[test]
fn an_answer_of_a_newer_term_replaces_older_marks() {
    let mut token = token(&[(1, 1, 50, false), (1, 2, 40, false), (2, 1, 9, false)]);
    token.observe(DatabaseId(1), seen(2, 45, true)).unwrap();
    assert_eq!(token.seen(DatabaseId(1)).as_slice(), &[seen(2, 45, true)]);
    assert_eq!(token.seen(DatabaseId(2)).as_slice(), &[seen(1, 9, false)]);
}

#[test]
fn a_late_answer_does_not_move_a_mark_back() {
    let mut token = token(&[(1, 2, 40, false)]);
    token.observe(DatabaseId(1), seen(2, 30, true)).unwrap();
    assert_eq!(token.seen(DatabaseId(1)).as_slice(), &[seen(2, 40, false)]);
}

struct Hostile {
    body: Vec<u8>,
    error: fn(&Error) -> bool,
}

/// Returns a body that claims `count` marks and holds `present` equal marks.
fn body(count: u8, present: usize) -> Vec<u8> {
    let mut bytes = vec![codec::VERSION, 7, count];
    bytes.extend([1, 1, 1, 0].repeat(present));
    bytes
}

#[rstest]
#[case::no_version(Hostile { body: vec![], error: |e| matches!(e, Error::Malformed(_)) })]
#[case::other_version(Hostile { body: vec![9, 7, 0], error: |e| matches!(e, Error::Malformed(_)) })]
#[case::claims_marks(Hostile { body: body(255, 0), error: |e| matches!(e, Error::Malformed(_)) })]
#[case::repeats_a_mark(Hostile { body: body(2, 2), error: |e| matches!(e, Error::Malformed(_)) })]
#[case::bytes_after_the_end(Hostile { body: body(1, 2), error: |e| matches!(e, Error::Malformed(_)) })]
#[case::too_long(Hostile { body: vec![1; 4_000_000], error: |e| matches!(e, Error::TooLarge(_)) })]
fn hostile_tokens_are_refused(#[case] case: Hostile) {
    let error = codec::decode(&URL_SAFE_NO_PAD.encode(case.body)).unwrap_err();
    assert!((case.error)(&error), "{error}");
}

#[test]
fn a_request_with_another_workspaces_token_is_refused() {
    let text = codec::encode(&token(&[(1, 1, 1, true)])).unwrap();
    let decoded = codec::decode_all(WorkspaceId(8), [text.as_str()]);
    assert_eq!(decoded, Err(Error::WrongWorkspace));
}

#[test]
fn a_request_with_too_many_tokens_is_refused() {
    let text = codec::encode(&token(&[])).unwrap();
    let texts = std::iter::repeat_n(text.as_str(), codec::MAX_TOKENS + 1);
    assert!(matches!(codec::decode_all(WORKSPACE, texts), Err(Error::TooLarge(_))));
}
