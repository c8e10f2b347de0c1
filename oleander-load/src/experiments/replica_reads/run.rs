//! One run: sessions, two homes and the simulated group.

use std::ops::Range;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::places::Distance;
use oleander_core::terms::InstanceStatus;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::timers::TimerQueue;
use oleander_routing::group_view::GroupView;
use oleander_routing::group_view::Load;
use oleander_routing::homes::RoundTrips;
use oleander_routing::reads::Check;
use oleander_routing::reads::Choice;
use oleander_routing::reads::Options;
use oleander_routing::reads::ReadNeed;
use oleander_routing::samples::StatusAt;
use oleander_session::token::SeenPoint;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::experiments::replica_reads::group::FakeGroup;
use crate::experiments::replica_reads::group::INSTANCES;
use crate::experiments::replica_reads::outcome::Outcome;
use crate::experiments::replica_reads::setting::Acknowledge;
use crate::experiments::replica_reads::setting::Policy;
use crate::experiments::replica_reads::setting::Scenario;
use crate::experiments::replica_reads::setting::Setting;

/// The time in which requests arrive.
const LENGTH: Span = Span::from_secs(120);
/// The period in which the stalled replica applies nothing.
const STALL: Range<Time> = Time(30_000_000)..Time(60_000_000);
/// The interval between a home's pings of an instance.
const PING_INTERVAL: Span = Span::from_millis(200);
/// The interval between polls of the replicas while a write waits for a majority.
const POLL_INTERVAL: Span = Span::from_millis(10);
/// The deadline of a request after its arrival.
const DEADLINE: Span = Span::from_secs(1);
/// The maximum age of the data in the reads that specify one.
const MAX_AGE: Span = Span::from_secs(2);
/// The proportion of requests that write.
const WRITE_RATIO: f64 = 0.2;
/// The proportion of reads that specify a maximum age.
const AGED_RATIO: f64 = 0.2;

/// Runs one setting from its seed.
pub(crate) fn run(seed: u64, setting: Setting) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let stall = if setting.scenario == Scenario::Stalled { STALL } else { Time(0)..Time(0) };
    let group = FakeGroup::new(Span::from_millis(setting.lag), LENGTH, stall, &mut random);
    let mut run = Run {
        setting,
        group,
        homes: [0, 1].map(|home| Home::new(setting, home)),
        sessions: Vec::new(),
        requests: Vec::new(),
        queue: TimerQueue::new(),
        random,
        outcome: Outcome::default(),
    };
    run.start();
    while let Some(due) = run.queue.next_due() {
        while let Some(event) = run.queue.pop_due(due) {
            run.handle(due, event);
        }
    }
    run.outcome.latencies.sort_unstable();
    run.outcome
}

#[derive(Debug)]
struct Run {
    setting: Setting,
    group: FakeGroup,
    homes: [Home; 2],
    sessions: Vec<Session>,
    requests: Vec<Request>,
    queue: TimerQueue<Event>,
    random: ChaCha8Rng,
    outcome: Outcome,
}

/// `Home` is a home's view of the group and the state of its slots.
#[derive(Debug)]
struct Home {
    view: GroupView,
    /// The time at which each slot of each instance becomes free.
    free: [Vec<Time>; INSTANCES],
    options: Options,
}

/// `Session` is the state of one client session.
#[derive(Clone, Debug, Default)]
struct Session {
    /// The points that the session's token carries.
    seen: SmallVec<[SeenPoint; 1]>,
    /// The highest position that the session has really seen, whatever its token says.
    seen_position: u64,
}

#[derive(Clone, Debug)]
struct Request {
    session: usize,
    home: usize,
    arrived_at: Time,
    max_age: Option<Span>,
    /// The instances whose answers were discarded.
    excluded: SmallVec<[InstanceId; 3]>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive { session: usize },
    Choose { request: usize },
    RequestArrives { request: usize, instance: usize, sent_at: Time, done: Time },
    Answer { request: usize, instance: usize, observed: StatusAt },
    Commit { request: usize },
    Confirm { request: usize, position: u64 },
    Ping { home: usize },
    PingArrives { home: usize, instance: usize, sent_at: Time },
    PingAnswered { home: usize, instance: usize, observed: StatusAt },
}

