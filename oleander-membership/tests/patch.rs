//! Tests of the differences between texts.

use oleander_membership::head::BodyHash;
use oleander_membership::patch::Patch;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use rstest::rstest;

/// The seed of the generated cases.
const SEED: u64 = 3;

#[test]
fn a_difference_gives_the_text_back() {
    println!("seed {SEED}");
    let config =
        Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() };
    // Few letters, some of several bytes, so that texts have much in common.
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
#[case::inside_a_letter(1, 0)]
fn a_difference_that_does_not_fit_is_refused(#[case] prefix: u32, #[case] suffix: u32) {
    let base = BodyHash::of("é");
    let patch = Patch::Middle { base, prefix, suffix, middle: String::new() };
    assert_eq!(patch.apply(|_| Some("é")), None);
}
