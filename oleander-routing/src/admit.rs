//! Admission control: resolves a request's route, API key and workspace.

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

/// `Currency` states whether this VM's configuration is recent enough to check keys against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Currency {
    /// The configuration is known to be the last accepted revision.
    Current,
    /// The configuration may be outdated: a key may have been withdrawn in a newer revision.
    NotCurrent,
}

/// `Admitted` is the result of a successful admission.
#[derive(Clone, Copy, Debug)]
pub struct Admitted<'a> {
    /// The workspace that the request runs for and is charged to.
    pub workspace: WorkspaceId,
    /// The matching route of the snapshot.
    pub route: &'a Route,
    /// The identifier of the route's database.
    pub database: DatabaseId,
}

/// Decides on the entry VM whether a request may run, and for which workspace.
///
/// `key` is the hash of the key sent with the request. An open route ignores it, so that the
/// response does not reveal whether the key is valid.
///
/// # Errors
///
/// Returns a refusal with verdict `NotRun` if no route matches, if the route needs a key and the
/// key is missing or invalid, if the workspace is not in the route's audience, or if the route
/// needs a key and `currency` is `NotCurrent`.
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

/// Repeats the key check on the home, immediately before the request is sent to an upstream.
///
/// # Errors
///
/// Returns a refusal with verdict `NotRun` if the key no longer belongs to `workspace`, if the
/// workspace is no longer configured, or if a key is given and `currency` is `NotCurrent`.
pub fn recheck(
    snapshot: &Snapshot,
    currency: Currency,
    workspace: WorkspaceId,
    key: Option<&KeyHash>,
) -> Result<(), Refusal> {
    if key.is_none() {
        // The request came over an open route, which the entry VM has checked.
        return snapshot.workspace(workspace).map(|_| ()).ok_or_else(unknown_workspace);
    }
    let holder = keyed_workspace(snapshot, currency, key)?;
    if WorkspaceId::from_name(&holder.name) == workspace { Ok(()) } else { Err(key_rejected()) }
}

/// Returns the workspace that holds the key, or the refusal of a missing or invalid key.
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

/// Returns `true` if the workspace holds the key. Compares all bytes of all its keys, so that the
/// time does not depend on the key.
///
/// The preceding hash map lookup is not constant-time. Its timing leaks at most a prefix of a
/// SHA-256 digest, which does not help to find a valid key because nobody can construct a key
/// with a given digest.
fn holds_key(workspace: &Workspace, key: &KeyHash) -> bool {
    let found = workspace
        .keys
        .iter()
        .fold(Choice::from(0), |found, granted| found | granted.hash.0.ct_eq(&key.0));
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
