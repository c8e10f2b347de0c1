//! Under random faults no share is used by two VMs at once, and the fleet recovers afterwards.

mod world;

use oleander_core::ids::ShareId;
use oleander_core::time::Span;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;

use world::SHARES;
use world::World;

/// The seed from which the seeds of all runs are generated.
const SEED: u64 = 7;

/// The number of runs unless the environment variable `OWNERSHIP_RUNS` sets another.
const RUNS: u32 = 16;

/// The time during which faults occur in a run. It is shorter than `NodeOptions::unlisted`, after
/// which a dropped VM is taken to have stopped, because dropped VMs keep running in this test.
const FAULT_TIME: Span = Span::from_secs(60);

/// The time within which the fleet must recover; longer than `NodeOptions::unlisted`.
const RECOVERY_TIME: Span = Span::from_secs(90);

#[test]
fn no_share_is_used_twice_and_all_are_used_after_recovery() {
    let runs = std::env::var("OWNERSHIP_RUNS").ok().and_then(|runs| runs.parse().ok());
    println!("seed {SEED}");
    let config = Config {
        cases: runs.unwrap_or(RUNS),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&(proptest::prelude::any::<u64>(), 2_usize..7), |(seed, count)| {
        let mut world = World::new(seed, count);
        let doubled = doubled_uses(&mut world, FAULT_TIME);
        if doubled != 0 {
            return Err(TestCaseError::fail(format!(
                "a share was in use twice after {doubled} events"
            )));
        }
        world.heal();
        let doubled = doubled_uses(&mut world, RECOVERY_TIME);
        let unused = (0..SHARES).filter(|share| world.users(ShareId(*share)).len() != 1).count();
        if (doubled, unused) != (0, 0) {
            let message = format!("after recovery: {doubled} doubled uses, {unused} shares unused");
            return Err(TestCaseError::fail(message));
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn use_by_an_owner_that_does_not_wait_is_detected() {
    let mut runs = (0..64).map(|seed| {
        let mut world = World::new(seed, 5);
        world.store.forgets_reclaimed = true;
        doubled_uses(&mut world, FAULT_TIME)
    });
    assert!(runs.any(|doubled| doubled != 0), "the injected fault was not detected");
}

/// Counts the events after which some share is in use on two VMs.
fn doubled_uses(world: &mut World, span: Span) -> u64 {
    let mut doubled = 0;
    world.run(span, |world| {
        doubled += u64::from((0..SHARES).any(|share| 1 < world.users(ShareId(share)).len()));
    });
    doubled
}
