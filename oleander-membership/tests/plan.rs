//! The initial assignment of shares to the VMs of a fleet.

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
    let member = |index| ShareOwner {
        vm: VmId::from_name(&format!("vm-{index}")),
        incarnation: Incarnation(1),
    };
    (0..count).map(member).collect()
}

/// Guards against both homes of a database being on the same VM. Each database hashes to one even
/// and one odd share, so all pairs of an even and an odd share are equally likely.
#[rstest]
#[case::two(2)]
#[case::seven(7)]
#[case::nine(9)]
#[case::twenty(20)]
fn both_homes_of_a_database_are_rarely_on_one_vm(#[case] count: u64) {
    let mut map = ShareMap { owners: vec![None; usize::from(SHARES)], ..ShareMap::default() };
    plan::assign_free(&mut map, &members(count), usize::from(SHARES));
    let of = |parity| (0..SHARES).map(ShareId).filter(move |share| Parity::of(*share) == parity);
    let pairs = of(Parity::Even).flat_map(|even| of(Parity::Odd).map(move |odd| (even, odd)));
    let met = pairs.filter(|(even, odd)| map.owner(*even) == map.owner(*odd)).count();
    // Without regard to parity, one in `count` pairs would be on the same VM.
    let by_chance = usize::from(SHARES / 2) * usize::from(SHARES / 2) / count as usize;
    assert!(met <= by_chance / 2, "{met} pairs meet, {by_chance} would by chance");
}
