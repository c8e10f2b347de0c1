//! The fault scenarios, and the evaluation of a run.

use oleander_config::model::Acknowledge;
use oleander_core::events::Event;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::options::Options;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use strum::Display;
use strum::EnumIter;

use crate::experiments::failover::network::INSTANCES;
use crate::experiments::failover::simulation::Simulation;
use crate::experiments::failover::simulation::setup::Fault;
use crate::experiments::failover::simulation::setup::InjectedBug;
use crate::experiments::failover::simulation::setup::SimulationOptions;

/// The time before the first fault, in which both homes discover the primary.
const WARM_UP: Span = Span::from_secs(3);

/// The time from the fault until `Fault::RestoreAll`.
const FAULT_DURATION: Span = Span::from_secs(6);

/// The time from `Fault::RestoreAll` until the history is checked.
const RECOVERY_TIME: Span = Span::from_secs(5);

/// `Scenario` is a sequence of faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// The primary stops.
    PrimaryLost,
    /// The primary stops, and one replica begins to lag by 500 ms at the same time.
    ReplicaBehind,
    /// The primary's zone fails, and with it the first home.
    ZoneLost,
    /// The primary stops and returns after one second.
    PrimaryReturns,
    /// The primary does not answer for half a second.
    ShortPause,
    /// The link from the first home to the primary fails; the other VMs still reach the primary.
    BadLink,
    /// The primary stops, and 2% of all messages are lost.
    LossyNetwork,
}

impl Scenario {
    /// Returns `true` if the scenario requires a new primary.
    pub fn needs_promotion(self) -> bool {
        !matches!(self, Scenario::BadLink | Scenario::ShortPause)
    }
}

/// `Outcome` is the result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The time from the fault to the first acknowledgement of a write that was sent after it;
    /// `None` if there was none.
    pub gap: Option<Span>,
    /// The number of acknowledged writes that the final history lacks.
    pub lost: u64,
    /// The number of writes that the final history contains more than once.
    pub doubled: u64,
    /// The number of promotions that took effect.
    pub promotions: usize,
    /// The number of promotions that were abandoned.
    pub abandoned: usize,
    /// The time from the first attempt to the acknowledgement, of each acknowledged write.
    pub latencies: Vec<Span>,
    /// The number of writes sent.
    pub sent: usize,
}

/// Runs one scenario.
pub fn run(scenario: Scenario, setup: SimulationOptions, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut setup = setup;
    if scenario == Scenario::LossyNetwork {
        setup.loss = 0.02;
    }
    let mut simulation = Simulation::new(setup, seed);
    // A random offset, so that the fault occurs at any phase of the pings.
    let fault_at = Time(WARM_UP.0) + Span(random.random_range(0..1_000_000));
    for (after, fault) in faults(scenario) {
        simulation.schedule_fault(fault_at + after, fault);
    }
    finish(simulation, fault_at, fault_at + FAULT_DURATION)
}

/// Runs a storm: a random sequence of 4 to 11 overlapping faults.
pub fn storm(setup: SimulationOptions, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5702);
    let mut simulation = Simulation::new(setup, seed);
    let begin = Time(WARM_UP.0);
    let mut at = begin;
    for _ in 0..random.random_range(4..12) {
        at = at + Span(random.random_range(0..3_000_000));
        simulation.schedule_fault(at, random_fault(&mut random));
    }
    finish(simulation, begin, at + Span::from_secs(3))
}

/// Returns options without loss of messages and without an injected bug.
pub fn setup(options: Options, acknowledge: Acknowledge, lag: Span) -> SimulationOptions {
    SimulationOptions { options, acknowledge, lag, loss: 0.0, bug: InjectedBug::None }
}

/// Returns the faults of a scenario, each with its offset from the first.
fn faults(scenario: Scenario) -> Vec<(Span, Fault)> {
    let now = Span::ZERO;
    match scenario {
        Scenario::PrimaryLost | Scenario::LossyNetwork => vec![(now, Fault::FailInstance(0))],
        Scenario::ReplicaBehind => {
            vec![(now, Fault::Lag(1, Span::from_millis(500))), (now, Fault::FailInstance(0))]
        }
        Scenario::ZoneLost => vec![(now, Fault::FailInstance(0)), (now, Fault::FailVm(0))],
        Scenario::PrimaryReturns => {
            vec![(now, Fault::FailInstance(0)), (Span::from_secs(1), Fault::RestoreInstance(0))]
        }
        Scenario::ShortPause => {
            vec![(now, Fault::FailInstance(0)), (Span::from_millis(500), Fault::RestoreInstance(0))]
        }
        Scenario::BadLink => vec![(now, Fault::FailLink(0, 0))],
    }
}

fn random_fault(random: &mut ChaCha8Rng) -> Fault {
    let ordinal = random.random_range(0..INSTANCES);
    let vm = random.random_range(0..2);
    match random.random_range(0..12) {
        0..3 => Fault::FailPrimary,
        3 => Fault::FailInstance(ordinal),
        4..8 => Fault::RestoreInstance(ordinal),
        8 => Fault::FailLink(vm, ordinal),
        9 => Fault::RestoreLink(vm, ordinal),
        10 => Fault::Lag(ordinal, Span::from_millis(random.random_range(0..800))),
        _ => [Fault::FailVm(vm), Fault::RestoreVm(vm)][random.random_range(0..2)],
    }
}

/// Restores the whole fleet at `restored_at`, runs until it has recovered, and evaluates the run.
fn finish(mut simulation: Simulation, fault_at: Time, restored_at: Time) -> Outcome {
    simulation.schedule_fault(restored_at, Fault::RestoreAll);
    simulation.run_until(restored_at + RECOVERY_TIME);
    let events =
        |event| simulation.log.iter().filter(|logged| logged.record.event == event).count();
    let mut outcome = Outcome {
        promotions: events(Event::PrimaryPromoted),
        abandoned: events(Event::PromotionAbandoned),
        sent: simulation.writes.len(),
        ..Outcome::default()
    };
    outcome.gap = first_acknowledged(&simulation, fault_at).map(|at| at.since(fault_at));
    let history = simulation.history();
    for (number, write) in simulation.writes.iter().enumerate() {
        let count = history.get(&(number as u64)).copied().unwrap_or(0);
        if write.acknowledged.is_some() && count == 0 {
            outcome.lost += 1;
        }
        if 1 < count {
            outcome.doubled += 1;
        }
        outcome.latencies.extend(write.acknowledged.map(|at| at.since(write.sent)));
    }
    outcome
}

fn first_acknowledged(simulation: &Simulation, since: Time) -> Option<Time> {
    let after = simulation.writes.iter().filter(|write| since <= write.sent);
    after.filter_map(|write| write.acknowledged).min()
}
