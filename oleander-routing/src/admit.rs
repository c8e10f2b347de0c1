//! Admission of a request: its route, its key and the workspace that it runs for.

use oleander_config::model::Audience;
use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_config::model::Route;
use oleander_config::model::Workspace;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use subtle::Choice;
use subtle::ConstantTimeEq as _;

/// `Currency` is whether this VM may rely on its configuration for keyed requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Currency {
    /// The VM knows that its configuration is the last accepted one.
    Current,
    /// A key may have been withdrawn without this VM knowing.
    NotCurrent,
}

/// `Admitted` is a request that may run, with what is decided by its route.
#[derive(Clone, Copy, Debug)]
pub struct Admitted<'a> {
    /// The workspace that the request runs for and that is charged.
    pub workspace: WorkspaceId,
    /// The route.
    pub route: &'a Route,
    /// The database of the route.
    pub database: DatabaseId,
}

/// Decides at the entry VM whether a request may run, and for which workspace.
///
/// `key` is the hash of the key that came with the request. On a route open to
/// all it is ignored, so that the answer says nothing about the key.
///
/// # Errors
///
/// Refuses, not run, a request without a route, without a valid key where one is
/// needed, or outside the route's audience; and keyed requests while the VM is not current.
pub fn admit<'a>(
    snapshot: &'a Snapshot,
    currency: Currency,
    matcher: &Matcher,
    key: Option<&KeyHash>,
) -> Result<Admitted<'a>, Refusal> {
    let Some(route) = snapshot.route(matcher) else {
        return Err(Refusal::not_run(RefusalCode::UnknownRoute, "no route takes this request"));
    };
    let database = DatabaseId::from_name(&route.database);
    if let Audience::Open(name) = &route.audience {
        return Ok(Admitted { workspace: WorkspaceId::from_name(name), route, database });
    }
    let workspace = keyed_workspace(snapshot, currency, key)?;
    check_audience(&route.audience, workspace)?;
    Ok(Admitted { workspace: WorkspaceId::from_name(&workspace.name), route, database })
}

/// Checks a forwarded request again at the home, right before it is sent to an upstream.
///
/// # Errors
///
/// Refuses, not run, a request whose key no longer belongs to `workspace`, or
/// whose workspace is gone.
pub fn recheck(
    snapshot: &Snapshot,
    currency: Currency,
    workspace: WorkspaceId,
    key: Option<&KeyHash>,
) -> Result<(), Refusal> {
    if key.is_none() {
        // An open route charged this workspace; the entry VM has checked the route.
        return snapshot.workspace(workspace).map(|_| ()).ok_or_else(unknown_workspace);
    }
    let holder = keyed_workspace(snapshot, currency, key)?;
    if WorkspaceId::from_name(&holder.name) == workspace { Ok(()) } else { Err(key_rejected()) }
}

fn keyed_workspace<'a>(
    snapshot: &'a Snapshot,
    currency: Currency,
    key: Option<&KeyHash>,
) -> Result<&'a Workspace, Refusal> {
    let Some(key) = key else {
        return Err(Refusal::not_run(RefusalCode::KeyMissing, "the route needs a key"));
    };
    if currency == Currency::NotCurrent {
        let detail = "this VM cannot tell whether the key is still valid";
        return Err(Refusal::not_run(RefusalCode::NotCurrent, detail));
    }
    let workspace = snapshot.workspace_of_key(key).map(|idx| &snapshot.workspaces[idx]);
    workspace.filter(|workspace| holds_key(workspace, key)).ok_or_else(key_rejected)
}

/// Returns `true` if the workspace holds the key; looks at all bytes of all its keys.
///
/// The look-up by hash before this may end early, which tells a caller at most
/// how a SHA-256 begins. Nobody can choose a key by the digest that it will
/// have, so that does not lead towards a valid key.
fn holds_key(workspace: &Workspace, key: &KeyHash) -> bool {
    let found = workspace
        .keys
        .iter()
        .fold(Choice::from(0), |found, held| found | held.hash.0.ct_eq(&key.0));
    found.into()
}

fn check_audience(audience: &Audience, workspace: &Workspace) -> Result<(), Refusal> {
    let allowed = match audience {
        Audience::Open(_) | Audience::Keyed => true,
        Audience::Only(names) => names.contains(&workspace.name),
    };
    if allowed {
        return Ok(());
    }
    Err(Refusal::not_run(RefusalCode::RouteForbidden, "the workspace may not use this route"))
}

fn key_rejected() -> Refusal {
    Refusal::not_run(RefusalCode::KeyRejected, "the key is unknown or withdrawn")
}

fn unknown_workspace() -> Refusal {
    Refusal::not_run(RefusalCode::RouteForbidden, "the workspace is not configured any more")
}
