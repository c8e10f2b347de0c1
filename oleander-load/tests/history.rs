//! The history checks must accept a clean history and find each planted violation.

use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_load::history::check;
use oleander_load::history::lines::History;
use oleander_load::history::lines::Overrun;
use oleander_load::history::lines::RateLimit;
use oleander_load::history::record::Applied;
use oleander_load::history::record::Call;
use oleander_load::history::record::KeyValue;
use oleander_load::history::record::Operation;
use oleander_load::history::record::Outcome;
use oleander_load::history::violations::Kind;
use rstest::rstest;
use strum::IntoEnumIterator as _;

const MICROS_PER_SECOND: u64 = 1_000_000;

fn key_value(key: &str, value: &str) -> KeyValue {
    KeyValue { key: key.to_owned(), value: value.to_owned() }
}

fn call(id: u64, session: u64, operation: Operation, outcome: Outcome) -> Call {
    Call {
        id,
        session,
        vm: format!("vm-{}", id % 3),
        workspace: "rye".to_owned(),
        database: "orders".to_owned(),
        operation,
        weight: 1,
        invoked: id * MICROS_PER_SECOND,
        answered: id * MICROS_PER_SECOND + 1_000,
        outcome,
    }
}

fn answered(values: &[&str]) -> Outcome {
    let values = values.iter().map(|value| (*value).to_owned()).collect();
    Outcome::Answered { values, replica: false }
}

fn refused(verdict: Verdict) -> Outcome {
    Outcome::Refused { code: RefusalCode::UpstreamLost, verdict, retry_after: None }
}

fn write(key: &str, value: &str) -> Operation {
    Operation::Write(key_value(key, value))
}

fn read(age: Option<u64>) -> Operation {
    Operation::Read { key: "a".to_owned(), age }
}

fn applied(key: &str, value: &str, transaction: u64) -> Applied {
    Applied {
        database: "orders".to_owned(),
        workspace: "rye".to_owned(),
        write: key_value(key, value),
        transaction,
    }
}

/// Returns a history without violations. The index of each call is its number minus 1.
fn clean_history() -> History {
    let transaction = Operation::Transaction(vec![key_value("a", "v3"), key_value("b", "v4")]);
    History {
        calls: vec![
            call(1, 1, write("a", "v1"), answered(&[])),
            call(2, 2, write("a", "v2"), refused(Verdict::MayHaveRun)),
            call(3, 1, read(None), answered(&["v1", "v2"])),
            call(4, 1, transaction, answered(&[])),
            call(5, 1, read(None), answered(&["v1", "v2", "v3"])),
            call(6, 2, write("a", "v5"), refused(Verdict::NotRun)),
            call(7, 2, write("a", "v6"), refused(Verdict::MayHaveRun)),
            // The last value was read from a primary that was replaced before it acknowledged it.
            call(8, 2, read(None), answered(&["v1", "v2", "v3", "v6"])),
            call(9, 3, read(Some(6 * MICROS_PER_SECOND)), answered(&["v1", "v2"])),
            call(10, 3, write("b", "v7"), Outcome::Lost),
        ],
        applied: vec![
            applied("a", "v1", 1),
            applied("a", "v2", 2),
            applied("a", "v3", 3),
            applied("b", "v4", 3),
            applied("b", "v7", 4),
        ],
        rates: vec![RateLimit { workspace: "rye".to_owned(), rate: 1, burst: 1 }],
        overruns: Vec::new(),
    }
}

/// `Planted` is a change of the clean history and the violation that it causes.
struct Planted {
    kind: Kind,
    plant: fn(&mut History),
}

