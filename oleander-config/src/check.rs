//! Validation across items and sections: references, availability zones and costs.

use std::collections::HashMap;

use crate::fields::Located;
use crate::model::Audience;
use crate::model::Rate;
use crate::model::Route;
use crate::names::Names;
use crate::names::Scope;
use crate::parse::ParsedItems;
use crate::parse::Reference;
use crate::parse::Target;
use crate::problems::Problem;

/// Reports references to undefined names.
pub(crate) fn references(parsed: &ParsedItems, names: &Names, problems: &mut Vec<Problem>) {
    for Reference { target, name } in &parsed.references {
        let text = name.value.as_str();
        let reason = match target {
            Target::Workspace if !names.contains(Scope::Workspaces, text) => {
                format!("no workspace has the name {text}")
            }
            Target::Database if !names.contains(Scope::Databases, text) => {
                format!("no upstream has the name {text}")
            }
            Target::Kind(owners) => match missing_kind(owners, text, names) {
                Some(reason) => reason,
                None => continue,
            },
            _ => continue,
        };
        problems.push(name.location.problem(reason));
    }
}

/// Returns why a reference to a kind is invalid; `None` if each of the owners defines it, or any
/// workspace if there are no owners.
fn missing_kind(owners: &[String], kind: &str, names: &Names) -> Option<String> {
    if owners.is_empty() {
        let found = names.contains(Scope::AnyKind, kind);
        return (!found).then(|| format!("no workspace has a kind with the name {kind}"));
    }
    let owner =
        owners.iter().find(|owner| !names.contains(Scope::Kinds((*owner).clone()), kind))?;
    Some(format!("the workspace {owner} has no kind with the name {kind}"))
}

/// Reports availability zones that are in two regions.
pub(crate) fn zones(parsed: &ParsedItems, problems: &mut Vec<Problem>) {
    let mut regions: HashMap<&str, &str> = HashMap::new();
    for database in &parsed.upstreams {
        for instance in &database.value.instances {
            let place = &instance.place;
            let region = regions.entry(&place.zone).or_insert(&place.region);
            if *region != place.region {
                problems.push(database.location.problem(format!(
                    "the zone {} of the instance {} stands in the regions {region} and {}",
                    place.zone, instance.name, place.region
                )));
            }
        }
    }
}

/// Reports routes whose cost exceeds the burst of a workspace that may use them: no request of that
/// workspace could ever pass its rate limit.
pub(crate) fn costs(parsed: &ParsedItems, problems: &mut Vec<Problem>) {
    let smallest_burst = parsed.rates.iter().map(|rate| rate.value.burst).min().unwrap_or(u32::MAX);
    for route in parsed.routes.iter().filter(|route| smallest_burst < route.value.cost) {
        let excluded =
            parsed.rates.iter().map(|rate| &rate.value).find(|rate| {
                rate.burst < route.value.cost && may_use(&route.value, &rate.workspace)
            });
        if let Some(rate) = excluded {
            problems.push(cost_problem(route, rate));
        }
    }
}

/// Returns `true` if requests over the route may be charged to the workspace.
fn may_use(route: &Route, workspace: &str) -> bool {
    match &route.audience {
        Audience::Open(charged) => charged == workspace,
        Audience::Keyed => true,
        Audience::Only(members) => members.iter().any(|member| member == workspace),
    }
}

fn cost_problem(route: &Located<Route>, rate: &Rate) -> Problem {
    let cost = route.value.cost;
    let Rate { workspace, burst, .. } = rate;
    route.location.problem(format!(
        "the cost {cost} is beyond the burst {burst} of the workspace {workspace}, so that none of its requests could run"
    ))
}
