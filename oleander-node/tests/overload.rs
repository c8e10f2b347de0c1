//! The times of refused statements and the horizon at a home with more statements than slots.

mod support;

use std::sync::Arc;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::home::request::Class;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::urgency::Urgency;
use oleander_node::entry::overload::spread_return;
use oleander_node::fleet::Fleet;
use oleander_node::home::slots::Expiry;
use oleander_node::home::slots::InstanceSlots;
use oleander_node::home::slots::Permit;
use oleander_node::home::slots::SlotRequest;
use oleander_node::settings::NodeSettings;
use oleander_runtime::clock::Clock;
use oleander_runtime::timer::TimerService;
use rstest::rstest;

fn slots(timers: &TimerService, expiry: Expiry) -> InstanceSlots {
    InstanceSlots::new(timers.clone(), Quota { slots: 1, connections: 4 }, expiry)
}

async fn acquire(
    timers: &TimerService,
    slots: &InstanceSlots,
    level: u8,
) -> Result<Permit, Refusal> {
    let deadline = timers.now() + Span::from_millis(40);
    let urgency = Urgency { level: Level(level), target: Some(deadline) };
    let workspace = WorkspaceId(1);
    slots.acquire(SlotRequest { workspace, weight: 1, class: Class::Read, deadline, urgency }).await
}

/// Guards against clients that are all told to return after the same moment, against entry VMs that
/// go on sending what the home refuses, and against changes where overload control is off.
#[rstest]
#[case::with_levels(Expiry::LatestStart, Level(1))]
#[case::without(Expiry::Deadline, Level::LAST)]
#[tokio::test]
async fn a_refusal_closes_the_horizon_only_with_levels(
    #[case] expiry: Expiry,
    #[case] lowest: Level,
) {
    let timers = TimerService::start(Clock::new());
    let slots = slots(&timers, expiry);
    let running = acquire(&timers, &slots, 2).await.unwrap_or_else(|refusal| panic!("{refusal}"));
    assert_eq!(slots.horizon(), Horizon::OPEN);
    let refused = acquire(&timers, &slots, 2).await.err().expect("the slot is taken");
    assert_eq!((refused.code, refused.verdict), (RefusalCode::DeadlineExceeded, Verdict::NotRun));
    assert_eq!(slots.horizon().lowest(), lowest);
    assert_eq!(refused.retry_after.is_some(), expiry == Expiry::LatestStart);
    drop(running);
    // The client returns as told, while another one holds the slot for a short time.
    if let Some(retry_after) = refused.retry_after {
        timers.sleep(retry_after).await;
    }
    assert!(acquire(&timers, &slots, 2).await.is_ok());
}

/// Guards against a home that has just started and takes the callers of all levels at once, and
/// against refusals while a slot is free.
#[tokio::test]
async fn a_reopened_home_admits_the_highest_priority_first() {
    let timers = TimerService::start(Clock::new());
    let slots = slots(&timers, Expiry::LatestStart);
    slots.reopen();
    assert_eq!(slots.horizon(), Horizon::OPEN);
    let running = acquire(&timers, &slots, 0).await;
    assert_eq!(slots.horizon().lowest(), Level(0));
    timers.sleep(Span::from_millis(120)).await;
    assert!(Level(0) < slots.horizon().lowest());
    drop(running);
    assert_eq!(slots.horizon(), Horizon::OPEN);
}

/// Guards against a return of all callers at the same time after an outage of the store, and against
/// a change of the time where overload control is off.
#[rstest]
#[case::off(false, 500, 500..501)]
#[case::on(true, 500, 500..1_500)]
#[case::longer_time_of_the_rate_limiter(true, 3_000, 3_000..4_000)]
#[tokio::test]
async fn returns_are_spread_only_with_overload_control(
    #[case] overload: bool,
    #[case] told: u64,
    #[case] expected: std::ops::Range<u64>,
) {
    let settings = NodeSettings { overload, ..support::settings() };
    let fleet = Fleet::new(Arc::new(settings), TimerService::start(Clock::new()));
    for _ in 0..50 {
        let refusal = Refusal::not_run(RefusalCode::RateLimited, "");
        let refusal = refusal.with_retry_after(Span::from_millis(told));
        let spread = spread_return(&fleet, Level(0), refusal).retry_after.unwrap();
        assert!(expected.contains(&spread.as_millis()), "{spread}");
    }
}