/// All planted violations.
const PLANTED: &[Planted] = &[
    Planted { kind: Kind::MalformedHistory, plant: |h| h.calls[1].operation = write("a", "v1") },
    Planted { kind: Kind::MalformedHistory, plant: |h| h.calls[9].id = 3 },
    Planted { kind: Kind::LostWrite, plant: |h| drop(h.applied.remove(0)) },
    Planted { kind: Kind::LostWrite, plant: |h| h.calls[6].outcome = refused(Verdict::Ran) },
    Planted { kind: Kind::DoubledWrite, plant: |h| h.applied.push(applied("a", "v1", 9)) },
    Planted { kind: Kind::FalseNotRun, plant: |h| h.applied.push(applied("a", "v5", 9)) },
    Planted {
        kind: Kind::FalseNotRun,
        plant: |h| h.calls[7].outcome = answered(&["v1", "v2", "v3", "v5"]),
    },
    Planted { kind: Kind::ForeignWrite, plant: |h| h.applied.push(applied("a", "x", 9)) },
    Planted { kind: Kind::ForeignWrite, plant: |h| h.applied[4].write.key = "c".to_owned() },
    Planted { kind: Kind::WrongWorkspace, plant: |h| h.applied[4].workspace = "spelt".to_owned() },
    Planted { kind: Kind::MixedTransaction, plant: |h| h.applied[1].transaction = 1 },
    Planted { kind: Kind::MixedTransaction, plant: |h| h.applied[3].transaction = 8 },
    Planted { kind: Kind::MixedTransaction, plant: |h| drop(h.applied.remove(3)) },
    Planted {
        kind: Kind::WrongAnswer,
        plant: |h| h.calls[4].outcome = answered(&["v1", "v2", "v3", "v4"]),
    },
    Planted { kind: Kind::WrongAnswer, plant: |h| h.calls[2].outcome = answered(&["x"]) },
    Planted { kind: Kind::WrongAnswer, plant: |h| h.calls[8].workspace = "spelt".to_owned() },
    Planted {
        kind: Kind::WrongAnswer,
        plant: |h| h.calls[2].outcome = answered(&["v1", "v2", "v3"]),
    },
    Planted {
        kind: Kind::WrongOrder,
        plant: |h| h.calls[4].outcome = answered(&["v2", "v1", "v3"]),
    },
    Planted {
        kind: Kind::WrongOrder,
        plant: |h| h.calls[7].outcome = answered(&["v1", "v2", "v6", "v3"]),
    },
    Planted { kind: Kind::WrongOrder, plant: |h| h.calls[2].outcome = answered(&["v1", "v1"]) },
    Planted { kind: Kind::LostOwnWrite, plant: |h| h.calls[2].outcome = answered(&[]) },
    Planted { kind: Kind::LostOwnWrite, plant: |h| h.calls[4].outcome = answered(&["v1", "v2"]) },
    Planted { kind: Kind::ReadWentBack, plant: |h| h.calls[4].outcome = answered(&["v1"]) },
    Planted {
        kind: Kind::ReadWentBack,
        plant: |h| h.calls.push(call(11, 2, read(None), answered(&["v1", "v2", "v3"]))),
    },
    Planted { kind: Kind::TooOld, plant: |h| h.calls[8].outcome = answered(&[]) },
    Planted {
        kind: Kind::RateExceeded,
        plant: |h| {
            let burst = (20..23).map(|id| Call {
                invoked: 20 * MICROS_PER_SECOND + id,
                answered: 20 * MICROS_PER_SECOND + 100_000,
                ..call(id, 9, read(None), answered(&[]))
            });
            h.calls.extend(burst);
        },
    },
    Planted {
        kind: Kind::LimitExceeded,
        plant: |h| {
            let resource = "slots".to_owned();
            let instance = "orders-0".to_owned();
            h.overruns.push(Overrun { instance, resource, limit: 2, seen: 3 });
        },
    },
];

fn kinds(history: &History) -> Vec<Kind> {
    check::check(history).into_iter().map(|violation| violation.kind).collect()
}

#[test]
fn clean_history_has_no_violations() {
    assert_eq!(check::check(&clean_history()), Vec::new());
}

#[test]
fn each_planted_violation_is_found() {
    for (at, planted) in PLANTED.iter().enumerate() {
        let mut history = clean_history();
        (planted.plant)(&mut history);
        let kinds = kinds(&history);
        assert!(kinds.contains(&planted.kind), "{at}: {} not in {kinds:?}", planted.kind);
    }
}

#[test]
fn planted_violations_cover_all_kinds() {
    for kind in Kind::iter() {
        assert!(PLANTED.iter().any(|planted| planted.kind == kind), "{kind}");
    }
}

#[test]
fn overlapping_calls_of_a_session_do_not_constrain_each_other() {
    let mut history = clean_history();
    // The read was sent before the transaction was answered.
    history.calls[4].invoked = history.calls[3].answered - 1;
    history.calls[4].outcome = answered(&["v1", "v2"]);
    assert_eq!(kinds(&history), []);
}

#[rstest]
#[case::at_the_rate(1_000_000, false)]
#[case::a_little_faster(900_000, true)]
fn rate_limit_is_checked_over_long_windows(#[case] gap: u64, #[case] exceeded: bool) {
    let calls = (0..20).map(|id| Call {
        invoked: id * gap,
        answered: id * gap,
        ..call(id, id, read(None), answered(&[]))
    });
    let rates = vec![RateLimit { workspace: "rye".to_owned(), rate: 1, burst: 1 }];
    let history = History { calls: calls.collect(), rates, ..History::default() };
    assert_eq!(kinds(&history).contains(&Kind::RateExceeded), exceeded);
}

#[test]
fn history_is_unchanged_after_write_and_read() {
    let mut history = clean_history();
    let overrun = Overrun {
        instance: "orders-0".to_owned(),
        resource: "slots".to_owned(),
        limit: 2,
        seen: 3,
    };
    history.overruns.push(overrun);
    let mut file = Vec::new();
    history.write(&mut file).unwrap();
    assert_eq!(History::read(file.as_slice()), Ok(history));
}

#[test]
fn invalid_line_is_reported_with_its_number() {
    let error = History::read(b"\n{\"call\": 3}\n".as_slice()).unwrap_err();
    assert!(error.starts_with("history: line 2:"), "{error}");
}
