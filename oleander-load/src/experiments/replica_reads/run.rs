//! One run: sessions, two homes and the fake group.

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
use crate::experiments::replica_reads::setting::Scene;
use crate::experiments::replica_reads::setting::Setting;

/// The time for which requests come.
const LENGTH: Span = Span::from_secs(120);
/// The time for which a stalled replica applies nothing.
const STALL: Range<Time> = Time(30_000_000)..Time(60_000_000);
/// The time between pings of an instance by a home.
const PING: Span = Span::from_millis(200);
/// The time between looks at the replicas while a write waits for its majority.
const POLL: Span = Span::from_millis(10);
/// The time within which a caller wants its answer.
const DEADLINE: Span = Span::from_secs(1);
/// The age of data that a read with a stated age accepts.
const AGE: Span = Span::from_secs(2);
/// The part of requests that write.
const WRITES: f64 = 0.2;
/// The part of reads that state an age.
const AGED: f64 = 0.2;

/// Runs one setting from its seed.
pub(crate) fn run(seed: u64, setting: Setting) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let stall = if setting.scene == Scene::Stalled { STALL } else { Time(0)..Time(0) };
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

/// `Home` is one home's knowledge and the times at which its slots are free.
#[derive(Debug)]
struct Home {
    knowledge: GroupView,
    free: [Vec<Time>; INSTANCES],
    options: Options,
}

/// `Session` is one caller: its token and what it truly has seen.
#[derive(Clone, Debug, Default)]
struct Session {
    seen: SmallVec<[SeenPoint; 1]>,
    truth: u64,
}

#[derive(Clone, Debug)]
struct Request {
    session: usize,
    home: usize,
    came: Time,
    age: Option<Span>,
    excluded: SmallVec<[InstanceId; 3]>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive { session: usize },
    Choose { request: usize },
    Look { request: usize, instance: usize, asked: Time, done: Time },
    Answer { request: usize, instance: usize, known: StatusAt },
    Commit { request: usize },
    Confirm { request: usize, position: u64 },
    Ping { home: usize },
    PingLook { home: usize, instance: usize, asked: Time },
    Pinged { home: usize, instance: usize, known: StatusAt },
}

impl Run {
    fn start(&mut self) {
        let count = self.setting.user.load() * self.setting.scene.pause().0 / Span::from_secs(1).0;
        self.sessions = vec![Session::default(); count as usize];
        for home in 0..self.homes.len() {
            self.queue.schedule(Time(home as u64 * 1_000), Event::Ping { home });
        }
        for session in 0..self.sessions.len() {
            let at =
                Time(0) + PING + Span(self.random.random_range(0..self.setting.scene.pause().0));
            self.queue.schedule(at, Event::Arrive { session });
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive { session } => self.arrive(now, session),
            Event::Choose { request } => self.choose(now, request),
            Event::Look { request, instance, asked, done } => {
                let known =
                    StatusAt { status: self.group.status(instance, now), requested_at: asked };
                self.queue.schedule(done, Event::Answer { request, instance, known });
            }
            Event::Answer { request, instance, known } => {
                self.answer(now, request, instance, known);
            }
            Event::Commit { request } => self.commit(now, request),
            Event::Confirm { request, position } => self.confirm(now, request, position),
            Event::Ping { home } => self.ping(now, home),
            Event::PingLook { home, instance, asked } => {
                let known =
                    StatusAt { status: self.group.status(instance, now), requested_at: asked };
                let back = now + now.since(asked);
                self.queue.schedule(back, Event::Pinged { home, instance, known });
            }
            Event::Pinged { home, instance, known } => {
                self.homes[home].knowledge.record_status(instance_id(instance), known);
            }
        }
    }

    fn arrive(&mut self, now: Time, session: usize) {
        let is_write = self.random.random_bool(WRITES);
        let is_aged = self.random.random_bool(AGED);
        let request = self.requests.len();
        self.requests.push(Request {
            session,
            home: self.random.random_range(0..self.homes.len()),
            came: now,
            age: (!is_write && is_aged).then_some(AGE),
            excluded: SmallVec::new(),
        });
        if is_write {
            let (start, service) = self.occupy(now, request, 0);
            self.queue.schedule(start + service, Event::Commit { request });
            return;
        }
        self.outcome.reads += 1;
        self.outcome.eligible += u64::from(self.is_eligible(now, request));
        self.choose(now, request);
    }

    /// Returns `true` if a replica will have what the session needs in time to answer.
    fn is_eligible(&self, now: Time, request: usize) -> bool {
        let user = self.setting.user;
        let latest =
            now + DEADLINE.saturating_sub(user.round_trip(Distance::Remote) + user.service());
        let truth = self.sessions[self.requests[request].session].truth;
        (1..INSTANCES).any(|instance| truth <= self.group.position(instance, latest))
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
        home.knowledge.choose(now, &need, load, &request.excluded, &home.options)
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
        ReadNeed { seen, max_age: request.age, deadline: request.came + DEADLINE }
    }

    fn send(&mut self, now: Time, request: usize, instance: usize) {
        let (start, length) = self.occupy(now, request, instance);
        let round_trip = self.round_trip(request, instance);
        let look = Event::Look { request, instance, asked: start, done: start + length };
        self.queue.schedule(start + Span(round_trip.0 / 2), look);
    }

