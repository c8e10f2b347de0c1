//! Who may send an operation, and what it may use.

use std::sync::Arc;

use oleander_config::model::Audience;
use oleander_config::model::Consistency;
use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_config::model::Route;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

use crate::fleet::Fleet;

/// The time after which a caller is asked to come back to a VM that is not current.
const CURRENCY_RETRY: Span = Span::from_millis(500);

/// `Admitted` is an operation that the configuration allows.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The route.
    pub route: Arc<Route>,
    /// The database.
    pub database: DatabaseId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The workspace's name.
    pub name: String,
    /// The time for which a transaction may rest, where the configuration sets one.
    pub tx_idle: Option<Span>,
    /// `true` if the route is open to all, so that no key is checked.
    pub open: bool,
}

/// Checks an operation of a session against the configuration in force.
///
/// # Errors
/// Fails "not run" if no route has the name, the key is unknown, the workspace may not use the
/// route, or the VM cannot know whether the key still holds.
pub fn admit(fleet: &Fleet, name: &str, key: Option<&KeyHash>) -> Result<Admitted, Refusal> {
    let view = fleet.view();
    let snapshot = &view.snapshot;
    let Some(route) = snapshot.route(&Matcher::Session(name.to_owned())) else {
        if !fleet.is_current() {
            return Err(not_current());
        }
        return Err(Refusal::not_run(RefusalCode::UnknownRoute, "no route has this name"));
    };
    let (workspace, open) = match &route.audience {
        Audience::Open(workspace) => (workspace.clone(), true),
        Audience::Keyed => (keyed(fleet, snapshot, key)?, false),
        Audience::Only(names) => {
            let workspace = keyed(fleet, snapshot, key)?;
            if !names.contains(&workspace) {
                let detail = "the workspace may not use the route";
                return Err(Refusal::not_run(RefusalCode::RouteForbidden, detail));
            }
            (workspace, false)
        }
    };
    Ok(Admitted {
        database: DatabaseId::from_name(&route.database),
        workspace: WorkspaceId::from_name(&workspace),
        name: workspace,
        tx_idle: snapshot.tx_idle,
        open,
        route: Arc::new(route.clone()),
    })
}

/// Returns `true` if a read of the route must see all commits.
pub fn needs_latest(route: &Route) -> bool {
    route.consistency == Consistency::Primary
}

fn keyed(fleet: &Fleet, snapshot: &Snapshot, key: Option<&KeyHash>) -> Result<String, Refusal> {
    if !fleet.is_current() {
        return Err(not_current());
    }
    let found = key.and_then(|key| snapshot.workspace_of_key(key));
    match found {
        Some(workspace) => Ok(snapshot.workspaces[workspace].name.clone()),
        None => Err(Refusal::not_run(RefusalCode::KeyRejected, "the key is not known")),
    }
}

fn not_current() -> Refusal {
    Refusal::not_run(RefusalCode::NotCurrent, "this VM has not heard from the store lately")
        .with_retry_after(CURRENCY_RETRY)
}