impl Run {
    fn start(&mut self) {
        let count =
            self.setting.user.load() * self.setting.scenario.pause().0 / Span::from_secs(1).0;
        self.sessions = vec![Session::default(); count as usize];
        for home in 0..self.homes.len() {
            self.queue.schedule(Time(home as u64 * 1_000), Event::Ping { home });
        }
        for session in 0..self.sessions.len() {
            let at = Time(0)
                + PING_INTERVAL
                + Span(self.random.random_range(0..self.setting.scenario.pause().0));
            self.queue.schedule(at, Event::Arrive { session });
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive { session } => self.arrive(now, session),
            Event::Choose { request } => self.choose(now, request),
            Event::RequestArrives { request, instance, sent_at, done } => {
                let observed =
                    StatusAt { status: self.group.status(instance, now), requested_at: sent_at };
                self.queue.schedule(done, Event::Answer { request, instance, observed });
            }
            Event::Answer { request, instance, observed } => {
                self.answer(now, request, instance, observed);
            }
            Event::Commit { request } => self.commit(now, request),
            Event::Confirm { request, position } => self.confirm(now, request, position),
            Event::Ping { home } => self.ping(now, home),
            Event::PingArrives { home, instance, sent_at } => {
                let observed =
                    StatusAt { status: self.group.status(instance, now), requested_at: sent_at };
                let back = now + now.since(sent_at);
                self.queue.schedule(back, Event::PingAnswered { home, instance, observed });
            }
            Event::PingAnswered { home, instance, observed } => {
                self.homes[home].view.record_status(instance_id(instance), observed);
            }
        }
    }

    fn arrive(&mut self, now: Time, session: usize) {
        let is_write = self.random.random_bool(WRITE_RATIO);
        let is_aged = self.random.random_bool(AGED_RATIO);
        let request = self.requests.len();
        self.requests.push(Request {
            session,
            home: self.random.random_range(0..self.homes.len()),
            arrived_at: now,
            max_age: (!is_write && is_aged).then_some(MAX_AGE),
            excluded: SmallVec::new(),
        });
        if is_write {
            let (start, length) = self.reserve_slot(now, request, 0);
            self.queue.schedule(start + length, Event::Commit { request });
            return;
        }
        self.outcome.reads += 1;
        self.outcome.eligible += u64::from(self.is_eligible(now, request));
        self.choose(now, request);
    }

    /// Returns `true` if a replica will hold the writes that the session has seen early enough to
    /// answer within the deadline.
    fn is_eligible(&self, now: Time, request: usize) -> bool {
        let user = self.setting.user;
        let latest =
            now + DEADLINE.saturating_sub(user.round_trip(Distance::Remote) + user.service());
        let seen_position = self.sessions[self.requests[request].session].seen_position;
        (1..INSTANCES).any(|instance| seen_position <= self.group.position(instance, latest))
    }

    fn choose(&mut self, now: Time, request: usize) {
        let choice = match self.setting.policy {
            Policy::ExpectedCost => self.choose_by_cost(now, request),
            Policy::PrimaryOnly => Choice::Run(instance_id(0)),
            Policy::ReplicaNoWait => self.choose_replica(now, request),
        };
        match choice {
            Choice::Run(instance) => self.send(now, request, usize::from(instance.ordinal)),
            Choice::WaitFor { until, .. } => {
                self.queue.schedule(until.max(now + Span(1)), Event::Choose { request });
            }
            Choice::Refuse(_) => self.finish(now, request),
        }
    }

