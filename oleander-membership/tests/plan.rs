//! How the shares of a fleet are handed out.

use oleander_core::ids::Incarnation;
use oleander_core::ids::ShareId;
use oleander_core::ids::VmId;
use oleander_membership::plan;
use oleander_membership::plan::Parity;
use oleander_membership::shares::ShareMap;
use oleander_membership::shares::ShareOwner;
use rstest::rstest;

const SHARES: u16 = 64;

fn members(count: u64) -> Vec<ShareOwner> {
    let member =
        |at| ShareOwner { vm: VmId::from_name(&format!("vm-{at}")), incarnation: Incarnation(1) };
    (0..count).map(member).collect()
}

/// A database has one even and one odd share, so each pair of an even and an odd share counts
/// alike.
#[rstest]
#[case::two(2)]
#[case::seven(7)]
#[case::nine(9)]
#[case::twenty(20)]
fn even_and_odd_shares_seldom_meet_in_one_vm(#[case] count: u64) {
    let mut map = ShareMap { owners: vec![None; usize::from(SHARES)], ..ShareMap::default() };
    plan::assign_free(&mut map, &members(count), usize::from(SHARES));
    let of = |parity| (0..SHARES).map(ShareId).filter(move |share| Parity::of(*share) == parity);
    let pairs = of(Parity::Even).flat_map(|even| of(Parity::Odd).map(move |odd| (even, odd)));
    let met = pairs.filter(|(even, odd)| map.owner(*even) == map.owner(*odd)).count();
    // Shares handed out without regard to parity meet in one of `count` pairs.
    let blind = usize::from(SHARES / 2) * usize::from(SHARES / 2) / count as usize;
    assert!(met <= blind / 2, "{met} pairs meet, {blind} would by chance");
}
