//! Patches between texts: round trip, and rejection of patches that do not fit.

use oleander_membership::head::BodyHash;
use oleander_membership::patch::Patch;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use rstest::rstest;

/// The seed of the generated texts.
const SEED: u64 = 3;

#[test]
fn patch_reconstructs_the_text() {
    println!("seed {SEED}");
    let config =
        Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() };
    // A small alphabet with multi-byte characters, so that the texts share prefixes and suffixes.
    let text = "[aé€b]{0,12}";
    let outcome =
        TestRunner::new(config).run(&(text, text, any::<bool>()), |(base, text, same)| {
            let text = if same { base.clone() } else { text };
            let hash = BodyHash::of(&base);
            let patch = Patch::between(&base, hash, &text);
            assert_eq!(patch.apply(|wanted| (wanted == hash).then_some(&base)), Some(text));
            Ok(())
        });
    outcome.unwrap();
}

#[rstest]
#[case::prefix_past_the_end(9, 0)]
#[case::suffix_past_the_end(0, 9)]
#[case::inside_a_character(1, 0)]
fn patch_that_does_not_fit_is_rejected(#[case] prefix: u32, #[case] suffix: u32) {
    let base = BodyHash::of("é");
    let patch = Patch::Middle { base, prefix, suffix, middle: String::new() };
    assert_eq!(patch.apply(|_| Some("é")), None);
}
