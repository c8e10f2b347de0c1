//! Slopes of a home: the queue's time and memory by the requests that wait.

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

/// The lengths of the queue.
const SIZES: [u16; 3] = [50, 100, 200];

/// The workspaces whose requests wait.
const WORKSPACES: u64 = 16;

/// The requests of one timed run.
const REQUESTS: u32 = 20_000;

/// The queues whose memory is measured.
const QUEUES: usize = 100;

/// The time within which a caller wants its answer.
const DEADLINE: Span = Span::from_secs(30);

/// The name of the series of queueing time.
pub const TIME: &str = "home: queue, start and end of a request, us";
/// The name of the series of a queue's memory.
pub const STATE: &str = "home: state of a queue, bytes";

/// Measures queues of several lengths.
pub fn measure() -> Vec<Series> {
    let mut series = [TIME, STATE].map(|name| Series::new(name, Axis::Waiting)).to_vec();
    for size in SIZES {
        series[0].push(size, request_nanos(size) / 1_000.0);
        series[1].push(size, bytes_per_value(QUEUES, || filled(size)));
    }
    series
}

/// Gets the time to push a request, start another one and finish it, with `size` waiting.
fn request_nanos(size: u16) -> f64 {
    let mut queue = filled(size);
    let mut serial = u64::from(size);
    let now = Time(1);
    nanos_per_call(REQUESTS, |_| {
        serial += 1;
        // The queue takes each ticket once; a refusal would show as a shorter time, so it is fatal.
        queue.push(now, waiting(serial)).expect("the queue has room");
        let start = queue.pop(now, |_, slots| slots.is_free(now, 0).then_some(0));
        let start = start.expect("a slot is free");
        queue.finish(start.request.ticket, Span::from_micros(100), Connection::Free);
    })
}

fn filled(size: u16) -> HomeQueue {
    let mut slots = Slots::default();
    slots.set_quotas([Quota { slots: 1, connections: 8 }; 3], Time(0));
    let mut queue = HomeQueue::new(QueueOptions::default(), slots);
    for serial in 1..=u64::from(size) {
        queue.push(Time(1), waiting(serial)).expect("the queue has room");
    }
    queue
}

fn waiting(serial: u64) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket(serial),
        workspace: WorkspaceId(hash::mix(serial % WORKSPACES + 1)),
        weight: 1,
        cost: 1,
        deadline: Time(1) + DEADLINE,
        class: Class::Read,
    }
}
