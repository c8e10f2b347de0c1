//! Tests of the priority levels of the home queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::home::queue::Connection;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::queue::QueueOptions;
use oleander_limits::home::request::Class;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::Ticket;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;
use oleander_limits::home::urgency::Urgency;
use proptest::prelude::*;
use rstest::rstest;

const START: Time = Time(1_000_000);
const SLOTS: u32 = 4;
const FOREVER: Span = Span::from_secs(60);
/// A time that is too short for any request to be answered.
const TOO_SHORT: Span = Span::from_millis(1);

fn queue(options: QueueOptions) -> HomeQueue {
    let mut slots = Slots::default();
    slots.set_quotas([Quota { slots: SLOTS, connections: 56 }], Time(0));
    HomeQueue::new(options, slots)
}

fn request(ticket: u64, workspace: u64, class: Class) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket(ticket),
        workspace: WorkspaceId(workspace),
        weight: 1,
        cost: 1,
        deadline: START + FOREVER,
        class,
    }
}

fn level(level: u8) -> Urgency {
    Urgency { level: Level(level), target: None }
}

fn late(level: u8) -> Urgency {
    Urgency { level: Level(level), target: Some(START + TOO_SHORT) }
}

/// Starts all requests, one at a time, and returns their tickets in order.
fn drain(queue: &mut HomeQueue) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(start) = queue.pop(START, |_, _| Some(0)) {
        order.push(start.request.ticket.0);
        queue.finish(start.request.ticket, Span::from_millis(5), Connection::Free);
    }
    order
}

/// Guards against a crowd of less urgent requests that is served before an urgent one, and against
/// late requests that delay those that can still be in time.
#[rstest]
#[case::higher_levels_first(
    &[(level(7), Class::Write), (level(1), Class::Read), (level(0), Class::Read)],
    &[3, 2, 1]
)]
#[case::transactions_before_all_others(
    &[(level(0), Class::Write), (level(5), Class::Transaction), (level(2), Class::Transaction)],
    &[3, 2, 1]
)]
#[case::late_ones_behind_their_level_only(
    &[(level(1), Class::Write), (late(0), Class::Write), (level(0), Class::Read)],
    &[3, 2, 1]
)]
fn requests_start_in_the_order_of_their_urgency(
    #[case] requests: &[(Urgency, Class)],
    #[case] expected: &[u64],
) {
    let mut queue = queue(QueueOptions::default());
    for (ticket, (urgency, class)) in (1..).zip(requests) {
        queue.push_urgent(START, request(ticket, ticket, *class), *urgency).unwrap();
    }
    assert_eq!(drain(&mut queue), expected);
}

/// Guards against a request that becomes late while it waits and then delays others, or that is
/// refused although an answer would still be of use.
#[test]
fn a_request_that_becomes_late_moves_back_and_is_still_served() {
    let mut queue = queue(QueueOptions::default());
    let urgency = Urgency { level: Level(0), target: Some(START + Span::from_millis(100)) };
    queue.push_urgent(START, request(1, 1, Class::Write), urgency).unwrap();
    queue.push(START, request(2, 1, Class::Write)).unwrap();
    let now = START + Span::from_millis(200);
    assert!(queue.expire(now).is_empty());
    let order: Vec<Ticket> = std::iter::from_fn(|| queue.pop(now, |_, _| Some(0)))
        .map(|start| start.request.ticket)
        .collect();
    assert_eq!(order, [Ticket(2), Ticket(1)]);
}

/// Guards against urgent requests that are refused because a crowd of others fills the queue, and
/// against the loss of an open transaction, whose statement would be refused for another. Two
/// requests of workspace 1 and one of workspace 2 wait, all at level 3.
#[rstest]
#[case::the_latest(3, 9, Class::Read, (1, level(2)), Some(3))]
#[case::one_of_the_same_workspace_if_that_is_full(9, 2, Class::Read, (1, level(0)), Some(2))]
#[case::none_of_the_same_level(3, 9, Class::Read, (3, level(3)), None)]
#[case::none_for_a_lower_level(9, 2, Class::Read, (1, level(4)), None)]
#[case::no_statement_of_a_transaction(3, 9, Class::Transaction, (1, level(0)), None)]
fn a_full_queue_drops_the_least_urgent(
    #[case] total: usize,
    #[case] workspace: usize,
    #[case] waiting: Class,
    #[case] newcomer: (u64, Urgency),
    #[case] expected: Option<u64>,
) {
    let mut queue = queue(QueueOptions { total, workspace });
    for (ticket, workspace) in [(1, 1), (2, 1), (3, 2)] {
        queue.push_urgent(START, request(ticket, workspace, waiting), level(3)).unwrap();
    }
    let (workspace, urgency) = newcomer;
    let pushed = queue.push_urgent(START, request(9, workspace, Class::Write), urgency);
    let dropped = pushed.as_ref().ok().and_then(|queued| queued.dropped.clone());
    assert_eq!(dropped.as_ref().map(|dropped| dropped.request.ticket.0), expected);
    let refusal = dropped.map(|dropped| dropped.refusal).or(pushed.err()).unwrap();
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::QueueFull, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
    assert!(queue.len() == 3 && !expected.is_some_and(|ticket| queue.cancel(Ticket(ticket))));
}

