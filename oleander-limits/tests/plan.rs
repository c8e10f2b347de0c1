//! How a need is divided over the owners.

use oleander_limits::rates::plan;
use oleander_limits::rates::plan::Offer;
use oleander_limits::rates::tokens::Tokens;
use rstest::rstest;

/// `Case` is a need before a number of owners that are all full.
struct Case {
    owners: usize,
    capacity: f64,
    need: f64,
}

#[rstest]
#[case::parts_of_a_token(Case { owners: 16, capacity: 0.25, need: 1.0 })]
#[case::whole_tokens(Case { owners: 12, capacity: 8.0, need: 3.0 })]
#[case::small_need_at_large_owners(Case { owners: 12, capacity: 87.5, need: 1.0 })]
#[case::need_spread_over_large_owners(Case { owners: 12, capacity: 87.5, need: 10.0 })]
#[case::large_need(Case { owners: 12, capacity: 87.5, need: 500.0 })]
fn need_within_the_offers_is_asked_for_in_full(#[case] case: Case) {
    let capacity = Tokens::from_f64(case.capacity);
    let need = Tokens::from_f64(case.need);
    let offers = (0..case.owners).map(|at| Offer::new(at, capacity, capacity));
    let parts = plan::divide(offers.collect(), need);
    let asked: Tokens = parts.iter().map(|part| part.amount).sum();
    assert_eq!(asked, need);
}
