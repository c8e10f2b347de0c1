//! Refusals while one home of a database is down and not yet suspected.
//!
//! Each entry VM uses the production order of homes, retry decision and retry budget with two homes
//! in virtual time. The other home can serve all requests, so every refusal is wrong.

use oleander_core::ids::VmId;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Verdict;
use oleander_routing::budget::RetryBudget;
use oleander_routing::budget::RetryOptions;
use oleander_routing::homes;
use oleander_routing::homes::Home;
use oleander_routing::homes::HomeState;
use oleander_routing::homes::RoundTrips;
use oleander_routing::retry;
use oleander_routing::retry::Attempt;
use oleander_routing::retry::Cut;
use oleander_routing::retry::Effect;
use oleander_routing::retry::Next;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator as _;

use crate::report::Report;
use crate::report::Table;

/// The number of entry VMs.
const ENTRY_VMS: u64 = 9;
/// The number of requests that arrive at each entry VM per second.
const ARRIVAL_RATE: f64 = 200.0;
/// The time in which requests arrive.
const DURATION: Span = Span::from_secs(20);
/// The time at which the first home fails.
const FAILURE_TIME: Time = Time(5_000_000);
/// The time from the failure until missed heartbeats make the home suspect.
const SUSPICION_DELAY: Span = Span::from_secs(2);
/// The time until a send to the failed home returns an error.
const SEND_FAILURE_DELAY: Span = Span::from_millis(2);
/// The mean wait in the queue of a home.
const MEAN_QUEUE_WAIT: Span = Span::from_millis(4);
/// The time that a send to a running home takes, without the wait in its queue.
const SERVICE_TIME: Span = Span::from_millis(6);
/// The deadline of a request after its arrival.
const DEADLINE: Span = Span::from_secs(1);

/// `Policy` is the reaction of an entry VM to a home that cannot be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Policy {
    /// The production policy: retries at the other home without using the budget, and records the
    /// failure as a queue wait so that later requests avoid the home.
    Remembered,
    /// Retries at the other home without using the budget; later requests try the failed home
    /// again.
    Free,
    /// Baseline: every retry uses the budget.
    Budget,
    /// Baseline: no retries.
    NoRetry,
}

/// Runs the experiment from its seed.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("Loss of one home", seed);
    let columns =
        ["policy", "requests", "refused", "refused %", "sends a request", "mean ms", "p99 ms"];
    let mut table = Table::new("While the dead home is not yet suspected", &columns);
    for policy in Policy::iter() {
        let outcome = run_policy(seed, policy);
        let refused = outcome.refused;
        table.push(outcome.row(policy));
        if policy == Policy::Remembered {
            report.require(refused == 0, "remembered: no request refused");
        }
    }
    report.tables.push(table);
    report
}

/// `Outcome` counts the requests that arrived between the failure and the suspicion.
#[derive(Debug, Default)]
struct Outcome {
    refused: u64,
    sends: u64,
    latencies: Vec<Span>,
}

impl Outcome {
    fn row(mut self, policy: Policy) -> [String; 7] {
        self.latencies.sort_unstable();
        let count = self.latencies.len();
        let sum: u64 = self.latencies.iter().map(|span| span.0).sum();
        let p99 = self.latencies.get(count * 99 / 100).copied().unwrap_or_default();
        [
            policy.to_string(),
            count.to_string(),
            self.refused.to_string(),
            format!("{:.2}", 100.0 * self.refused as f64 / count as f64),
            format!("{:.3}", self.sends as f64 / count as f64),
            format!("{:.1}", sum as f64 / count as f64 / 1e3),
            format!("{:.1}", p99.as_secs_f64() * 1e3),
        ]
    }
}

/// `Entry` is the state of one entry VM.
struct Entry {
    policy: Policy,
    homes: [Home; homes::HOMES_PER_DATABASE],
    budget: RetryBudget,
    random: ChaCha8Rng,
}

