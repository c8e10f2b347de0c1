//! Which commits of its own a session's reads must include, while its route moves among databases.

use oleander_core::ids::DatabaseId;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_session::command::Command;
use oleander_session::state::MAX_WRITTEN;
use oleander_session::state::OwnCommits;
use oleander_session::state::SessionState;
use oleander_session::work::Work;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const SEED: u64 = 11;
const CASES: u32 = 20_000;

const A: DatabaseId = DatabaseId(1);
const B: DatabaseId = DatabaseId(2);

fn point(term: u64, position: u64) -> LogPoint {
    LogPoint { term: Term(term), position: Position(position) }
}

fn write(state: &mut SessionState, database: DatabaseId, point: Option<LogPoint>) {
    state.succeeded(&Work::Write(String::new()), database, point);
}

/// `MoveCase` is the writes of a session, and what a read of database `A` must include then.
struct MoveCase {
    writes: &'static [(DatabaseId, Option<(u64, u64)>)],
    expected: OwnCommits,
}

/// Guards against a read without the session's own commit, and against a read that is refused for a
/// point of another database.
#[rstest]
#[case::none(MoveCase { writes: &[], expected: OwnCommits::None })]
#[case::elsewhere_only(MoveCase { writes: &[(B, Some((9, 1)))], expected: OwnCommits::None })]
#[case::moved_and_back(MoveCase {
    writes: &[(A, Some((3, 50))), (B, Some((3, 2)))],
    expected: OwnCommits::UpTo(LogPoint { term: Term(3), position: Position(50) }),
})]
#[case::a_higher_term_elsewhere(MoveCase {
    writes: &[(A, Some((3, 50))), (B, Some((9, 2)))],
    expected: OwnCommits::UpTo(LogPoint { term: Term(3), position: Position(50) }),
})]
#[case::the_last_point_is_not_known(MoveCase {
    writes: &[(A, Some((3, 50))), (A, None)],
    expected: OwnCommits::Unknown,
})]
#[case::known_again(MoveCase {
    writes: &[(A, None), (A, Some((3, 51)))],
    expected: OwnCommits::UpTo(LogPoint { term: Term(3), position: Position(51) }),
})]
#[case::after_a_promotion(MoveCase {
    writes: &[(A, Some((3, 50))), (A, Some((4, 40)))],
    expected: OwnCommits::UpTo(LogPoint { term: Term(4), position: Position(40) }),
})]
fn a_database_has_a_point_of_its_own(#[case] case: MoveCase) {
    let mut state = SessionState::default();
    for (database, at) in case.writes {
        write(&mut state, *database, at.map(|(term, position)| point(term, position)));
    }
    assert_eq!(state.own_commits(A), case.expected);
}

/// Guards against a commit that a transaction has made in a database from which the route has moved
/// away meanwhile.
#[test]
fn a_transaction_counts_for_the_database_in_which_it_ran() {
    let mut state = SessionState::default();
    state.handle(Command::Begin { read_only: false });
    write(&mut state, A, Some(point(3, 4)));
    state.handle(Command::Commit);
    state.succeeded(&Work::Commit, A, Some(point(3, 5)));
    assert_eq!(state.own_commits(A), OwnCommits::UpTo(point(3, 5)));
    assert_eq!(state.own_commits(B), OwnCommits::None);
}

/// Guards against a session that misses its commit in a database that was dropped at the bound.
#[test]
fn beyond_the_bound_only_the_latest_data_suffices() {
    let mut state = SessionState::default();
    for database in 0..=MAX_WRITTEN as u64 {
        write(&mut state, DatabaseId(database), Some(point(1, database)));
    }
    assert_eq!(state.own_commits(DatabaseId(0)), OwnCommits::Unknown);
    assert_eq!(state.own_commits(DatabaseId(1)), OwnCommits::UpTo(point(1, 1)));
}

/// `Step` is one step of a session, or of a database.
#[derive(Clone, Debug)]
enum Step {
    /// The route moves to this database.
    Move(usize),
    /// The session writes; its point may not be known.
    Write { known: bool },
    /// Another instance leads, with all acknowledged commits.
    Promote(usize),
    /// The session reads at an instance that lacks this many commits of the log.
    Read { behind: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize).prop_map(Step::Move),
        any::<bool>().prop_map(|known| Step::Write { known }),
        (0..3_usize).prop_map(Step::Promote),
        (0..4_usize).prop_map(|behind| Step::Read { behind }),
    ]
}

/// `Log` is the log of a database: the term of each record, and the number of records up to the
/// session's last commit.
struct Log {
    terms: Vec<u64>,
    own: Option<usize>,
}

impl Log {
    /// Returns the point of an instance that holds this many records.
    fn point(&self, length: usize) -> LogPoint {
        point(self.terms[length - 1], length as u64)
    }
}

/// Returns `true` if an instance with this part of the log serves a read, as homes and instances
/// decide it: the latest data are at the primary alone.
fn serves(own: OwnCommits, held: LogPoint, is_primary: bool) -> bool {
    match own {
        OwnCommits::None => true,
        OwnCommits::UpTo(seen) => seen <= held,
        OwnCommits::Unknown => is_primary,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: CASES, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default()
    })]

    /// Guards against a read without the session's own commit, and one that the primary refuses,
    /// under random moves of the route, writes and promotions.
    #[test]
    fn reads_include_the_own_commits_of_their_database(
        terms in proptest::collection::vec(1..9_u64, 3),
        steps in proptest::collection::vec(any_step(), 0..40),
    ) {
        let mut logs: Vec<Log> =
            terms.into_iter().map(|term| Log { terms: vec![term], own: None }).collect();
        let mut state = SessionState::default();
        let mut current = 0;
        for step in steps {
            let database = DatabaseId(current as u64);
            match step {
                Step::Move(to) => current = to,
                Step::Promote(number) => {
                    // A promotion writes a record of its own term.
                    let terms = &mut logs[number].terms;
                    terms.push(terms[terms.len() - 1] + 1);
                }
                Step::Write { known } => {
                    let log = &mut logs[current];
                    log.terms.push(log.terms[log.terms.len() - 1]);
                    log.own = Some(log.terms.len());
                    let at = log.point(log.terms.len());
                    write(&mut state, database, known.then_some(at));
                }
                Step::Read { behind } => {
                    let log = &logs[current];
                    let length = log.terms.len();
                    let held = length.saturating_sub(behind).max(1);
                    let needed = state.own_commits(database);
                    if serves(needed, log.point(held), held == length) {
                        prop_assert!(log.own.is_none_or(|own| own <= held), "{needed:?} at {held}");
                    }
                    prop_assert!(serves(needed, log.point(length), true), "{needed:?}");
                }
            }
        }
    }
}
