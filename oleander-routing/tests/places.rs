//! Tests of the regions in which a request may run.

use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::places::Regions;
use oleander_routing::places;
use rstest::rstest;

const ENTRY: VmId = VmId(1);
const OTHER: VmId = VmId(2);

/// `RegionCase` is the regions that a route and a workspace name, the region of an instance or a
/// home VM, and whether it may run the request.
struct RegionCase {
    route: &'static [&'static str],
    workspace: &'static [&'static str],
    region: &'static str,
    allowed: bool,
}

/// Guards against data that leaves the regions that a route or a workspace allows, and against
/// requests that are refused although nothing restricts them.
#[rstest]
#[case::no_list(RegionCase { route: &[], workspace: &[], region: "coast", allowed: true })]
#[case::no_list_unknown_region(RegionCase { route: &[], workspace: &[], region: "", allowed: true })]
#[case::route(RegionCase { route: &["coast"], workspace: &[], region: "coast", allowed: true })]
#[case::not_route(RegionCase { route: &["coast"], workspace: &[], region: "hills", allowed: false })]
#[case::workspace(RegionCase { route: &[], workspace: &["hills"], region: "hills", allowed: true })]
#[case::not_workspace(RegionCase {
    route: &[],
    workspace: &["hills"],
    region: "coast",
    allowed: false,
})]
#[case::both(RegionCase {
    route: &["coast", "hills"],
    workspace: &["hills", "delta"],
    region: "hills",
    allowed: true,
})]
#[case::only_route(RegionCase {
    route: &["coast", "hills"],
    workspace: &["hills", "delta"],
    region: "coast",
    allowed: false,
})]
#[case::empty_intersection(RegionCase {
    route: &["coast"],
    workspace: &["delta"],
    region: "coast",
    allowed: false,
})]
#[case::unknown_name(RegionCase {
    route: &["nowhere"],
    workspace: &[],
    region: "coast",
    allowed: false,
})]
#[case::place_without_region(RegionCase {
    route: &["coast", ""],
    workspace: &[],
    region: "",
    allowed: false,
})]
fn a_request_runs_only_in_allowed_regions(#[case] case: RegionCase) {
    let names = |list: &[&str]| -> Vec<String> { list.iter().map(|&name| name.into()).collect() };
    let regions = places::allowed_regions(&names(case.route), &names(case.workspace));
    let place = Place { region: case.region.to_owned(), zone: "zone".to_owned() };
    assert_eq!(places::allows_instance(&regions, &place), case.allowed);
    assert_eq!(places::allows_vm(&regions, ENTRY, OTHER, Some(&place)), case.allowed);
    assert!(places::allows_vm(&regions, ENTRY, ENTRY, Some(&place)), "the entry VM has the body");
    assert_eq!(places::allows_vm(&regions, ENTRY, OTHER, None), regions == Regions::All);
}