fn run_policy(seed: u64, policy: Policy) -> Outcome {
    let mut outcome = Outcome::default();
    for index in 0..ENTRY_VMS {
        let mut entry = Entry::new(policy, ChaCha8Rng::seed_from_u64(seed ^ (index << 32)));
        let mut now = Time(0);
        while now < Time(0) + DURATION {
            now = now + entry.exponential(Span((1e6 / ARRIVAL_RATE) as u64));
            let (sends, answered, end) = entry.run_request(now);
            if FAILURE_TIME <= now && now < FAILURE_TIME + SUSPICION_DELAY {
                outcome.refused += u64::from(!answered);
                outcome.sends += sends;
                outcome.latencies.push(end.since(now));
            }
        }
    }
    outcome
}

impl Entry {
    /// Creates an entry VM that is nearer to the home that will fail.
    fn new(policy: Policy, random: ChaCha8Rng) -> Self {
        let home = |vm, distance| Home {
            vm: VmId(vm),
            state: HomeState::Reachable,
            distance,
            wait: Span::ZERO,
            reported_at: Time(0),
        };
        let homes = [home(0, Distance::Zone), home(1, Distance::Region)];
        let budget = RetryBudget::new(RetryOptions::default(), Time(0));
        Self { policy, homes, budget, random }
    }

    /// Runs a request that arrived at `arrived_at`. Returns the number of sends, whether the
    /// request was answered, and the time at which it ended.
    fn run_request(&mut self, arrived_at: Time) -> (u64, bool, Time) {
        self.budget.deposit();
        let mut attempt = Attempt {
            effect: Effect::Write,
            sends: 0,
            prior_verdict: Verdict::NotRun,
            deadline: arrived_at + DEADLINE,
            expected: SERVICE_TIME,
        };
        let (mut now, mut last) = (arrived_at, None);
        loop {
            if FAILURE_TIME + SUSPICION_DELAY <= now {
                self.homes[0].state = HomeState::Suspect;
            }
            let order =
                homes::order(now, &self.homes, &RoundTrips::default(), self.random.random());
            let target = order.iter().copied().find(|vm| Some(*vm) != last).or(last);
            last = target;
            attempt.sends += 1;
            let has_failed = target == Some(VmId(0)) && FAILURE_TIME <= now;
            if !has_failed {
                let wait = self.exponential(MEAN_QUEUE_WAIT);
                let end = now + wait + SERVICE_TIME;
                self.record_wait(target, wait, end);
                return (u64::from(attempt.sends), true, end);
            }
            now = now + SEND_FAILURE_DELAY;
            if self.policy == Policy::Remembered {
                self.record_wait(target, homes::UNREACHABLE_WAIT, now);
            }
            match self.next(now, &attempt) {
                Next::Retry { at } => now = at,
                Next::Refuse(_) => return (u64::from(attempt.sends), false, now),
            }
        }
    }

    fn next(&mut self, now: Time, attempt: &Attempt) -> Next {
        let draw = self.random.random();
        match self.policy {
            Policy::Remembered | Policy::Free => {
                retry::decide(now, Cut::HomeUnreachable, attempt, &mut self.budget, draw)
            }
            // A full queue gives the same verdict, but each retry uses the budget.
            Policy::Budget => retry::decide(now, Cut::QueueFull, attempt, &mut self.budget, draw),
            Policy::NoRetry => {
                let spent = Attempt { sends: retry::MAX_SENDS, ..*attempt };
                retry::decide(now, Cut::HomeUnreachable, &spent, &mut self.budget, draw)
            }
        }
    }

    /// Records the queue wait of a home as if the home had reported it.
    fn record_wait(&mut self, vm: Option<VmId>, wait: Span, reported_at: Time) {
        let home = self.homes.iter_mut().find(|home| Some(home.vm) == vm);
        if let Some(home) = home {
            home.wait = wait;
            home.reported_at = reported_at;
        }
    }

    /// Draws from the exponential distribution with the given mean.
    fn exponential(&mut self, mean: Span) -> Span {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Span((-uniform.ln() * mean.0 as f64) as u64)
    }
}
