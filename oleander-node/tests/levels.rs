//! The slots of an instance at its home when statements differ in urgency.

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::home::request::Class;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::urgency::Urgency;
use oleander_node::home::slots::Expiry;
use oleander_node::home::slots::InstanceSlots;
use oleander_node::home::slots::Permit;
use oleander_node::home::slots::SlotRequest;
use oleander_runtime::clock::Clock;
use oleander_runtime::timer::TimerService;
use tokio::task::JoinHandle;

/// The maximum number of waiting statements of one workspace.
const WORKSPACE_QUEUE: usize = 256;

struct Home {
    slots: InstanceSlots,
    timers: TimerService,
}

impl Home {
    fn start() -> Self {
        let timers = TimerService::start(Clock::new());
        let quota = Quota { slots: 1, connections: 4 };
        Self { slots: InstanceSlots::new(timers.clone(), quota, Expiry::LatestStart), timers }
    }

    /// Starts to wait for a slot.
    async fn wait(
        &self,
        level: u8,
        target: Span,
        limit: Span,
    ) -> JoinHandle<Result<Permit, Refusal>> {
        let now = self.timers.now();
        let request = SlotRequest {
            workspace: WorkspaceId(1),
            weight: 1,
            class: Class::Write,
            deadline: now + limit,
            urgency: Urgency { level: Level(level), target: Some(now + target) },
        };
        let slots = self.slots.clone();
        let waiting = tokio::spawn(async move { slots.acquire(request).await });
        tokio::task::yield_now().await;
        waiting
    }
}

/// Guards against callers that learn only at their deadline that a more urgent statement took their
/// place in the queue.
#[tokio::test]
async fn a_dropped_statement_is_answered_at_once() {
    let home = Home::start();
    let long = Span::from_secs(60);
    let _held = home.wait(0, long, long).await;
    let mut crowd = Vec::new();
    for _ in 0..WORKSPACE_QUEUE {
        crowd.push(home.wait(2, long, long).await);
    }
    let urgent = home.wait(0, long, long).await;
    let dropped = crowd.pop().unwrap();
    let refusal = home.timers.within(Span::from_secs(1), dropped).await.unwrap().unwrap();
    let refusal = refusal.err().unwrap();
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::QueueFull, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
    assert!(!urgent.is_finished() && crowd.iter().all(|waiting| !waiting.is_finished()));
}

/// Guards against statements that are refused at their target although their limit allows them to
/// run, that delay others in time, or that are still held when they can no longer be answered.
#[tokio::test]
async fn a_statement_beyond_its_target_waits_behind_others_until_its_limit() {
    let home = Home::start();
    let long = Span::from_secs(60);
    let held = home.wait(0, long, long).await.await.unwrap().unwrap();
    let late = home.wait(0, Span::ZERO, long).await;
    let short = home.wait(0, Span::ZERO, Span::from_millis(50)).await;
    let in_time = home.wait(0, long, long).await;
    let refusal = short.await.unwrap().err().unwrap();
    assert_eq!(refusal.code, RefusalCode::DeadlineExceeded);
    assert!(refusal.retry_after.is_some());
    drop(held);
    let first = in_time.await.unwrap().unwrap();
    assert!(!late.is_finished());
    drop(first);
    assert!(late.await.unwrap().is_ok());
}
