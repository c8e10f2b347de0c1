//! Two of the pairs of faults on a running fleet; `oleander-load faults` runs all pairs.

use oleander_load::runs::faults;
use oleander_load::runs::faults::Fault;
use rstest::rstest;

const SEED: u64 = 1;

#[rstest]
#[case::primary_and_store(Fault::PrimaryCut, Fault::StoreDown)]
#[case::vm_and_silence(Fault::VmKilled, Fault::ConnectionsSilent)]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_during_a_pair_of_faults(#[case] first: Fault, #[case] second: Fault) {
    println!("seed {SEED}");
    let report = faults::run(Some((first, second)), SEED).await.expect("the fleet comes up");
    println!("{:?}", report.tables);
    assert_eq!(report.missed, Vec::<String>::new());
}
