//! Admission of operations by route and key.

use std::sync::Arc;

use oleander_config::model::Audience;
use oleander_config::model::Consistency;
use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_config::model::Route;
use oleander_config::model::Workspace;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

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
    let level = level(fleet, route, snapshot.workspace(id));
    Ok(Admitted {
        database: DatabaseId::from_name(&route.database),
        workspace: id,
        level,
        name: workspace,
        tx_idle: snapshot.tx_idle,
        keyless,
        route: Arc::new(route.clone()),
    })
}

/// Returns `true` if reads on the route must include all commits, which only the primary has.
pub fn needs_latest(route: &Route) -> bool {
    route.consistency == Consistency::Primary
}

/// Returns the level of an operation; the same for all unless `NodeSettings::overload` is set.
fn level(fleet: &Fleet, route: &Route, workspace: Option<&Workspace>) -> Level {
    if !fleet.settings.overload {
        return Level::default();
    }
    Level::from_priorities(route.priority, workspace.map_or(0, |workspace| workspace.priority))
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
        let workspace = found.map(|index| &snapshot.workspaces[index]);
        return Err(not_current(fleet, level(fleet, route, workspace)));
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
