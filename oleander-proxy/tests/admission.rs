//! The admission of requests to the slots of a home.

use std::sync::Arc;
use std::time::Duration;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::queue::QueueOptions;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;
use oleander_proxy::home::admission::Admission;
use oleander_proxy::home::admission::AdmissionRequest;
use oleander_proxy::home::admission::Target;
use oleander_runtime::clock::Clock;
use oleander_runtime::timer::TimerService;

const ORDINAL: u8 = 0;

/// The time for which the slow request holds its slot, longer than `DEADLINE`.
const SLOW_SERVICE: Duration = Duration::from_millis(300);

/// The time within which the later requests need their answers.
const DEADLINE: Span = Span::from_millis(200);

/// Guards against a home that refuses all requests for good: a statement on a silent connection
/// holds its slot for seconds, which raises the estimated service time above the deadlines of the
/// requests that follow. These have to run all the same, since only they correct the estimate.
#[tokio::test]
async fn requests_run_in_an_idle_home_whose_service_estimate_exceeds_their_deadlines() {
    let timers = TimerService::start(Clock::new());
    let mut slots = Slots::default();
    slots.set_quotas([Quota { slots: 1, connections: 1 }], timers.now());
    let queue = HomeQueue::new(QueueOptions::default(), slots);
    let admission = Admission::new(timers.clone(), queue);
    let request = |deadline: Span| AdmissionRequest {
        workspace: WorkspaceId(1),
        weight: 1,
        cost: 1,
        level: Level::default(),
        deadline: timers.now() + deadline,
        target: Target::Instance(ORDINAL),
    };
    let hold = async |deadline: Span, time: Duration| {
        let slot = Arc::clone(&admission).acquire(request(deadline)).await?;
        slot.keep_connection();
        tokio::time::sleep(time).await;
        Ok::<(), oleander_core::verdict::Refusal>(())
    };
    hold(Span::from_secs(10), SLOW_SERVICE).await.expect("the home is idle");
    for _ in 0..20 {
        hold(DEADLINE, Duration::ZERO).await.expect("a slot is free");
    }
}