    fn choose_by_cost(&self, now: Time, request: usize) -> Choice {
        let request = &self.requests[request];
        let home = &self.homes[request.home];
        let need = self.need(request);
        let load =
            |instance: InstanceId| Load { wait: home.wait(now, usize::from(instance.ordinal)) };
        home.view.choose(now, &need, load, &request.excluded, &home.options)
    }

    fn choose_replica(&self, now: Time, request: usize) -> Choice {
        let request = &self.requests[request];
        if !request.excluded.is_empty() {
            return Choice::Run(instance_id(0));
        }
        let home = &self.homes[request.home];
        let replica = (1..INSTANCES).min_by_key(|instance| home.wait(now, *instance));
        Choice::Run(instance_id(replica.unwrap_or(0)))
    }

    fn need(&self, request: &Request) -> ReadNeed<'_> {
        let seen = &self.sessions[request.session].seen;
        ReadNeed { seen, max_age: request.max_age, deadline: request.arrived_at + DEADLINE }
    }

    fn send(&mut self, now: Time, request: usize, instance: usize) {
        let (start, length) = self.reserve_slot(now, request, instance);
        let round_trip = self.round_trip(request, instance);
        let arrival =
            Event::RequestArrives { request, instance, sent_at: start, done: start + length };
        self.queue.schedule(start + Span(round_trip.0 / 2), arrival);
    }

    /// Reserves the slot that becomes free first. Returns the start and the length of the
    /// reservation.
    fn reserve_slot(&mut self, now: Time, request: usize, instance: usize) -> (Time, Span) {
        let service = exponential(self.setting.user.service(), &mut self.random);
        let length = self.round_trip(request, instance) + service;
        let home = &mut self.homes[self.requests[request].home];
        let Some(free) = home.free[instance].iter_mut().min() else { return (now, length) };
        let start = now.max(*free);
        *free = start + length;
        home.view.record_service_time(instance_id(instance), service);
        (start, length)
    }

    fn round_trip(&self, request: usize, instance: usize) -> Span {
        self.setting.user.round_trip(distance(self.requests[request].home, instance))
    }

    fn answer(&mut self, now: Time, request: usize, instance: usize, observed: StatusAt) {
        let id = instance_id(instance);
        let home = self.requests[request].home;
        self.homes[home].view.record_status(id, observed);
        let need = self.need(&self.requests[request]);
        match self.homes[home].view.check_answer(now, &observed.status, &need) {
            Check::Accept(_) => self.accept(now, request, instance, &observed.status),
            Check::Retry => {
                self.outcome.discarded += 1;
                self.requests[request].excluded.push(id);
                self.choose(now, request);
            }
            Check::HistoryLost => self.finish(now, request),
        }
    }

    fn accept(&mut self, now: Time, request: usize, instance: usize, status: &InstanceStatus) {
        let Request { session, home, arrived_at, max_age, .. } = self.requests[request];
        let position = status.point.position.0;
        // Staleness is determined from the log and from what the session has really seen, not from
        // the home's view.
        let oldest = max_age
            .map_or(0, |max_age| self.group.position(0, Time(now.0.saturating_sub(max_age.0))));
        let needed = self.sessions[session].seen_position.max(oldest);
        self.outcome.stale += u64::from(position < needed);
        self.outcome.from_replicas += u64::from(instance != 0);
        self.outcome.timely += u64::from(now <= arrived_at + DEADLINE);
        let seen = self.homes[home].view.seen_point(instance_id(instance), status);
        self.record_seen(session, seen, position);
        self.finish(now, request);
    }

    /// Ends a read, whether it was answered or refused.
    fn finish(&mut self, now: Time, request: usize) {
        self.outcome.latencies.push(now.since(self.requests[request].arrived_at));
        self.schedule_next_request(now, self.requests[request].session);
    }

    fn commit(&mut self, now: Time, request: usize) {
        let position = self.group.commit(now);
        let status = self.group.status(0, now);
        let home = self.requests[request].home;
        self.homes[home].view.record_status(instance_id(0), StatusAt { status, requested_at: now });
        match self.setting.acknowledge {
            Acknowledge::Replicated => {
                self.queue.schedule(now + POLL_INTERVAL, Event::Confirm { request, position });
            }
            Acknowledge::Primary => self.acknowledge(now, request, status),
        }
    }

    fn confirm(&mut self, now: Time, request: usize, position: u64) {
        let home = self.requests[request].home;
        for instance in 1..INSTANCES {
            let round_trip = self.round_trip(request, instance);
            let sent_at = Time(now.0.saturating_sub(round_trip.0));
            let status = self.group.status(instance, sent_at);
            self.homes[home]
                .view
                .record_status(instance_id(instance), StatusAt { status, requested_at: sent_at });
            if position <= status.point.position.0 {
                self.acknowledge(now, request, with_position(position, self.group.status(0, now)));
                return;
            }
        }
        self.queue.schedule(now + POLL_INTERVAL, Event::Confirm { request, position });
    }

    fn acknowledge(&mut self, now: Time, request: usize, status: InstanceStatus) {
        let Request { session, home, .. } = self.requests[request];
        let seen = self.homes[home].view.seen_point(instance_id(0), &status);
        self.record_seen(session, seen, status.point.position.0);
        self.schedule_next_request(now, session);
    }

    fn record_seen(&mut self, session: usize, seen: SeenPoint, position: u64) {
        let session = &mut self.sessions[session];
        session.seen_position = session.seen_position.max(position);
        session.seen = SmallVec::from_slice(&[seen]);
    }

    fn schedule_next_request(&mut self, now: Time, session: usize) {
        let at = now + exponential(self.setting.scenario.pause(), &mut self.random);
        if at < Time(0) + LENGTH {
            self.queue.schedule(at, Event::Arrive { session });
        }
    }

    fn ping(&mut self, now: Time, home: usize) {
        for instance in 0..INSTANCES {
            let round_trip = self.setting.user.round_trip(distance(home, instance));
            let arrival = Event::PingArrives { home, instance, sent_at: now };
            self.queue.schedule(now + Span(round_trip.0 / 2), arrival);
        }
        if now < Time(0) + LENGTH {
            self.queue.schedule(now + PING_INTERVAL, Event::Ping { home });
        }
    }
}

