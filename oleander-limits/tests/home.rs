//! Tests of the home queue: fair order, bounds, slots and open transactions.

use oleander_core::ids::WorkspaceId;
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
use oleander_limits::home::slots::split;
use oleander_limits::home::transactions::Overdue;
use oleander_limits::home::transactions::TransactionLimits;
use oleander_limits::home::transactions::Transactions;
use rstest::rstest;

const START: Time = Time(1_000_000);
const PRIMARY: u8 = 0;
const REPLICA: u8 = 1;

fn queue(options: QueueOptions) -> HomeQueue {
    let mut slots = Slots::default();
    slots.set_quotas([Quota { slots: 1, connections: 2 }; 2], Time(0));
    HomeQueue::new(options, slots)
}

fn request(ticket: u64, workspace: u64, class: Class) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket(ticket),
        workspace: WorkspaceId(workspace),
        weight: 1,
        cost: 1,
        deadline: START + Span::from_secs(60),
        class,
    }
}

/// Places writes on the primary and reads on the first free instance.
fn place(request: &QueuedRequest, slots: &Slots) -> Option<u8> {
    match request.class {
        Class::Read => {
            [REPLICA, PRIMARY].into_iter().find(|ordinal| slots.is_free(START, *ordinal))
        }
        Class::Write | Class::Transaction => Some(PRIMARY),
    }
}

/// Runs all requests one at a time and returns their workspaces in order.
fn drain(queue: &mut HomeQueue) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(start) = queue.pop(START, |_, _| Some(PRIMARY)) {
        order.push(start.request.workspace.0);
        queue.finish(start.request.ticket, Span::from_millis(1), Connection::Free);
    }
    order
}

#[rstest]
#[case::equal(&[(1, 1, 1), (2, 1, 1)], &[1, 2, 1, 2, 1, 2])]
#[case::weights(&[(1, 2, 1), (2, 1, 1)], &[1, 2, 1, 1, 2, 1])]
#[case::costs(&[(1, 1, 2), (2, 1, 1)], &[1, 2, 2, 1, 2, 2])]
fn workspaces_are_served_in_weighted_fair_order(
    #[case] flows: &[(u64, u32, u32)],
    #[case] expected: &[u64],
) {
    let mut queue = queue(QueueOptions::default());
    for (workspace, weight, cost) in flows {
        for n in 0..8 {
            let request = request(workspace * 100 + n, *workspace, Class::Write);
            queue.push(START, QueuedRequest { weight: *weight, cost: *cost, ..request }).unwrap();
        }
    }
    assert_eq!(drain(&mut queue)[..expected.len()], *expected);
}

#[test]
fn a_write_that_waits_for_the_primary_does_not_block_reads() {
    let mut queue = queue(QueueOptions::default());
    for ticket in 0..3 {
        queue.push(START, request(ticket, 1, Class::Write)).unwrap();
    }
    queue.push(START, request(9, 1, Class::Read)).unwrap();
    let started: Vec<u64> = std::iter::from_fn(|| queue.pop(START, place))
        .map(|start| start.request.ticket.0)
        .collect();
    assert_eq!(started, [0, 9]);
}

#[test]
fn a_request_that_cannot_be_placed_does_not_block_other_workspaces() {
    let mut queue = queue(QueueOptions::default());
    for ticket in 0..20 {
        queue.push(START, request(ticket, 1, Class::Read)).unwrap();
    }
    queue.push(START, request(50, 2, Class::Read)).unwrap();
    let start = queue.pop(START, |request, _| (request.workspace.0 == 2).then_some(REPLICA));
    assert_eq!(start.unwrap().request.ticket, Ticket(50));
}

#[test]
fn slots_are_never_exceeded() {
    let mut queue = queue(QueueOptions::default());
    for ticket in 0..9 {
        queue.push(START, request(ticket, ticket, Class::Read)).unwrap();
    }
    let started = std::iter::from_fn(|| queue.pop(START, place)).count();
    assert_eq!(
        (started, queue.slots().running(PRIMARY), queue.slots().running(REPLICA)),
        (2, 1, 1)
    );
}

#[test]
fn a_new_home_starts_nothing_before_the_previous_one_has_finished() {
    let mut queue = queue(QueueOptions::default());
    queue.slots_mut().set_quotas([Quota { slots: 1, connections: 1 }], START + Span(5));
    queue.push(START, request(1, 1, Class::Write)).unwrap();
    assert!(queue.pop(START, place).is_none());
    assert!(queue.pop(START + Span(5), place).is_some());
}

