//! The loads of the experiment.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::rates::tokens::Limit;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::experiments::rates::setup::VMS;

/// The time before the first arrival, in which new owners wait and buckets fill.
pub const WARM_UP: Span = Span::from_secs(10);
/// The time for which callers stay at one VM before they move.
const STAY: Span = Span::from_secs(1);

/// `Spread` says at which VM requests arrive.
#[derive(Clone, Copy, Debug)]
pub enum Spread {
    /// All at one VM.
    One,
    /// All at one VM, another each second.
    Moving,
    /// Each at a VM chosen at random.
    Random,
    /// Most at one VM, this part of a hundred at a VM chosen at random.
    Mostly(u32),
}

/// `Target` is the bound that the fractions have to keep.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// The wrongful refusals, as a part of what was offered.
    Wrongful(f64),
    /// The refusals beyond those of an ideal bucket of the reachable fractions, as a part of what was offered.
    RefusedBeyondIdeal(f64),
    /// The scenario is for information.
    None,
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Target::Wrongful(most) => write!(f, "wrongful < {:.1}%", most * 100.0),
            Target::RefusedBeyondIdeal(most) => {
                write!(f, "refused < ideal + {:.1}%", most * 100.0)
            }
            Target::None => f.write_str("-"),
        }
    }
}

/// `Scenario` is a limit and a load.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name in the table.
    pub name: &'static str,
    /// The limit of the workspace.
    pub limit: Limit,
    /// The offered load as a part of the rate.
    pub load: f64,
    /// Where requests arrive.
    pub spread: Spread,
    /// The VMs that are dead from the end of the warm-up.
    pub dead: usize,
    /// The length in seconds, without the warm-up.
    pub seconds: u64,
    /// The bound.
    pub target: Target,
}

/// `Arrival` is a request at a VM.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The time.
    pub at: Time,
    /// The VM.
    pub vm: usize,
}

const MIDDLE: Limit = Limit { rate: 100, burst: 20 };
const SMALL: Limit = Limit { rate: 2, burst: 4 };
const LARGE: Limit = Limit { rate: 1_000, burst: 200 };

const BASE: Scenario = Scenario {
    name: "",
    limit: MIDDLE,
    load: 0.8,
    spread: Spread::One,
    dead: 0,
    seconds: 200,
    target: Target::None,
};

const TWO_DEAD: Target = Target::RefusedBeyondIdeal(0.003);

/// The scenarios, in the order of the table.
pub const SCENARIOS: &[Scenario] = &[
    Scenario { name: "80% at one VM", target: Target::Wrongful(0.001), ..BASE },
    Scenario {
        name: "80% moving",
        spread: Spread::Moving,
        target: Target::Wrongful(0.003),
        ..BASE
    },
    Scenario { name: "95% at one VM", load: 0.95, target: Target::Wrongful(0.01), ..BASE },
    Scenario {
        name: "95% moving",
        load: 0.95,
        spread: Spread::Moving,
        target: Target::Wrongful(0.02),
        ..BASE
    },
    Scenario {
        name: "small, 50% at one VM",
        limit: SMALL,
        load: 0.5,
        seconds: 4_000,
        target: Target::Wrongful(0.02),
        ..BASE
    },
    Scenario {
        name: "small, 50% moving",
        limit: SMALL,
        load: 0.5,
        spread: Spread::Moving,
        seconds: 4_000,
        target: Target::Wrongful(0.02),
        ..BASE
    },
    Scenario { name: "80% two VMs dead", dead: 2, target: TWO_DEAD, ..BASE },
    Scenario {
        name: "80% two VMs dead, moving",
        dead: 2,
        spread: Spread::Moving,
        target: TWO_DEAD,
        ..BASE
    },
    Scenario { name: "80% at random VMs", spread: Spread::Random, ..BASE },
    Scenario { name: "80% mostly one VM", spread: Spread::Mostly(10), ..BASE },
    Scenario {
        name: "large, 80% at random",
        limit: LARGE,
        spread: Spread::Random,
        seconds: 40,
        ..BASE
    },
    Scenario { name: "ten times at one VM", load: 10.0, seconds: 40, ..BASE },
    Scenario {
        name: "ten times at random VMs",
        load: 10.0,
        spread: Spread::Random,
        seconds: 40,
        ..BASE
    },
];

impl Scenario {
    /// Draws Poisson arrivals.
    pub fn arrivals(&self, seed: u64, workspace: u64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + workspace);
        let mean = 1e6 / (f64::from(self.limit.rate) * self.load);
        let start = Time(0) + WARM_UP;
        let end = start + Span::from_secs(self.seconds);
        let mut arrivals = Vec::new();
        let mut at = start;
        loop {
            let gap = -mean * (1.0 - rng.random::<f64>()).ln();
            at = at + Span(gap as u64);
            if end <= at {
                return arrivals;
            }
            arrivals.push(Arrival { at, vm: self.vm_at(at, &mut rng) });
        }
    }

    /// Returns `true` if the VM lives throughout; the first VMs do.
    pub fn lives(&self, vm: usize) -> bool {
        vm < VMS - self.dead
    }

    fn vm_at(&self, at: Time, rng: &mut ChaCha8Rng) -> usize {
        let living = VMS - self.dead;
        match self.spread {
            Spread::One => 0,
            Spread::Moving => (at.0 / STAY.0) as usize % living,
            Spread::Random => rng.random_range(0..living),
            Spread::Mostly(percent) if rng.random_ratio(percent, 100) => {
                rng.random_range(0..living)
            }
            Spread::Mostly(_) => 0,
        }
    }
}
