//! The scenarios of the experiment, and the arrivals of their load.

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::rates::tokens::Limit;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::experiments::rates::setup::VMS;

/// The time before the first arrival, in which new owners wait until they may use their shares and
/// the buckets fill.
pub const WARM_UP: Span = Span::from_secs(10);
/// The time after which `Spread::Moving` goes on to the next VM.
const MOVE_INTERVAL: Span = Span::from_secs(1);

/// `Spread` is the distribution of requests over VMs.
#[derive(Clone, Copy, Debug)]
pub enum Spread {
    /// All at one VM.
    One,
    /// All at one VM, which changes every second.
    Moving,
    /// Each at a VM chosen at random.
    Random,
    /// This percentage at VMs chosen at random, the others at one VM.
    Mostly(u32),
}

/// `Target` is an upper bound on the refusals of the fractions policy.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// Bounds the wrongful refusals, as a proportion of the offered requests.
    Wrongful(f64),
    /// Bounds the refusals beyond those of an ideal bucket of the reachable fractions, as a
    /// proportion of the offered requests.
    RefusedBeyondIdeal(f64),
    /// No bound; the scenario is for information only.
    None,
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Target::Wrongful(limit) => write!(f, "wrongful < {:.1}%", limit * 100.0),
            Target::RefusedBeyondIdeal(limit) => {
                write!(f, "refused < ideal + {:.1}%", limit * 100.0)
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
    /// The limit of each workspace.
    pub limit: Limit,
    /// The offered load as a multiple of the rate.
    pub load: f64,
    /// The distribution of requests over VMs.
    pub spread: Spread,
    /// The number of VMs that are down from the end of the warm-up on.
    pub dead: usize,
    /// The length in seconds, without the warm-up.
    pub seconds: u64,
    /// The bound on the refusals.
    pub target: Target,
}

/// `Arrival` is a request at a VM.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The time of arrival.
    pub at: Time,
    /// The VM at which it arrives.
    pub vm: usize,
}

const MEDIUM: Limit = Limit { rate: 100, burst: 20 };
const SMALL: Limit = Limit { rate: 2, burst: 4 };
const LARGE: Limit = Limit { rate: 1_000, burst: 200 };

const BASE: Scenario = Scenario {
    name: "",
    limit: MEDIUM,
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
    /// Draws the arrivals of one workspace from a Poisson process, in the order of time.
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

    /// Returns `true` if the VM stays alive during the whole run. The last `dead` VMs do not.
    pub fn is_alive(&self, vm: usize) -> bool {
        vm < VMS - self.dead
    }

    fn vm_at(&self, at: Time, rng: &mut ChaCha8Rng) -> usize {
        let alive = VMS - self.dead;
        match self.spread {
            Spread::One => 0,
            Spread::Moving => (at.0 / MOVE_INTERVAL.0) as usize % alive,
            Spread::Random => rng.random_range(0..alive),
            Spread::Mostly(percent) if rng.random_ratio(percent, 100) => rng.random_range(0..alive),
            Spread::Mostly(_) => 0,
        }
    }
}
