//! Properties of the reservation calendar, with a home whose slots serve in order of arrival.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::home::calendar::CELL;
use oleander_limits::home::calendar::Calendar;
use oleander_limits::home::calendar::LENGTH;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const START: Time = Time(60_000_000);

/// The longest time that an answer and the retry take: round trips to a client and another region.
const NETWORK: Span = Span::from_millis(90);

/// `Refused` is a request of a burst that the home refuses.
#[derive(Clone, Copy, Debug)]
struct Refused {
    /// The time after the start of the burst.
    at: Span,
    workspace: WorkspaceId,
    level: Level,
    random: u64,
    /// The time from the refusal to the retry's arrival beyond the given time.
    network: Span,
}

fn refused() -> impl Strategy<Value = Refused> {
    (0..2_000_000_u64, 0..4_u64, 0..4_u8, any::<u64>(), 0..NETWORK.0).prop_map(
        |(at, workspace, level, random, network)| Refused {
            at: Span(at),
            workspace: WorkspaceId(workspace),
            level: Level(level),
            random,
            network: Span(network),
        },
    )
}

fn burst(max: usize) -> impl Strategy<Value = Vec<Refused>> {
    proptest::collection::vec(refused(), 1..max).prop_map(|mut burst| {
        burst.sort_by_key(|refused| refused.at);
        burst
    })
}

/// Returns a calendar whose measurements say that a request takes `service`.
fn calendar(slots: u32, service: Span) -> Calendar {
    let mut calendar = Calendar::new(START, slots);
    for _ in 0..64 {
        calendar.record_claimed(service);
    }
    calendar
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(0x6361_6c65);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a second refusal because of the same burst: if all clients retry at the given
    /// times, each finds its booking, and a slot well within the least target latency.
    #[test]
    fn clients_that_retry_at_the_given_times_are_served(
        burst in burst(300),
        slots in 1..5_u32,
        service in 1..40_u64,
    ) {
        let service = Span::from_millis(service);
        // Clients return at any time in their cell and after different delays, and a request of each
        // level may start at the end of its cell.
        let most = CELL.times(2) + NETWORK + service.times(4);
        let mut calendar = calendar(slots, service);
        let mut busy: BinaryHeap<Reverse<Time>> = (0..slots).map(|_| Reverse(START)).collect();
        let mut retries: BinaryHeap<Reverse<(Time, WorkspaceId, Level)>> = BinaryHeap::new();
        let mut burst = burst.into_iter().peekable();
        loop {
            let retry = retries.peek().map(|Reverse((at, ..))| *at);
            let is_refusal = |refused: &Refused| retry.is_none_or(|at| START + refused.at <= at);
            if let Some(refused) = burst.next_if(is_refusal) {
                let Refused { workspace, level, random, .. } = refused;
                let now = START + refused.at;
                let booking = calendar.book(now, workspace, level, Span::ZERO, random);
                let at = now + booking.retry_after + refused.network;
                prop_assert!(booking.booked || LENGTH <= booking.retry_after);
                if booking.booked {
                    retries.push(Reverse((at, workspace, level)));
                }
                continue;
            }
            let Some(Reverse((at, workspace, level))) = retries.pop() else { break };
            prop_assert!(calendar.claim(at, workspace, level), "no booking at {at:?}");
            let Some(Reverse(free)) = busy.pop() else { break };
            let started = free.max(at);
            prop_assert!(started.since(at) <= most, "waits {}", started.since(at));
            busy.push(Reverse(started + service));
        }
        prop_assert_eq!(calendar.open(), 0);
    }

    /// Guards against promising more than there is: the bookings of any time fit the slots, and
    /// they come no earlier than the requests admitted before them end.
    #[test]
    fn bookings_fit_the_slots(burst in burst(400), wait in 0..2_000_u64) {
        let (slots, service, wait) = (2, Span::from_millis(10), Span::from_millis(wait));
        let mut calendar = calendar(slots, service);
        let mut cells = std::collections::HashMap::<u64, u64>::new();
        for Refused { at, workspace, level, random, .. } in burst {
            let booking = calendar.book(START + at, workspace, level, wait, random);
            prop_assert!(wait < booking.retry_after + CELL);
            if booking.booked {
                *cells.entry((START + at + booking.retry_after).0 / CELL.0).or_default() += 1;
            }
        }
        // One request of each of the four levels may start at the end of a cell and end in the next.
        let most = u64::from(slots) * CELL.0 / service.0 + 4;
        prop_assert!(cells.values().all(|count| *count <= most), "{cells:?}");
    }

    /// Guards against lower-priority clients that take the early cells because they were refused
    /// first in a burst of mixed levels.
    #[test]
    fn higher_priorities_return_first(randoms in proptest::collection::vec(any::<u64>(), 300)) {
        let mut calendar = calendar(4, Span::from_millis(20));
        let mut sums = [(0, 0); 3];
        for (index, random) in randoms.into_iter().enumerate() {
            // The levels arrive in turn, so that a third of the refusals belongs to each.
            let level = Level(2 - (index % 3) as u8);
            let at = START + Span::from_millis(index as u64);
            let booking = calendar.book(at, WorkspaceId(1), level, Span::ZERO, random);
            let sum = &mut sums[level.index()];
            *sum = (sum.0 + booking.retry_after.0, sum.1 + 1);
        }
        let [first, second, third] = sums.map(|(sum, count)| sum / count);
        prop_assert!(first < second && second < third, "{first} {second} {third}");
    }

    /// Guards against bookings that new requests push aside: those of their own and of higher
    /// priority that are due hold them back, and no others.
    #[test]
    fn due_bookings_go_before_new_requests(burst in burst(50), level in 0..4_u8) {
        let service = Span::from_millis(10);
        let mut calendar = calendar(4, service);
        let (mut ahead, end) = (0, START + Span::from_secs(2));
        for Refused { workspace, level: own, random, .. } in burst {
            let booking = calendar.book(end, workspace, own, Span::ZERO, random);
            ahead += u64::from(booking.booked && own <= Level(level));
        }
        prop_assert_eq!(calendar.pending(end, Level(level), LENGTH), service.times(ahead));
        // Bookings that nobody has claimed in time hold back nothing.
        let later = end + LENGTH + LENGTH;
        prop_assert_eq!(calendar.pending(later, Level(level), LENGTH), Span::ZERO);
        prop_assert_eq!(calendar.open(), 0);
    }
}

/// Guards against a return at the usual rate, which leaves no room for the requests that arrive
/// anyway.
#[test]
fn bookings_leave_room_for_the_usual_load() {
    let rate = |load: u64| {
        let mut calendar = calendar(4, Span::from_millis(10));
        // In each cell `load` requests of 10 ms without a booking, out of the 20 that fit.
        for request in 0..load * 400 {
            let now = START + Span(CELL.0 * (request / load));
            calendar.record_unbooked(now, Level(0), Span::from_millis(10));
        }
        let now = START + CELL.times(400);
        let book = |_| calendar.book(now, WorkspaceId(1), Level(0), Span::ZERO, 0).retry_after;
        (0..100).map(book).max().unwrap().0.div_ceil(CELL.0)
    };
    // 100 requests take 5 empty cells, 10 half-empty ones, and 20 of full load.
    assert_eq!((rate(0), rate(10), rate(20)), (5, 10, 20));
}