impl Home {
    fn new(setting: Setting, home: usize) -> Self {
        let instances = (0..INSTANCES).map(|at| (instance_id(at), distance(home, at)));
        let slots = setting.user.slots()[home];
        let round_trips = RoundTrips {
            zone: setting.user.round_trip(Distance::Zone),
            region: setting.user.round_trip(Distance::Region),
            remote: setting.user.round_trip(Distance::Remote),
        };
        Self {
            view: GroupView::new(instances),
            free: std::array::from_fn(|_| vec![Time(0); slots]),
            options: Options { round_trips, ..Options::default() },
        }
    }

    fn wait(&self, now: Time, instance: usize) -> Span {
        self.free[instance].iter().min().map_or(Span::ZERO, |free| free.since(now))
    }
}

/// Returns the distance from a home to an instance. Home `i` and instance `i` share a zone, both
/// zones are in one region, and the third instance is in another region.
fn distance(home: usize, instance: usize) -> Distance {
    match (home, instance) {
        (_, 2) => Distance::Remote,
        (home, instance) if home == instance => Distance::Zone,
        _ => Distance::Region,
    }
}

fn instance_id(ordinal: usize) -> InstanceId {
    InstanceId { database: DatabaseId(1), ordinal: ordinal as u8 }
}

/// Returns `status` with another position.
fn with_position(position: u64, mut status: InstanceStatus) -> InstanceStatus {
    status.point.position.0 = position;
    status
}

/// Draws from the exponential distribution with the given mean.
fn exponential(mean: Span, random: &mut ChaCha8Rng) -> Span {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Span((-uniform.ln() * mean.0 as f64) as u64)
}
