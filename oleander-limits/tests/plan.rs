//! Tests of dividing a token need among owners.

use oleander_core::places::Distance;
use oleander_limits::rates::plan;
use oleander_limits::rates::plan::Offer;
use oleander_limits::rates::tokens::Tokens;
use rstest::rstest;

/// `Case` is a need and the number of owners with full buckets to cover it.
struct Case {
    owners: usize,
    capacity: f64,
    need: f64,
}

#[rstest]
#[case::less_than_a_token_per_owner(Case { owners: 16, capacity: 0.25, need: 1.0 })]
#[case::whole_tokens(Case { owners: 12, capacity: 8.0, need: 3.0 })]
#[case::small_need_at_large_owners(Case { owners: 12, capacity: 87.5, need: 1.0 })]
#[case::need_spread_over_large_owners(Case { owners: 12, capacity: 87.5, need: 10.0 })]
#[case::large_need(Case { owners: 12, capacity: 87.5, need: 500.0 })]
fn a_need_covered_by_the_offers_is_requested_in_full(
    #[case] case: Case,
    #[values(Distance::Zone, Distance::Remote)] first: Distance,
) {
    let capacity = Tokens::from_f64(case.capacity);
    let need = Tokens::from_f64(case.need);
    let offers = (0..case.owners).map(|index| {
        let distance = if index == 0 { first } else { Distance::Remote };
        Offer::new(index, capacity, capacity, distance)
    });
    let parts = plan::divide(offers.collect(), need);
    let asked: Tokens = parts.iter().map(|part| part.amount).sum();
    assert_eq!(asked, need);
}
