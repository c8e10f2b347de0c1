//! Properties of failover over random sequences of faults.

use oleander_config::model::Acknowledge;
use oleander_core::time::Span;
use oleander_failover::options::Options;
use oleander_load::experiments::failover::scenarios;
use oleander_load::experiments::failover::scenarios::Scenario;
use oleander_load::experiments::failover::simulation::setup::InjectedBug;
use oleander_load::experiments::failover::simulation::setup::SimulationOptions;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use rstest::rstest;

const SEED: u64 = 20;
/// The number of random storms, and of seeds that are tried for a planted fault.
const CASES: u32 = 24;

fn setup(lag: u64, loss: f64, bug: InjectedBug) -> SimulationOptions {
    let lag = Span::from_millis(lag);
    let usual = scenarios::setup(Options::default(), Acknowledge::Replicated, lag);
    SimulationOptions { loss, bug, ..usual }
}

#[test]
fn storms_lose_and_double_no_acknowledged_write() {
    println!("seed {SEED}");
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let inputs = (proptest::num::u64::ANY, 0u64..300, 0.0f64..0.05);
    let result = TestRunner::new(config).run(&inputs, |(seed, lag, loss)| {
        let outcome = scenarios::storm(setup(lag, loss, InjectedBug::None), seed);
        proptest::prop_assert_eq!((outcome.lost, outcome.doubled), (0, 0));
        Ok(())
    });
    result.unwrap();
}

/// `Damage` is a planted fault with the damage that it must cause in a storm.
struct Damage {
    fault: InjectedBug,
    /// Returns `true` if the numbers of lost and doubled writes show the damage.
    found: fn(u64, u64) -> bool,
}

#[rstest]
#[case::early_acknowledgement(Damage { fault: InjectedBug::EarlyAck, found: |lost, _| 0 < lost })]
#[case::blind_retry(Damage { fault: InjectedBug::BlindRetry, found: |_, doubled| 0 < doubled })]
fn planted_fault_is_caught(#[case] damage: Damage) {
    let caught = (0..CASES.into()).any(|seed| {
        let outcome = scenarios::storm(setup(100, 0.02, damage.fault), seed);
        (damage.found)(outcome.lost, outcome.doubled)
    });
    assert!(caught);
}

#[test]
fn bad_link_of_one_vm_promotes_nobody() {
    let outcome = scenarios::run(Scenario::BadLink, setup(5, 0.0, InjectedBug::None), 1);
    assert_eq!(outcome.promotions, 0);
}
