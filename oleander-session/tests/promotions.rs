//! Sessions over random promotions: an answer that counts as fresh has all that the session saw.
//!
//! A small model of a group keeps each instance's real log. Promotions follow the
//! rules that `proof` rests on; the session's token is checked against the logs.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::ids::WorkspaceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_session::proof;
use oleander_session::proof::Proof;
use oleander_session::token::SeenPoint;
use oleander_session::token::Token;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const DATABASE: DatabaseId = DatabaseId(1);
const SEED: u64 = 23;

/// `Entry` is a unique entry of a log and the term in which it was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Entry {
    term: u64,
    serial: u32,
}

/// `Instance` is one instance with its real log.
#[derive(Clone, Debug)]
struct Instance {
    role: Role,
    /// The term that the instance leads or follows.
    term: u64,
    fence: u64,
    log: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Group {
    instances: Vec<Instance>,
    entries: u32,
}

/// `Session` is a token and the longest log that the session has really seen.
#[derive(Debug)]
struct Session {
    token: Token,
    log: Vec<Entry>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An instance that believes itself primary writes, cut off or not.
    Write(usize),
    /// A replica copies some entries of the primary of its term.
    Copy { to: usize, count: usize },
    /// An instance follows the newest primary.
    Follow(usize),
    /// A promoter fences these instances and promotes the best of them.
    Promote { mask: u8 },
    /// A promoter fences these instances and dies.
    FenceOnly { mask: u8 },
    /// The session reads.
    Read(usize),
}

impl Group {
    fn new(size: usize) -> Self {
        let log = vec![Entry { term: 1, serial: 0 }];
        let replica = Instance { role: Role::Replica, term: 1, fence: 1, log };
        let mut instances = vec![replica; size];
        instances[0].role = Role::Primary;
        Self { instances, entries: 0 }
    }

    fn id(at: usize) -> InstanceId {
        InstanceId { database: DATABASE, ordinal: at as u8 }
    }

    fn status(&self, at: usize) -> InstanceStatus {
        let one = &self.instances[at];
        let term = one.last_term();
        let before = one.log.iter().take_while(|entry| entry.term != term).count();
        InstanceStatus {
            role: one.role,
            point: LogPoint { term: Term(term), position: Position(one.log.len() as u64) },
            fence: Term(one.fence),
            start: Position(before as u64),
        }
    }

    fn chosen(&self, mask: u8) -> Vec<usize> {
        (0..self.instances.len()).filter(|at| mask & (1 << at) != 0).collect()
    }

    fn primary(&self, term: u64) -> Option<usize> {
        let is_primary = |one: &Instance| one.role == Role::Primary && one.term == term;
        self.instances.iter().position(is_primary)
    }

    fn write(&mut self, at: usize) {
        self.entries += 1;
        let one = &mut self.instances[at];
        if one.role == Role::Primary {
            one.log.push(Entry { term: one.term, serial: self.entries });
        }
    }

    fn copy(&mut self, to: usize, count: usize) {
        let one = &self.instances[to];
        let Some(from) = self.primary(one.term).filter(|_| one.role == Role::Replica) else {
            return;
        };
        let more: Vec<Entry> = self.instances[from].log[one.log.len()..].to_vec();
        self.instances[to].log.extend(more.into_iter().take(count));
    }

    fn follow(&mut self, at: usize) {
        let newest = self.instances.iter().map(|one| one.term).max().unwrap_or(0);
        let Some(primary) = self.primary(newest).map(|primary| self.instances[primary].clone())
        else {
            return;
        };
        let one = &mut self.instances[at];
        if newest <= one.term || newest < one.fence {
            return;
        }
        let shared = one.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
        one.log.truncate(shared);
        one.role = Role::Replica;
        one.term = newest;
        one.fence = newest;
    }

    /// Fences at a term above all promises that the promoter saw. Gets `None` without a majority.
    fn fence(&mut self, chosen: &[usize]) -> Option<u64> {
        let term = 1 + chosen.iter().map(|at| self.instances[*at].fence).max()?;
        for at in chosen {
            self.instances[*at].fence = term;
            self.instances[*at].role = Role::Fenced;
        }
        (self.instances.len() / 2 < chosen.len()).then_some(term)
    }

    fn promote(&mut self, chosen: &[usize]) {
        let Some(term) = self.fence(chosen) else { return };
        let key = |at: &usize| (self.instances[*at].last_term(), self.instances[*at].log.len());
        let Some(best) = chosen.iter().copied().max_by_key(key) else { return };
        // The log does not end in the term before: leave out one term that never had a primary.
        let follows_on = self.instances[best].last_term() + 1 == term;
        let Some(term) = (if follows_on { Some(term) } else { self.fence(chosen) }) else { return };
        self.instances[best].role = Role::Primary;
        self.instances[best].term = term;
        // The first entry of a term marks its start.
        self.write(best);
    }
}

impl Instance {
    fn last_term(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }
}

impl Session {
    /// Reads on an instance. Gets `false` if a fresh answer lacks what the session saw.
    fn read(&mut self, group: &Group, at: usize) -> bool {
        let status = group.status(at);
        let seen = self.token.seen(DATABASE);
        match proof::proves_now(&status, &seen) {
            Proof::Behind => return true,
            // The caller is told, and starts a new session.
            Proof::Lost => *self = Self::new(),
            Proof::Fresh if !group.instances[at].log.starts_with(&self.log) => return false,
            Proof::Fresh => {}
        }
        let size = group.instances.len();
        let known = (0..size).map(|at| (Group::id(at), group.status(at)));
        let durable = proof::is_durable(status.point, Group::id(at), status.role, known, size);
        self.token.observe(DATABASE, SeenPoint { point: status.point, durable }).unwrap();
        self.log.clone_from(&group.instances[at].log);
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
    ]
}

fn run(size: usize, steps: &[Step]) -> bool {
    let (mut group, mut session) = (Group::new(size), Session::new());
    for step in steps {
        match *step {
            Step::Write(at) => group.write(at),
            Step::Copy { to, count } => group.copy(to, count),
            Step::Follow(at) => group.follow(at),
            Step::Promote { mask } => group.promote(&group.chosen(mask)),
            Step::FenceOnly { mask } => drop(group.fence(&group.chosen(mask))),
            Step::Read(at) if !session.read(&group, at) => return false,
            Step::Read(_) => {}
        }
    }
    true
}

fn config() -> Config {
    let rng_seed = RngSeed::Fixed(SEED);
    Config { rng_seed, failure_persistence: None, cases: 4_000, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_fresh_answer_of_three_instances_lacks_nothing(
        steps in proptest::collection::vec(any_step(3), 1..60),
    ) {
        prop_assert!(run(3, &steps));
    }

    #[test]
    fn a_fresh_answer_of_five_instances_lacks_nothing(
        steps in proptest::collection::vec(any_step(5), 1..60),
    ) {
        prop_assert!(run(5, &steps));
    }
}