    /// Takes the first free slot. Gets the start and the time for which the slot is taken.
    fn occupy(&mut self, now: Time, request: usize, instance: usize) -> (Time, Span) {
        let service = exponential(self.setting.user.service(), &mut self.random);
        let length = self.round_trip(request, instance) + service;
        let home = &mut self.homes[self.requests[request].home];
        let Some(free) = home.free[instance].iter_mut().min() else { return (now, length) };
        let start = now.max(*free);
        *free = start + length;
        home.knowledge.record_service_time(instance_id(instance), service);
        (start, length)
    }

    fn round_trip(&self, request: usize, instance: usize) -> Span {
        self.setting.user.round_trip(distance(self.requests[request].home, instance))
    }

    fn answer(&mut self, now: Time, request: usize, instance: usize, known: StatusAt) {
        let id = instance_id(instance);
        let home = self.requests[request].home;
        self.homes[home].knowledge.record_status(id, known);
        let need = self.need(&self.requests[request]);
        match self.homes[home].knowledge.check_answer(now, &known.status, &need) {
            Check::Accept(_) => self.accept(now, request, instance, &known.status),
            Check::Retry => {
                self.outcome.discarded += 1;
                self.requests[request].excluded.push(id);
                self.choose(now, request);
            }
            Check::HistoryLost => self.finish(now, request),
        }
    }

    fn accept(&mut self, now: Time, request: usize, instance: usize, status: &InstanceStatus) {
        let Request { session, home, came, age, .. } = self.requests[request];
        let position = status.point.position.0;
        // The age is checked against the log itself, the session against what it truly saw.
        let oldest = age.map_or(0, |age| self.group.position(0, Time(now.0.saturating_sub(age.0))));
        let needed = self.sessions[session].truth.max(oldest);
        self.outcome.stale += u64::from(position < needed);
        self.outcome.by_replica += u64::from(instance != 0);
        self.outcome.timely += u64::from(now <= came + DEADLINE);
        let seen = self.homes[home].knowledge.seen_point(instance_id(instance), status);
        self.saw(session, seen, position);
        self.finish(now, request);
    }

    /// Ends a read, whatever became of it.
    fn finish(&mut self, now: Time, request: usize) {
        self.outcome.latencies.push(now.since(self.requests[request].came));
        self.think(now, self.requests[request].session);
    }

    fn commit(&mut self, now: Time, request: usize) {
        let position = self.group.commit(now);
        let status = self.group.status(0, now);
        let home = self.requests[request].home;
        self.homes[home]
            .knowledge
            .record_status(instance_id(0), StatusAt { status, requested_at: now });
        match self.setting.acknowledge {
            Acknowledge::Replicated => {
                self.queue.schedule(now + POLL, Event::Confirm { request, position });
            }
            Acknowledge::Primary => self.acknowledge(now, request, status),
        }
    }

    fn confirm(&mut self, now: Time, request: usize, position: u64) {
        let home = self.requests[request].home;
        for instance in 1..INSTANCES {
            let round_trip = self.round_trip(request, instance);
            let asked = Time(now.0.saturating_sub(round_trip.0));
            let status = self.group.status(instance, asked);
            self.homes[home]
                .knowledge
                .record_status(instance_id(instance), StatusAt { status, requested_at: asked });
            if position <= status.point.position.0 {
                self.acknowledge(now, request, status_at(position, self.group.status(0, now)));
                return;
            }
        }
        self.queue.schedule(now + POLL, Event::Confirm { request, position });
    }

    fn acknowledge(&mut self, now: Time, request: usize, status: InstanceStatus) {
        let Request { session, home, .. } = self.requests[request];
        let seen = self.homes[home].knowledge.seen_point(instance_id(0), &status);
        self.saw(session, seen, status.point.position.0);
        self.think(now, session);
    }

    fn saw(&mut self, session: usize, seen: SeenPoint, position: u64) {
        let session = &mut self.sessions[session];
        session.truth = session.truth.max(position);
        session.seen = SmallVec::from_slice(&[seen]);
    }

    fn think(&mut self, now: Time, session: usize) {
        let at = now + exponential(self.setting.scene.pause(), &mut self.random);
        if at < Time(0) + LENGTH {
            self.queue.schedule(at, Event::Arrive { session });
        }
    }

    fn ping(&mut self, now: Time, home: usize) {
        for instance in 0..INSTANCES {
            let round_trip = self.setting.user.round_trip(distance(home, instance));
            let look = Event::PingLook { home, instance, asked: now };
            self.queue.schedule(now + Span(round_trip.0 / 2), look);
        }
        if now < Time(0) + LENGTH {
            self.queue.schedule(now + PING, Event::Ping { home });
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
            knowledge: GroupView::new(instances),
            free: std::array::from_fn(|_| vec![Time(0); slots]),
            options: Options { round_trips, ..Options::default() },
        }
    }

    fn wait(&self, now: Time, instance: usize) -> Span {
        self.free[instance].iter().min().map_or(Span::ZERO, |free| free.since(now))
    }
}

/// Gets the distance from a home to an instance: the two homes and the first two
/// instances stand in two zones of a region, the third instance in another region.
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

fn status_at(position: u64, mut status: InstanceStatus) -> InstanceStatus {
    status.point.position.0 = position;
    status
}

fn exponential(mean: Span, random: &mut ChaCha8Rng) -> Span {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Span((-uniform.ln() * mean.0 as f64) as u64)
}
