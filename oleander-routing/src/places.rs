//! The regions in which a request may run, and which instances and VMs they allow.

use oleander_config::model::Consistency;
use oleander_config::model::Route;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::places::Regions;

/// Returns the regions in which a request may run, from those that its route and its workspace
/// name. An empty list allows all regions; if both name regions, both must allow one.
pub fn allowed_regions(route: &[String], workspace: &[String]) -> Regions {
    let names = match (route, workspace) {
        ([], []) => return Regions::All,
        ([], names) | (names, []) => names.to_vec(),
        _ => route.iter().filter(|name| workspace.contains(name)).cloned().collect(),
    };
    Regions::Only(names)
}

/// Returns `true` if an instance at `place` may run the request.
pub fn allows_instance(regions: &Regions, place: &Place) -> bool {
    regions.allows(&place.region)
}

/// Returns `true` if a VM may receive the body of the request: it is the entry VM, which has it
/// already, or its place is in an allowed region. `place` is `None` if the VM is unknown.
pub fn allows_vm(regions: &Regions, entry: VmId, vm: VmId, place: Option<&Place>) -> bool {
    let is_allowed = |place: &Place| regions.allows(&place.region);
    vm == entry || *regions == Regions::All || place.is_some_and(is_allowed)
}

/// Returns the number of a database's routes that need its primary and allow it to be in `region`.
///
/// A route needs the primary if its reads must include all commits or those of their own session.
/// The other routes serve reads that replicas answer as well.
pub fn routes_allowing_primary<'a>(
    routes: impl IntoIterator<Item = &'a Route>,
    database: &str,
    region: &str,
) -> u32 {
    let needs_primary = |route: &Route| {
        route.database == database
            && matches!(route.consistency, Consistency::Primary | Consistency::Session)
    };
    let allows = |route: &Route| allowed_regions(&route.regions, &[]).allows(region);
    routes.into_iter().filter(|route| needs_primary(route) && allows(route)).count() as u32
}
