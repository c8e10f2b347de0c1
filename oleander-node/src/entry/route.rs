//! Admission of operations by route and key.

use std::sync::Arc;

use oleander_config::model::Audience;
use oleander_config::model::Consistency;
use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_config::model::Route;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::places::Regions;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_routing::places;
use oleander_session::work::RateCharge;

use super::overload;
use crate::fleet::Fleet;

/// The `retry_after` of a refusal by a VM whose configuration is not current.
const NOT_CURRENT_RETRY_AFTER: Span = Span::from_millis(500);

/// `Admitted` is what the configuration says about an operation that it allows.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The route that the caller named.
    pub route: Arc<Route>,
    /// The database that the route leads to.
    pub database: DatabaseId,
    /// The workspace charged with the operation.
    pub workspace: WorkspaceId,
    /// The name of that workspace.
    pub name: String,
    /// The time for which a transaction may stay idle between statements; `None` if the
    /// configuration sets none.
    pub tx_idle: Option<Span>,
    /// `true` if the route is open to all callers, so that no key is checked.
    pub keyless: bool,
    /// The urgency; the same for all unless `NodeSettings::overload` is set.
    pub level: Level,
    /// The urgency among the requests of the same workspace, which share its rate.
    pub rate_level: Level,
}

impl Admitted {
    /// Returns what the operation takes from the rate of its workspace.
    pub fn charge(&self) -> RateCharge {
        RateCharge { cost: self.route.cost, level: self.rate_level }
    }
}

/// Checks an operation of a session against the configuration in force.
///
/// # Errors
/// Fails with verdict `NotRun` if no route has the name, the key is unknown, or the workspace may
/// not use the route. Fails with `NotCurrent` if the VM's configuration is too old to tell whether
/// the key is still valid or whether the route was added meanwhile.
pub fn admit(fleet: &Fleet, name: &str, key: Option<&KeyHash>) -> Result<Admitted, Refusal> {
    let view = fleet.view();
    let snapshot = &view.snapshot;
    let Some(route) = snapshot.route(&Matcher::Session(name.to_owned())) else {
        if !fleet.is_current() {
            return Err(not_current(fleet, Level::LAST));
        }
        return Err(Refusal::not_run(RefusalCode::UnknownRoute, "no route has this name"));
    };
    let (workspace, keyless) = match &route.audience {
        Audience::Open(workspace) => (workspace.clone(), true),
        Audience::Keyed => (workspace_of_caller(fleet, snapshot, route, key)?, false),
        Audience::Only(names) => {
            let workspace = workspace_of_caller(fleet, snapshot, route, key)?;
            if !names.contains(&workspace) {
                let detail = "the workspace may not use the route";
                return Err(Refusal::not_run(RefusalCode::RouteForbidden, detail));
            }
            (workspace, false)
        }
    };
    let id = WorkspaceId::from_name(&workspace);
    let (level, rate_level) = levels(fleet, snapshot, route, id);
    Ok(Admitted {
        database: DatabaseId::from_name(&route.database),
        workspace: id,
        level,
        rate_level,
        name: workspace,
        tx_idle: snapshot.tx_idle,
        keyless,
        route: Arc::new(route.clone()),
    })
}

/// Returns the regions in which a statement of an admitted operation may run, by the configuration in
/// force now: a transaction may have been admitted by an earlier one.
pub fn regions(fleet: &Fleet, name: &str, admitted: &Admitted) -> Regions {
    let view = fleet.view();
    let snapshot = &view.snapshot;
    let route = snapshot.route(&Matcher::Session(name.to_owned())).unwrap_or(&admitted.route);
    let workspace = snapshot.workspace(admitted.workspace);
    let named = workspace.map_or(&[][..], |workspace| &workspace.regions);
    places::allowed_regions(&route.regions, named)
}

/// Returns `true` if reads on the route must include all commits, which only the primary has.
pub fn needs_latest(route: &Route) -> bool {
    route.consistency == Consistency::Primary
}

/// Returns the level of an operation, and that among the requests of its workspace; the same for all
/// unless `NodeSettings::overload` is set.
fn levels(
    fleet: &Fleet,
    snapshot: &Snapshot,
    route: &Route,
    workspace: WorkspaceId,
) -> (Level, Level) {
    if !fleet.settings.overload {
        return Default::default();
    }
    (snapshot.level(route, workspace), snapshot.route_level(route))
}

/// Returns the name of the workspace that the key belongs to.
fn workspace_of_caller(
    fleet: &Fleet,
    snapshot: &Snapshot,
    route: &Route,
    key: Option<&KeyHash>,
) -> Result<String, Refusal> {
    let found = key.and_then(|key| snapshot.workspace_of_key(key));
    if !fleet.is_current() {
        // An old configuration suffices for the time after which the caller returns.
        let level = found.map_or(Level::LAST, |index| {
            let workspace = WorkspaceId::from_name(&snapshot.workspaces[index].name);
            levels(fleet, snapshot, route, workspace).0
        });
        return Err(not_current(fleet, level));
    }
    match found {
        Some(workspace) => Ok(snapshot.workspaces[workspace].name.clone()),
        None => Err(Refusal::not_run(RefusalCode::KeyRejected, "the key is not known")),
    }
}

fn not_current(fleet: &Fleet, level: Level) -> Refusal {
    let refusal =
        Refusal::not_run(RefusalCode::NotCurrent, "this VM has not heard from the store lately")
            .with_retry_after(NOT_CURRENT_RETRY_AFTER);
    overload::spread_return(fleet, level, refusal)
}
