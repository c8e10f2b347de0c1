//! Probes of a home's queue: time and memory by the number of waiting requests.

use oleander_core::hash;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::home::queue::Connection;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::queue::QueueOptions;
use oleander_limits::home::request::Class;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::Ticket;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;

use crate::capacity::line::Axis;
use crate::capacity::line::Series;
use crate::capacity::measure::bytes_per_value;
use crate::capacity::measure::nanos_per_call;

/// The measured numbers of waiting requests.
const QUEUE_LENGTHS: [u16; 3] = [50, 100, 200];

/// The number of workspaces with waiting requests.
const WORKSPACES: u64 = 16;

/// The number of requests of a timed run.
const TIMED_REQUESTS: u32 = 20_000;

/// The number of queues whose memory is measured.
const QUEUE_COPIES: usize = 100;

/// The deadline of the requests.
const DEADLINE: Span = Span::from_secs(30);

/// The series of the time to queue, start and finish a request.
pub const QUEUE_TIME: &str = "home: queue, start and end of a request, us";
/// The series of the memory of a queue.
pub const STATE: &str = "home: state of a queue, bytes";

/// Measures queues with several numbers of waiting requests.
pub fn measure() -> Vec<Series> {
    let mut series = [QUEUE_TIME, STATE].map(|name| Series::new(name, Axis::Waiting)).to_vec();
    for size in QUEUE_LENGTHS {
        series[0].push(size, request_nanos(size) / 1_000.0);
        series[1].push(size, bytes_per_value(QUEUE_COPIES, || filled_queue(size)));
    }
    series
}

/// Returns the time to queue a request, start another one and finish it while `size` wait, in
/// nanoseconds.
fn request_nanos(size: u16) -> f64 {
    let mut queue = filled_queue(size);
    let mut serial = u64::from(size);
    let now = Time(1);
    nanos_per_call(TIMED_REQUESTS, |_| {
        serial += 1;
        // A refusal would shorten the measured time, so it is fatal. Each ticket must be new.
        queue.push(now, waiting_request(serial)).expect("the queue has room");
        let start = queue.pop(now, |_, slots| slots.is_free(now, 0).then_some(0));
        let start = start.expect("a slot is free");
        queue.finish(start.request.ticket, Span::from_micros(100), Connection::Free);
    })
}

fn filled_queue(size: u16) -> HomeQueue {
    let mut slots = Slots::default();
    slots.set_quotas([Quota { slots: 1, connections: 8 }; 3], Time(0));
    let mut queue = HomeQueue::new(QueueOptions::default(), slots);
    for serial in 1..=u64::from(size) {
        queue.push(Time(1), waiting_request(serial)).expect("the queue has room");
    }
    queue
}

fn waiting_request(serial: u64) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket(serial),
        workspace: WorkspaceId(hash::mix(serial % WORKSPACES + 1)),
        weight: 1,
        cost: 1,
        deadline: Time(1) + DEADLINE,
        class: Class::Read,
    }
}