/// `Kind` is a kind of request with regular arrivals.
#[derive(Clone, Copy)]
struct Kind {
    level: u8,
    per_second: u64,
    service: Span,
    target: Span,
    until: Span,
}

const URGENT: Kind = Kind {
    level: 0,
    per_second: 109,
    service: Span::from_millis(6),
    target: Span::from_millis(500),
    until: Span::from_secs(4),
};

/// Three times the usual 509 requests a second, for two seconds.
const CROWD: Kind = Kind {
    level: 2,
    per_second: 3 * 509,
    service: Span::from_millis(18),
    target: Span::from_secs(2),
    until: Span::from_secs(2),
};

/// Runs the kinds on `SLOTS` slots and returns the time that each started request of level 0 waited,
/// by its ticket, and the number of the others that started.
fn run(kinds: &[Kind]) -> (HashMap<Ticket, Span>, usize) {
    let mut queue = queue(QueueOptions::default());
    let mut arrivals: Vec<(Time, Ticket, Kind)> = kinds
        .iter()
        .flat_map(|kind| {
            (0..kind.per_second * kind.until.as_millis() / 1_000).map(move |n| {
                let time = START + Span(n * 1_000_000 / kind.per_second);
                (time, Ticket(u64::from(kind.level) * 1_000_000 + n), *kind)
            })
        })
        .collect();
    arrivals.sort_by_key(|(time, ticket, _)| (*time, *ticket));
    let mut arrivals = arrivals.into_iter().peekable();
    let mut ends = BinaryHeap::<Reverse<(Time, Ticket, Span)>>::new();
    let (mut waits, mut others) = (HashMap::new(), 0);
    loop {
        let arrival = arrivals.peek().map(|(time, ..)| *time);
        let end = ends.peek().map(|Reverse((time, ..))| *time);
        let Some(now) = arrival.into_iter().chain(end).min() else { return (waits, others) };
        if end == Some(now) {
            let Some(Reverse((_, ticket, service))) = ends.pop() else { continue };
            queue.finish(ticket, service, Connection::Free);
        } else if let Some((_, ticket, kind)) = arrivals.next() {
            let deadline = now + kind.target + kind.target;
            let urgency = Urgency { level: Level(kind.level), target: Some(now + kind.target) };
            // Ten workspaces share the load of a kind.
            let request =
                QueuedRequest { deadline, ..request(ticket.0, ticket.0 % 10, Class::Read) };
            let _ = queue.push_urgent(now, request, urgency);
        }
        queue.expire(now);
        while let Some(start) = queue.pop(now, |_, slots| slots.is_free(now, 0).then_some(0)) {
            let ticket = start.request.ticket;
            let service = kinds
                .iter()
                .find(|kind| Level(kind.level) == start.urgency.level)
                .map_or(Span::ZERO, |kind| kind.service);
            ends.push(Reverse((now + service, ticket, service)));
            match start.urgency.level {
                Level(0) => drop(waits.insert(ticket, start.queued)),
                _ => others += 1,
            }
        }
    }
}

/// Guards against a crowd of the least urgent kind, three times the usual within two seconds, that
/// delays urgent requests at 109 a second on 4 slots, or that leaves slots unused.
#[test]
fn a_crowd_of_the_least_urgent_kind_delays_no_urgent_request_beyond_one_service_time() {
    let (alone, _) = run(&[URGENT]);
    let (beside, others) = run(&[URGENT, CROWD]);
    assert_eq!(alone.len(), 436);
    for (ticket, wait) in &alone {
        let found = beside.get(ticket).expect("no urgent request is refused");
        assert!(*found <= *wait + CROWD.service, "{ticket:?} waited {found} instead of {wait}");
    }
    // In two seconds, the slots serve 444 of the crowd less the 73 that the urgent ones displace.
    assert!(371 <= others, "only {others} of the crowd were served");
}