#[rstest]
#[case::own_queue_full(2, 10, 1, RefusalCode::QueueFull)]
#[case::whole_queue_full(10, 2, 3, RefusalCode::QueueFull)]
fn a_full_queue_refuses_as_not_run(
    #[case] workspace: usize,
    #[case] total: usize,
    #[case] third: u64,
    #[case] code: RefusalCode,
) {
    let mut queue = queue(QueueOptions { total, workspace });
    queue.push(START, request(1, 1, Class::Read)).unwrap();
    queue.push(START, request(2, 1, Class::Read)).unwrap();
    let refusal = queue.push(START, request(3, third, Class::Read)).unwrap_err();
    assert_eq!((refusal.code, refusal.verdict), (code, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_at_once_only_in_the_busy_workspace() {
    let mut queue = queue(QueueOptions::default());
    for ticket in 0..100 {
        queue.push(START, request(ticket, 1, Class::Write)).unwrap();
    }
    let deadline = START + Span::from_millis(100);
    let busy = QueuedRequest { deadline, ..request(200, 1, Class::Write) };
    let other = QueuedRequest { deadline, ..request(201, 2, Class::Write) };
    assert_eq!(queue.push(START, busy).unwrap_err().code, RefusalCode::DeadlineExceeded);
    assert!(queue.push(START, other).is_ok());
}

#[test]
fn requests_expire_once_they_cannot_be_answered_in_time() {
    let mut queue = queue(QueueOptions::default());
    let deadline = START + Span::from_millis(50);
    queue.push(START, QueuedRequest { deadline, ..request(1, 1, Class::Write) }).unwrap();
    queue.push(START, request(2, 1, Class::Write)).unwrap();
    assert!(queue.expire(START).is_empty());
    assert_eq!(queue.expire(deadline), [Ticket(1)]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_cancelled_request_never_starts() {
    let mut queue = queue(QueueOptions::default());
    queue.push(START, request(1, 1, Class::Write)).unwrap();
    assert!(queue.cancel(Ticket(1)));
    assert!(queue.pop(START, place).is_none());
}

#[test]
fn the_quotas_of_all_homes_add_up_to_the_total() {
    for total in 0..20 {
        for homes in 1..4 {
            for ordinal in 0..4 {
                let sum: u32 = (0..homes).map(|index| split(total, homes, index, ordinal)).sum();
                assert_eq!(sum, total);
            }
        }
    }
}

#[test]
fn open_transactions_are_limited_in_number_and_duration() {
    let limits = TransactionLimits { total: 2, workspace: 1, ..TransactionLimits::default() };
    let mut transactions = Transactions::new(limits);
    transactions.open(START, Ticket(1), WorkspaceId(1)).unwrap();
    assert!(transactions.open(START, Ticket(2), WorkspaceId(1)).is_err());
    transactions.open(START, Ticket(3), WorkspaceId(2)).unwrap();
    assert!(transactions.open(START, Ticket(4), WorkspaceId(3)).is_err());
    transactions.end_statement(START, Ticket(1));
    assert_eq!(transactions.overdue(START + limits.idle)[..], [(Ticket(1), Overdue::Idle)]);
    assert!(transactions.close(Ticket(1)));
    assert_eq!(transactions.overdue(START + limits.age)[..], [(Ticket(3), Overdue::Age)]);
}

/// Guards against permanent refusals: after a database had stalled for a while, the estimate
/// refused all requests, so none ran that could have corrected it.
#[test]
fn an_estimate_that_is_too_long_is_corrected() {
    let mut queue = queue(QueueOptions::default());
    let soon = |ticket| QueuedRequest {
        deadline: START + Span::from_millis(300),
        ..request(ticket, 1, Class::Write)
    };
    for ticket in 0..16 {
        queue.push(START, request(ticket, 1, Class::Write)).unwrap();
        queue.pop(START, place).unwrap();
        queue.finish(Ticket(ticket), Span::from_millis(800), Connection::Free);
    }
    for ticket in 100..200 {
        queue.push(START, soon(ticket)).expect("a request at an empty queue is tried");
        assert_eq!(queue.push(START, soon(ticket + 1_000)).unwrap_err().verdict, Verdict::NotRun);
        queue.pop(START, place).unwrap();
        queue.finish(Ticket(ticket), Span::from_millis(5), Connection::Free);
        if queue.push(START, soon(ticket + 2_000)).is_ok()
            && queue.push(START, soon(ticket + 3_000)).is_ok()
        {
            return;
        }
        queue.cancel(Ticket(ticket + 2_000));
    }
    panic!("the estimate was not corrected");
}

/// Guards against late refusals: reads at a home with a single instance waited behind all writes
/// and were refused only at their deadline, long after it was certain that they could not be
/// served.
#[test]
fn a_read_that_cannot_start_in_time_behind_writes_is_refused_at_once() {
    let mut slots = Slots::default();
    slots.set_quotas([Quota { slots: 1, connections: 4 }], Time(0));
    let mut queue = HomeQueue::new(QueueOptions::default(), slots);
    for ticket in 0..16 {
        queue.push(START, request(ticket, 1, Class::Write)).unwrap();
        queue.pop(START, |_, _| Some(PRIMARY)).unwrap();
        queue.finish(Ticket(ticket), Span::from_millis(20), Connection::Free);
    }
    for ticket in 100..120 {
        queue.push(START, request(ticket, 1, Class::Write)).unwrap();
    }
    let deadline = START + Span::from_millis(300);
    let read = QueuedRequest { deadline, ..request(200, 2, Class::Read) };
    let refused = queue.push(START, read).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (RefusalCode::DeadlineExceeded, Verdict::NotRun));
    assert!(refused.retry_after.is_some());
}
