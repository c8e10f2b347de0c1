//! What the admission of operations costs and refuses if their callers are spread over a whole fleet.
//!
//! The pattern is a workspace of some requests a second whose callers use every VM: each VM sees a
//! fraction of a request a second, so that no VM can hold tokens for its own callers. Operations are
//! charged where they enter, or at the few homes where they run, which own the rate themselves.

mod support;

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::rates::ownership::ShareLayout;
use oleander_limits::rates::tokens::Limit;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::Fault;
use support::Fleet;
use support::Network;

/// The delay of a message between regions.
const DELAY: Span = Span::from_millis(20);

/// The time for which the load lasts.
const LOAD_TIME: Span = Span::from_secs(60);

/// `Load` is the requests of one workspace and the VMs that charge them.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// The requests per second; the limit allows 1.6 times as many.
    per_second: u32,
    /// The requests that arrive at each VM for each one at the last, in tenths.
    skew: u32,
}

/// `Outcome` is how often a load was refused and what its admission cost.
#[derive(Debug)]
struct Outcome {
    /// The messages that VMs sent to one another for each admitted request.
    calls_per_admission: f64,
    /// The part of the requests that was refused although one ideal bucket would have admitted it.
    wrongly_refused: f64,
}

/// Guards against messages for each admission and against refusals within the limit. The bounds are
/// the aims for a fleet at its usual load: 0.2 messages and 0.5%.
#[rstest]
#[case::even_callers(Load { per_second: 14, skew: 10 })]
#[case::uneven_callers(Load { per_second: 14, skew: 15 })]
#[case::large_workspace(Load { per_second: 100, skew: 15 })]
fn homes_that_own_the_rate_admit_without_messages(#[case] load: Load) {
    for seed in 1..=4 {
        let outcome = run(load, 3, ShareLayout::Regional(3), seed);
        println!("seed {seed}, {load:?}: {outcome:?}");
        assert!(outcome.calls_per_admission < 0.2, "seed {seed}: {outcome:?}");
        assert!(outcome.wrongly_refused < 0.005, "seed {seed}: {outcome:?}");
    }
}

/// Shows what charging at the entry VMs costs under the same load, so that the comparison stays
/// true if the limiter changes.
#[test]
fn entry_vms_ask_an_owner_for_nearly_each_admission() {
    let load = Load { per_second: 14, skew: 10 };
    let outcome = run(load, 61, ShareLayout::Hashed(3), 1);
    println!("{load:?}: {outcome:?}");
    assert!(0.5 < outcome.calls_per_admission, "{outcome:?}");
}

/// Sends a load with random gaps to the VMs of a fleet.
fn run(load: Load, vms: usize, layout: ShareLayout, seed: u64) -> Outcome {
    let limit = Limit { rate: load.per_second * 8 / 5, burst: load.per_second * 8 / 5 };
    let network = Network { delay: DELAY, max_delay: DELAY, loss_percent: 0, duplicate_percent: 0 };
    let mut fleet = Fleet::with_layout(vms, limit, network, Fault::None, seed, layout);
    // The buckets of a fleet that has just started fill up first.
    fleet.advance(Span::from_secs(2));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (started, calls) = (fleet.now, fleet.calls);
    let mut ideal = IdealBucket::new(limit, started);
    let (mut asked, mut refused_rightly) = (0_u32, 0_u64);
    while fleet.now.since(started) < LOAD_TIME {
        let gap = -rng.random::<f64>().max(f64::EPSILON).ln() / f64::from(load.per_second);
        fleet.advance(Span::from_micros((gap * 1e6) as u64));
        fleet.ask(vm_of(load.skew, vms, &mut rng), 1);
        asked += 1;
        refused_rightly += u64::from(!ideal.take(fleet.now));
    }
    fleet.advance(Span::from_secs(1));
    assert_eq!(fleet.violation, None);
    let wrongly = fleet.refused.saturating_sub(refused_rightly);
    Outcome {
        calls_per_admission: (fleet.calls - calls) as f64 / fleet.admitted as f64,
        wrongly_refused: wrongly as f64 / f64::from(asked),
    }
}

/// Draws the VM at which a request arrives: the first one gets `skew` tenths of the others.
fn vm_of(skew: u32, vms: usize, rng: &mut ChaCha8Rng) -> usize {
    let weights = skew as usize + 10 * (vms - 1);
    rng.random_range(0..weights).saturating_sub(skew as usize - 10) / 10
}

/// `IdealBucket` is the one bucket that a limiter without distance or faults would have.
struct IdealBucket {
    limit: Limit,
    level: f64,
    at: Time,
}

impl IdealBucket {
    fn new(limit: Limit, now: Time) -> Self {
        Self { limit, level: f64::from(limit.burst), at: now }
    }

    /// Takes a token if there is one.
    fn take(&mut self, now: Time) -> bool {
        let gained = now.since(self.at).as_secs_f64() * f64::from(self.limit.rate);
        self.level = (self.level + gained).min(f64::from(self.limit.burst));
        self.at = now;
        let admitted = 1.0 <= self.level;
        self.level -= f64::from(u8::from(admitted));
        admitted
    }
}
