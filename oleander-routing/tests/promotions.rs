//! Random promotions: an accepted answer includes everything that the session has seen, and every
//! write older than the read's maximum age.

mod model;

use oleander_core::ids::WorkspaceId;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_routing::group_view::GroupView;
use oleander_routing::reads::Check;
use oleander_routing::reads::ReadNeed;
use oleander_routing::samples::StatusAt;
use oleander_session::proof;
use oleander_session::proof::Proof;
use oleander_session::token::SeenPoint;
use oleander_session::token::Token;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::model::DATABASE;
use crate::model::Entry;
use crate::model::Group;

/// The seed of the random steps.
const SEED: u64 = 23;

/// `Session` is a token and the log that the session has actually seen.
#[derive(Debug)]
struct Session {
    token: Token,
    log: Vec<Entry>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance that believes it is the primary writes, whether or not it was replaced.
    Write(usize),
    /// A replica copies up to `count` entries from the primary of its term.
    Copy { to: usize, count: usize },
    /// An instance follows the newest primary.
    Follow(usize),
    /// A promoter fences these instances and promotes the best of them.
    Promote { mask: u8 },
    /// A promoter fences these instances and crashes.
    FenceOnly { mask: u8 },
    /// The session reads.
    Read(usize),
    /// The home pings these instances, the only ones it can reach.
    Ping { mask: u8 },
    /// The home reads with a maximum age.
    ReadAged(usize),
}

/// The duration of a step.
const STEP: Span = Span(10);
/// The maximum age of `Step::ReadAged`.
const AGE: Span = Span(100);

impl Session {
    /// Reads on an instance. Returns `false` if an answer is proven fresh and yet lacks what the
    /// session has seen.
    fn read(&mut self, group: &Group, index: usize) -> bool {
        let status = group.status(index);
        let seen = self.token.seen(DATABASE);
        match proof::check_current(&status, &seen) {
            Proof::Behind => return true,
            // The caller receives `HistoryLost` and starts a new session.
            Proof::Lost => *self = Self::new(),
            Proof::Fresh if !group.instances[index].log.starts_with(&self.log) => return false,
            Proof::Fresh => {}
        }
        let size = group.instances.len();
        let known = (0..size).map(|index| (Group::id(index), group.status(index)));
        let durable = proof::is_durable(&status, Group::id(index), known, size);
        self.token.observe(DATABASE, SeenPoint { point: status.point, durable }).unwrap();
        self.log.clone_from(&group.instances[index].log);
        true
    }

    fn new() -> Self {
        Self { token: Token::new(WorkspaceId(1)), log: Vec::new() }
    }
}

fn any_step(size: usize) -> impl Strategy<Value = Step> {
    let masks = 1..(1u8 << size);
    prop_oneof![
        4 => (0..size).prop_map(Step::Write),
        4 => (0..size, 1..4usize).prop_map(|(to, count)| Step::Copy { to, count }),
        2 => (0..size).prop_map(Step::Follow),
        1 => masks.clone().prop_map(|mask| Step::Promote { mask }),
        1 => masks.prop_map(|mask| Step::FenceOnly { mask }),
        4 => (0..size).prop_map(Step::Read),
        4 => (1..(1u8 << size)).prop_map(|mask| Step::Ping { mask }),
        3 => (0..size).prop_map(Step::ReadAged),
    ]
}

/// Runs the steps on a group of `size` instances. Returns `false` if an accepted answer is
/// incomplete or too old.
fn run(size: usize, steps: &[Step]) -> bool {
    let (mut group, mut session) = (Group::new(size), Session::new());
    let instances = (0..size).map(|index| (Group::id(index), Distance::Zone));
    let mut home = GroupView::new(instances);
    let mut past = Vec::new();
    for step in steps {
        group.now = group.now + STEP;
        past.push(group.history().to_vec());
        match *step {
            Step::Write(index) => group.write(index),
            Step::Copy { to, count } => group.copy(to, count),
            Step::Follow(index) => group.follow(index),
            Step::Promote { mask } => group.promote(&group.chosen(mask)),
            Step::FenceOnly { mask } => drop(group.fence(&group.chosen(mask))),
            Step::Ping { mask } => ping(&mut home, &group, &group.chosen(mask)),
            Step::ReadAged(index) if !is_within_age(&home, &group, &past, index) => return false,
            Step::Read(index) if !session.read(&group, index) => return false,
            Step::Read(_) | Step::ReadAged(_) => {}
        }
    }
    true
}

fn ping(home: &mut GroupView, group: &Group, reached: &[usize]) {
    for index in reached {
        let known = StatusAt { status: group.status(*index), requested_at: group.now };
        home.record_status(Group::id(*index), known);
    }
}

/// Returns `false` if an accepted answer includes none of the histories that the group had within
/// the maximum age. Entries that a promotion dropped and a later one restored do not count.
fn is_within_age(home: &GroupView, group: &Group, past: &[Vec<Entry>], index: usize) -> bool {
    let need = ReadNeed { seen: &[], max_age: Some(AGE), deadline: Time(u64::MAX) };
    if home.check_answer(group.now, &group.status(index), &need) == Check::Retry {
        return true;
    }
    let log = &group.instances[index].log;
    let steps = (AGE.0 / STEP.0) as usize;
    past.iter().rev().take(steps + 1).any(|history| log.starts_with(history))
}

fn config() -> Config {
    let rng_seed = RngSeed::Fixed(SEED);
    Config { rng_seed, failure_persistence: None, cases: 4_000, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_accepted_answer_of_three_instances_is_complete(
        steps in proptest::collection::vec(any_step(3), 1..80),
    ) {
        prop_assert!(run(3, &steps));
    }

    #[test]
    fn an_accepted_answer_of_five_instances_is_complete(
        steps in proptest::collection::vec(any_step(5), 1..80),
    ) {
        prop_assert!(run(5, &steps));
    }
}

#[test]
fn a_point_copied_under_a_later_term_is_not_durable() {
    // Instance 0 is partitioned in term 1 and primary again in term 4, when instance 1 receives its
    // old entry. Instance 2 is the primary of term 2 without that entry all the while.
    let steps = [
        Step::Write(0),
        Step::Promote { mask: 0b110 },
        Step::Write(0),
        Step::Promote { mask: 0b011 },
        Step::Follow(1),
        Step::Copy { to: 1, count: 1 },
        Step::Read(1),
        Step::Read(2),
    ];
    assert!(run(3, &steps));
}