#[derive(Clone, Debug)]
enum Step {
    /// Pushes a request with level, workspace, class, and the times until target and deadline.
    Push(u8, u64, Class, u64, u64),
    Pop,
    Finish,
    Expire,
    Cancel(u64),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let class =
        prop_oneof![1 => Just(Class::Transaction), 4 => Just(Class::Write), 4 => Just(Class::Read)];
    let step = prop_oneof![
        8 => (0..4u8, 0..4u64, class, 1..200u64, 1..400u64)
            .prop_map(|(level, workspace, class, target, limit)| {
                Step::Push(level, workspace, class, target, limit)
            }),
        4 => Just(Step::Pop),
        4 => Just(Step::Finish),
        1 => Just(Step::Expire),
        1 => (0..80u64).prop_map(Step::Cancel),
        2 => (0..40u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    /// Guards against lost and doubled requests, exceeded quotas, and lower levels that start while
    /// a higher one waits.
    #[test]
    fn every_request_ends_once_and_in_the_order_of_levels(steps in steps()) {
        let mut queue = queue(QueueOptions { total: 12, workspace: 5 });
        let mut now = START;
        let mut waiting = HashMap::<Ticket, (u8, Class)>::new();
        let mut running = Vec::new();
        let mut serial = 0;
        for step in steps {
            match step {
                Step::Push(level, workspace, class, target, limit) => {
                    serial += 1;
                    let deadline = now + Span::from_millis(limit);
                    let target = Some(now + Span::from_millis(target));
                    let urgency = Urgency { level: Level(level), target };
                    let request = QueuedRequest { deadline, ..request(serial, workspace, class) };
                    if let Ok(queued) = queue.push_urgent(now, request, urgency) {
                        waiting.insert(Ticket(serial), (level, class));
                        if let Some(dropped) = queued.dropped {
                            let found = waiting.remove(&dropped.request.ticket);
                            prop_assert!(found.is_some_and(|(found, _)| level <= found));
                        }
                    }
                }
                Step::Pop => {
                    let Some(start) = queue.pop(now, |_, _| Some(0)) else {
                        prop_assert!(waiting.is_empty() || running.len() == SLOTS as usize);
                        continue;
                    };
                    let ticket = start.request.ticket;
                    let (level, class) = waiting.remove(&ticket).expect("it waited");
                    // Statements of open transactions go before all others.
                    let order = |level, class| (class != Class::Transaction, level);
                    let first = waiting.values().map(|(level, class)| order(*level, *class)).min();
                    prop_assert!(first.is_none_or(|first| order(level, class) <= first));
                    running.push(ticket);
                }
                Step::Finish => {
                    if let Some(ticket) = running.pop() {
                        queue.finish(ticket, Span::from_millis(8), Connection::Free);
                    }
                }
                Step::Expire => {
                    for ticket in queue.expire(now) {
                        prop_assert!(waiting.remove(&ticket).is_some());
                    }
                }
                Step::Cancel(number) => {
                    let ticket = Ticket(number);
                    prop_assert_eq!(queue.cancel(ticket), waiting.remove(&ticket).is_some());
                }
                Step::Wait(millis) => now = now + Span::from_millis(millis),
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert!(queue.len() <= 12 && queue.slots().running(0) <= SLOTS);
        }
        let expired: HashSet<Ticket> = queue.expire(now + FOREVER).into_iter().collect();
        prop_assert_eq!(expired, waiting.into_keys().collect());
    }

    /// Guards against an order that depends on the level if all requests have the same one.
    #[test]
    fn requests_of_one_level_are_served_alike_at_any_level(
        requests in proptest::collection::vec((0..5u64, 0..3usize), 1..60),
        at in 1..8u8,
    ) {
        let order = |urgency: Urgency| {
            let mut queue = queue(QueueOptions { total: 40, workspace: 15 });
            let classes = [Class::Transaction, Class::Write, Class::Read];
            for (ticket, (workspace, class)) in (0..).zip(&requests) {
                let request = request(ticket, *workspace, classes[*class]);
                let _ = queue.push_urgent(START, request, urgency);
            }
            drain(&mut queue)
        };
        prop_assert_eq!(order(level(at)), order(level(0)));
    }
}
