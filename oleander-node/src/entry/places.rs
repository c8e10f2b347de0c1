//! Applies the allowed regions of a request at the entry VM: which homes may receive it, and the
//! refusal of a request that no place may run.

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::places::Regions;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_routing::places;
use smallvec::SmallVec;

use super::forward::RequiredRole;
use crate::fleet::Fleet;

/// Returns `true` if `vm` may receive a request that this VM forwards.
pub fn allows_home(fleet: &Fleet, regions: &Regions, vm: VmId) -> bool {
    if *regions == Regions::All {
        return true;
    }
    let view = fleet.view();
    let place = view.roster.member(vm).map(|member| &member.place);
    places::allows_vm(regions, fleet.vm, vm, place)
}

/// Returns the homes that may receive a request, in the order given. If there is none, this VM runs
/// the request itself.
pub fn allowed_homes(
    fleet: &Fleet,
    regions: &Regions,
    mut homes: SmallVec<[VmId; 4]>,
) -> SmallVec<[VmId; 4]> {
    if *regions == Regions::All {
        return homes;
    }
    homes.retain(|home| allows_home(fleet, regions, *home));
    if homes.is_empty() {
        homes.push(fleet.vm);
    }
    homes
}

/// Returns the refusal of a request whose database has instances that could run it, but none of
/// them in an allowed region; `None` for any other request.
///
/// While the primary is unknown, any instance may become the primary.
pub fn region_refusal(
    fleet: &Fleet,
    database: DatabaseId,
    role: RequiredRole,
    primary: Option<InstanceKey>,
    regions: &Regions,
) -> Option<Refusal> {
    if *regions == Regions::All {
        return None;
    }
    let view = fleet.view();
    let is_able = |key| match (role, primary) {
        (RequiredRole::Primary, Some(primary)) => key == primary,
        _ => true,
    };
    let mut able = view.instances_of(database).filter(|instance| is_able(instance.key)).peekable();
    able.peek()?;
    if able.any(|instance| places::allows_instance(regions, &instance.place)) {
        return None;
    }
    let detail = "no instance in an allowed region";
    Some(Refusal::not_run(RefusalCode::UpstreamUnavailable, detail))
}
