//! Probes of rate limits: calls between VMs when clients connect to all VMs or to few.

use std::time::Instant;

use oleander_core::hash;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::timers::TimerQueue;
use oleander_limits::messages::LimitReply;
use oleander_limits::messages::LimitRequest;
use oleander_limits::rates::actions::Action;
use oleander_limits::rates::actions::CallId;
use oleander_limits::rates::actions::Decision;
use oleander_limits::rates::actions::Ticket;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_limits::rates::tokens::Limit;
use oleander_peer::codec;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use rand::Rng as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::capacity::fleet::shares_for;
use crate::capacity::line::Axis;
use crate::capacity::line::Point;
use crate::capacity::line::Series;
use crate::capacity::measure::bytes_per_value;

/// The measured numbers of VMs.
const FLEET_SIZES: [u16; 3] = [60, 120, 240];

/// The target size, measured to check the extrapolation.
const TARGET_VMS: u16 = 420;

/// The measured requests per second of a workspace whose clients connect to few VMs.
const FEW_RATES: [u16; 3] = [140, 280, 560];

/// The number of VMs of a fleet in which the clients of a workspace connect to few VMs.
const FEW_FLEET_SIZE: u16 = 60;

/// The number of workspaces of a fleet.
const WORKSPACES: u64 = 4;

/// The requests per second of a workspace at each VM when its clients connect to all VMs.
const RATE_PER_VM: f64 = 1.33;

/// The number of VMs that the clients of a workspace connect to when they use few.
const FEW_VMS: u64 = 4;

/// The fraction of its rate limit that a workspace uses.
const UTILIZATION: f64 = 0.8;

/// The one-way latency between two VMs.
const MESSAGE_DELAY: Span = Span::from_millis(1);

/// The time at which counting starts. Until then, the limiters of a new fleet wait for possible
/// earlier loans to expire.
const WARM_UP: Time = Time(5_000_000);

/// The time at which the load ends.
const END: Time = Time(25_000_000);

/// The deadline of a request, from its arrival.
const DEADLINE: Span = Span::from_secs(1);

/// The number of workspace accounts whose memory is measured.
const ACCOUNTS: u64 = 2_000;

/// The series of calls between VMs when clients connect to all VMs.
pub const SPREAD_CALLS: &str = "rates: calls a request, callers on all VMs";
/// The series of calls between VMs when clients connect to few VMs.
pub const FEW_CALLS: &str = "rates: calls a second of a workspace, callers on 4 VMs";
/// The series of calls between VMs when clients connect to one VM.
pub const ONE_CALLS: &str = "rates: calls a second of a workspace, callers on 1 VM";
/// The series of wrongful refusals when clients connect to few VMs.
pub const FEW_REFUSED: &str = "rates: refused within the rate, %, callers on 4 VMs";
/// The series of wrongful refusals when clients connect to one VM.
pub const ONE_REFUSED: &str = "rates: refused within the rate, %, callers on 1 VM";
/// The series of frame bytes per call.
pub const CALL_BYTES: &str = "rates: frame bytes a call";
/// The series of the decision time per request.
pub const DECISION_TIME: &str = "rates: decision time a request, us";
/// The series of wrongful refusals when clients connect to all VMs.
pub const REFUSED: &str = "rates: refused within the rate, %, callers on all VMs";
/// The series of the memory of a workspace account.
pub const STATE: &str = "rates: state of a workspace at a VM, bytes";

/// Measures fleets of several sizes and of the target size, then fleets with few entry VMs per
/// workspace.
pub fn measure(seed: u64) -> Vec<Series> {
    let names = [SPREAD_CALLS, CALL_BYTES, DECISION_TIME, REFUSED, STATE];
    let mut series = names.map(|name| Series::new(name, Axis::Vms)).to_vec();
    for size in FLEET_SIZES {
        for (series, value) in series.iter_mut().zip(measure_fleet(size, seed)) {
            series.push(size, value);
        }
    }
    for (series, value) in series.iter_mut().zip(measure_fleet(TARGET_VMS, seed)) {
        series.check = Some(Point { size: f64::from(TARGET_VMS), value });
    }
    series.extend(measure_few([FEW_CALLS, FEW_REFUSED], FEW_VMS, seed));
    series.extend(measure_few([ONE_CALLS, ONE_REFUSED], 1, seed));
    series
}

