//! The faults that strike the small fleet, and what is taken from a run.

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

/// The time before the fault strikes, so that everyone knows the primary.
const WARM_UP: Span = Span::from_secs(3);

/// The time after the fault until all is healed.
const TROUBLE: Span = Span::from_secs(6);

/// The time after healing until the history is checked.
const QUIET: Span = Span::from_secs(5);

/// `Scenario` is a kind of fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// The primary stops.
    PrimaryLost,
    /// The primary stops while one replica begins to lag by 500 ms.
    ReplicaBehind,
    /// The primary's zone is lost with the first home in it.
    ZoneLost,
    /// The primary stops and returns after a second.
    PrimaryReturns,
    /// The primary does not answer for half a second.
    ShortPause,
    /// The first home loses its link to the primary, which works for all others.
    BadLink,
    /// The primary stops while two messages in a hundred are lost.
    LossyNetwork,
}

impl Scenario {
    /// Returns `true` if the fault calls for a new primary.
    pub fn needs_promotion(self) -> bool {
        !matches!(self, Scenario::BadLink | Scenario::ShortPause)
    }
}

/// `Outcome` is what a run showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The time from the fault to the acknowledgement of the first write sent after it.
    pub gap: Option<Span>,
    /// The acknowledged writes that the final history lacks.
    pub lost: u64,
    /// The writes that the final history holds more than once.
    pub doubled: u64,
    /// The promotions that took effect.
    pub promotions: usize,
    /// The promotions that were given up.
    pub abandoned: usize,
    /// The times from sending to acknowledgement.
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
    // The fault strikes at any phase of the pings.
    let fault_at = Time(WARM_UP.0) + Span(random.random_range(0..1_000_000));
    for (after, fault) in plan(scenario) {
        simulation.strike(fault_at + after, fault);
    }
    finish(simulation, fault_at, fault_at + TROUBLE)
}

/// Runs a random sequence of overlapping faults.
pub fn storm(setup: SimulationOptions, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5702);
    let mut simulation = Simulation::new(setup, seed);
    let begin = Time(WARM_UP.0);
    let mut at = begin;
    for _ in 0..random.random_range(4..12) {
        at = at + Span(random.random_range(0..3_000_000));
        simulation.strike(at, any_fault(&mut random));
    }
    finish(simulation, begin, at + Span::from_secs(3))
}

/// Makes the usual set-up.
pub fn setup(options: Options, acknowledge: Acknowledge, lag: Span) -> SimulationOptions {
    SimulationOptions { options, acknowledge, lag, loss: 0.0, bug: InjectedBug::None }
}

fn plan(scenario: Scenario) -> Vec<(Span, Fault)> {
    let now = Span::ZERO;
    match scenario {
        Scenario::PrimaryLost | Scenario::LossyNetwork => vec![(now, Fault::LoseInstance(0))],
        Scenario::ReplicaBehind => {
            vec![(now, Fault::Lag(1, Span::from_millis(500))), (now, Fault::LoseInstance(0))]
        }
        Scenario::ZoneLost => vec![(now, Fault::LoseInstance(0)), (now, Fault::LoseVm(0))],
        Scenario::PrimaryReturns => {
            vec![(now, Fault::LoseInstance(0)), (Span::from_secs(1), Fault::ReturnInstance(0))]
        }
        Scenario::ShortPause => {
            vec![(now, Fault::LoseInstance(0)), (Span::from_millis(500), Fault::ReturnInstance(0))]
        }
        Scenario::BadLink => vec![(now, Fault::LoseLine(0, 0))],
    }
}

fn any_fault(random: &mut ChaCha8Rng) -> Fault {
    let ordinal = random.random_range(0..INSTANCES);
    let vm = random.random_range(0..2);
    match random.random_range(0..12) {
        0..3 => Fault::LosePrimary,
        3 => Fault::LoseInstance(ordinal),
        4..8 => Fault::ReturnInstance(ordinal),
        8 => Fault::LoseLine(vm, ordinal),
        9 => Fault::ReturnLine(vm, ordinal),
        10 => Fault::Lag(ordinal, Span::from_millis(random.random_range(0..800))),
        _ => [Fault::LoseVm(vm), Fault::ReturnVm(vm)][random.random_range(0..2)],
    }
}

fn finish(mut simulation: Simulation, fault_at: Time, healed: Time) -> Outcome {
    simulation.strike(healed, Fault::HealAll);
    simulation.run_until(healed + QUIET);
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
