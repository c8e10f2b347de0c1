//! The bytes that sessions may keep.

use std::collections::BTreeMap;
use std::sync::Arc;

use oleander_core::statement::Access;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_session::budget::ENTRY_BYTES;
use oleander_session::budget::MAX_SESSION_BYTES;
use oleander_session::budget::RESERVED_SESSION_BYTES;
use oleander_session::budget::SessionBudget;
use oleander_session::command::Command;
use oleander_session::state::SessionState;
use oleander_session::state::Step;
use proptest::prelude::*;
use rstest::rstest;

fn set(name: &str, bytes: usize) -> Command {
    Command::Set { name: name.to_owned(), value: "x".repeat(bytes) }
}

fn prepare(name: &str, bytes: usize) -> Command {
    let shape = "x".repeat(bytes);
    Command::Prepare { name: name.to_owned(), access: Access::Read, shape }
}

fn refusal(step: Step) -> Option<Refusal> {
    match step {
        Step::Refuse(refusal) => Some(refusal),
        _ => None,
    }
}

/// Guards against a session that uses up the memory of its VM by values or by statements.
#[rstest]
#[case::values(set)]
#[case::statements(prepare)]
fn a_session_is_bounded_in_bytes(#[case] command: fn(&str, usize) -> Command) {
    let budget = SessionBudget::new(usize::MAX);
    let mut state = SessionState::new(budget.clone());
    let room = MAX_SESSION_BYTES - 2 * (ENTRY_BYTES + 1);
    assert_eq!(refusal(state.handle(command("a", room / 2))), None);
    assert_eq!(refusal(state.handle(command("b", room / 2))), None);
    let refused = refusal(state.handle(command("c", 1))).expect("it is full");
    assert_eq!((refused.code, refused.verdict), (RefusalCode::BadRequest, Verdict::NotRun));
    // What stands stays, may be replaced by as much, and makes room when it shrinks.
    assert_eq!(refusal(state.handle(command("a", room / 2))), None);
    assert_eq!(refusal(state.handle(command("a", 1))), None);
    assert_eq!(refusal(state.handle(command("c", 1))), None);
    drop(state);
    assert_eq!(budget.used(), 0);
}

/// Guards against many sessions that use up the memory together, and against large ones that leave no
/// room for those that keep little.
#[test]
fn large_sessions_are_refused_first() {
    let budget = SessionBudget::new(100 << 10);
    let mut large = SessionState::new(budget.clone());
    assert_eq!(refusal(large.handle(set("a", 99 << 10))), None);
    let mut other = SessionState::new(budget);
    let refused = refusal(other.handle(set("a", 10 << 10))).expect("there is no room");
    assert_eq!((refused.code, refused.verdict), (RefusalCode::QueueFull, Verdict::NotRun));
    assert!(refused.retry_after.is_some());
    assert_eq!(refusal(other.handle(set("a", 1 << 10))), None, "it holds little");
    assert!(refusal(other.handle(set("b", RESERVED_SESSION_BYTES))).is_some());
    drop(large);
    assert_eq!(refusal(other.handle(set("b", RESERVED_SESSION_BYTES))), None);
}

#[derive(Clone, Debug)]
struct Change {
    session: usize,
    name: u8,
    bytes: usize,
    kind: u8,
}

fn change() -> impl Strategy<Value = Change> {
    (0..3usize, 0..4u8, 0..60_000usize, 0..4u8).prop_map(|(session, name, bytes, kind)| Change {
        session,
        name,
        bytes,
        kind,
    })
}

proptest! {
    /// Guards against a count that drifts from what the sessions hold.
    #[test]
    fn the_budget_counts_what_sessions_hold(changes in prop::collection::vec(change(), 0..60)) {
        let budget: Arc<SessionBudget> = SessionBudget::new(200_000);
        let mut sessions: Vec<SessionState> =
            (0..3).map(|_| SessionState::new(budget.clone())).collect();
        let mut held: Vec<BTreeMap<(bool, u8), usize>> = vec![BTreeMap::new(); 3];
        for Change { session, name, bytes, kind } in changes {
            let text = name.to_string();
            let (key, command) = match kind {
                0 | 1 => ((false, name), set(&text, bytes)),
                2 => ((true, name), prepare(&text, bytes)),
                _ => ((true, name), Command::Close { name: text }),
            };
            if refusal(sessions[session].handle(command)).is_none() {
                held[session].remove(&key);
                if kind < 3 {
                    held[session].insert(key, ENTRY_BYTES + 1 + bytes);
                }
            }
            let sums: Vec<usize> = held.iter().map(|entries| entries.values().sum()).collect();
            prop_assert_eq!(budget.used(), sums.iter().sum::<usize>());
            prop_assert!(sums.iter().all(|sum| *sum <= MAX_SESSION_BYTES));
        }
        drop(sessions);
        prop_assert_eq!(budget.used(), 0);
    }
}