fn measure_fleet(size: u16, seed: u64) -> [f64; 5] {
    let vms = f64::from(size);
    let spread = run(Load::new(size, u64::from(size), vms * RATE_PER_VM, seed));
    let requests = spread.requests as f64;
    [
        spread.calls as f64 / requests,
        spread.bytes as f64 / spread.calls.max(1) as f64,
        spread.nanos as f64 / requests / 1_000.0,
        100.0 * spread.refused as f64 / requests,
        account_bytes(size),
    ]
}

/// Measures workspaces whose clients connect to `entry_vms` VMs, at several rates.
fn measure_few(names: [&'static str; 2], entry_vms: u64, seed: u64) -> [Series; 2] {
    let mut series = names.map(|name| Series::new(name, Axis::Rate));
    for rate in FEW_RATES {
        let few = run(Load::new(FEW_FLEET_SIZE, entry_vms, f64::from(rate), seed));
        let seconds = END.since(WARM_UP).as_secs_f64();
        series[0].push(rate, few.calls as f64 / seconds / WORKSPACES as f64);
        series[1].push(rate, 100.0 * few.refused as f64 / few.requests as f64);
    }
    series
}

/// Returns the memory that a limiter needs for each workspace that sent requests, in bytes.
fn account_bytes(size: u16) -> f64 {
    let make = || {
        let mut limiter =
            limiter(0, u64::from(size), ACCOUNTS, limit(f64::from(size) * RATE_PER_VM));
        for workspace in 0..ACCOUNTS {
            let ticket = Ticket(workspace);
            let id = WorkspaceId(hash::mix(workspace + 1));
            limiter.acquire(Time(1), ticket, id, 1, Time(1) + DEADLINE, &mut Vec::new());
        }
        limiter
    };
    bytes_per_value(8, make) / ACCOUNTS as f64
}

/// Returns the limit of a workspace that sends `rate` requests per second.
fn limit(rate: f64) -> Limit {
    let rate = (rate / UTILIZATION).ceil() as u32;
    Limit { rate, burst: 2 * rate }
}

fn limiter(vm: u64, vms: u64, workspaces: u64, limit: Limit) -> RateLimiter {
    let mut limiter = RateLimiter::new(VmId(vm), vm);
    let limits = (0..workspaces).map(|i| (WorkspaceId(hash::mix(i + 1)), limit));
    limiter.set_limits(Time(0), limits, &mut Vec::new());
    let shares = u64::from(shares_for(vms as usize));
    let owners: Vec<Option<VmId>> = (0..shares).map(|share| Some(VmId(share % vms))).collect();
    limiter.set_shares(Time(0), &owners, Time(u64::MAX));
    limiter
}

/// `Outcome` holds the totals since the end of the warm-up; `nanos` is the time of decisions.
#[derive(Debug, Default)]
struct Outcome {
    requests: u64,
    refused: u64,
    calls: u64,
    bytes: u64,
    nanos: u64,
}

enum Event {
    Arrival { workspace: u64 },
    Request { from: usize, to: usize, call: CallId, request: LimitRequest },
    Reply { to: usize, call: CallId, reply: LimitReply },
    Tick { vm: usize },
}

struct Load {
    limiters: Vec<RateLimiter>,
    events: TimerQueue<Event>,
    random: ChaCha8Rng,
    outcome: Outcome,
    serial: u64,
    now: Time,
    entry_vms: u64,
    rate: f64,
    /// The time of the next tick of each limiter; `None` if none is scheduled.
    ticks: Vec<Option<Time>>,
}

/// Runs the load until `END`. Requests of each workspace arrive as a Poisson process.
fn run(mut load: Load) -> Outcome {
    for workspace in 0..WORKSPACES {
        load.schedule_arrival(workspace);
    }
    while let Some(due) = load.events.next_due().filter(|due| *due < END) {
        load.now = due;
        if let Some(event) = load.events.pop_due(due) {
            load.handle(event);
        }
    }
    load.outcome
}

impl Load {
    /// Creates a load of `rate` requests per second for each workspace, sent to `entry_vms` VMs.
    fn new(size: u16, entry_vms: u64, rate: f64, seed: u64) -> Self {
        let vms = u64::from(size);
        Self {
            limiters: (0..vms).map(|vm| limiter(vm, vms, WORKSPACES, limit(rate))).collect(),
            events: TimerQueue::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
            serial: 0,
            now: Time(0),
            entry_vms,
            rate,
            ticks: vec![None; usize::from(size)],
        }
    }

    fn schedule_arrival(&mut self, workspace: u64) {
        let draw: f64 = self.random.random();
        let gap = -(1.0 - draw).ln() / self.rate;
        self.events.schedule(self.now + Span((gap * 1e6) as u64), Event::Arrival { workspace });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { workspace } => self.arrive(workspace),
            Event::Request { from, to, call, request } => {
                let reply = self.run(to, |limiter, now, out| {
                    limiter.handle_request(now, VmId(from as u64), request, out)
                });
                if self.is_counted() {
                    self.outcome.bytes += frame_len(&Reply::Limit(reply.clone()));
                }
                self.events
                    .schedule(self.now + MESSAGE_DELAY, Event::Reply { to: from, call, reply });
            }
            Event::Reply { to, call, reply } => {
                self.run(to, |limiter, now, out| limiter.handle_reply(now, call, Some(reply), out));
            }
            Event::Tick { vm } if self.ticks[vm] == Some(self.now) => {
                self.ticks[vm] = None;
                self.run(vm, |limiter, now, out| limiter.tick(now, out));
            }
            // An earlier tick replaced this one.
            Event::Tick { .. } => {}
        }
    }

    fn arrive(&mut self, workspace: u64) {
        self.schedule_arrival(workspace);
        // The entry VMs differ between workspaces.
        let place = self.random.next_u64() % self.entry_vms;
        let vm = ((workspace * 7 + place) % self.limiters.len() as u64) as usize;
        self.serial += 1;
        let ticket = Ticket(self.serial);
        let id = WorkspaceId(hash::mix(workspace + 1));
        let decision = self
            .run(vm, |limiter, now, out| limiter.acquire(now, ticket, id, 1, now + DEADLINE, out));
        if self.is_counted() {
            self.outcome.requests += 1;
            self.outcome.refused += u64::from(matches!(decision, Decision::Refuse { .. }));
        }
    }

    /// Runs an event on a limiter, performs the resulting actions and schedules its next tick.
    fn run<T>(
        &mut self,
        vm: usize,
        event: impl FnOnce(&mut RateLimiter, Time, &mut Vec<Action>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let start = Instant::now();
        let result = event(&mut self.limiters[vm], self.now, &mut out);
        if self.is_counted() {
            self.outcome.nanos += start.elapsed().as_nanos() as u64;
        }
        for action in out {
            self.perform(vm, action);
        }
        if let Some(due) = self.limiters[vm].next_due() {
            let due = due.max(self.now + Span(1));
            if self.ticks[vm].is_none_or(|tick| due < tick) {
                self.ticks[vm] = Some(due);
                self.events.schedule(due, Event::Tick { vm });
            }
        }
        result
    }

    fn perform(&mut self, from: usize, action: Action) {
        match action {
            Action::Send { to, call, request } => {
                if self.is_counted() {
                    self.outcome.calls += 1;
                    let vm = VmId(from as u64);
                    self.outcome.bytes +=
                        frame_len(&Request::Limit { from: vm, request: request.clone() });
                }
                let event = Event::Request { from, to: to.0 as usize, call, request };
                self.events.schedule(self.now + MESSAGE_DELAY, event);
            }
            Action::Refuse { .. } if self.is_counted() => self.outcome.refused += 1,
            Action::Refuse { .. } | Action::Admit(_) => {}
        }
    }

    fn is_counted(&self) -> bool {
        WARM_UP <= self.now
    }
}

fn frame_len(message: &impl serde::Serialize) -> u64 {
    codec::encode(message).map_or(0, |frame| frame.len() as u64)
}
