//! The checks that need several items or sections: references, places and costs.

use std::collections::HashMap;

use crate::fields::Located;
use crate::model::Audience;
use crate::model::Rate;
use crate::model::Route;
use crate::names::Names;
use crate::names::Scope;
use crate::parse::Drafts;
use crate::parse::Reference;
use crate::parse::Target;
use crate::problems::Problem;

/// Tells of references to names that are not defined.
pub(crate) fn references(drafts: &Drafts, names: &Names, problems: &mut Vec<Problem>) {
    for Reference { target, name } in &drafts.references {
        let text = name.value.as_str();
        let reason = match target {
            Target::Workspace if !names.contains(Scope::Workspaces, text) => {
                format!("no workspace has the name {text}")
            }
            Target::Database if !names.contains(Scope::Databases, text) => {
                format!("no upstream has the name {text}")
            }
            Target::Kind(owners) => match lacking(owners, text, names) {
                Some(reason) => reason,
                None => continue,
            },
            _ => continue,
        };
        problems.push(name.site.problem(reason));
    }
}

/// Tells which workspace lacks the kind; `None` if all have it.
fn lacking(owners: &[String], kind: &str, names: &Names) -> Option<String> {
    if owners.is_empty() {
        let found = names.contains(Scope::AnyKind, kind);
        return (!found).then(|| format!("no workspace has a kind with the name {kind}"));
    }
    let owner =
        owners.iter().find(|owner| !names.contains(Scope::Kinds((*owner).clone()), kind))?;
    Some(format!("the workspace {owner} has no kind with the name {kind}"))
}

/// Tells of availability zones that stand in two regions.
pub(crate) fn places(drafts: &Drafts, problems: &mut Vec<Problem>) {
    let mut regions: HashMap<&str, &str> = HashMap::new();
    for database in &drafts.upstreams {
        for instance in &database.value.instances {
            let place = &instance.place;
            let region = regions.entry(&place.zone).or_insert(&place.region);
            if *region != place.region {
                problems.push(database.site.problem(format!(
                    "the zone {} of the instance {} stands in the regions {region} and {}",
                    place.zone, instance.name, place.region
                )));
            }
        }
    }
}

/// Tells of routes whose cost is beyond the burst of a workspace that may use them.
pub(crate) fn costs(drafts: &Drafts, problems: &mut Vec<Problem>) {
    let least = drafts.rates.iter().map(|rate| rate.value.burst).min().unwrap_or(u32::MAX);
    for route in drafts.routes.iter().filter(|route| least < route.value.cost) {
        let excluded =
            drafts.rates.iter().map(|rate| &rate.value).find(|rate| {
                rate.burst < route.value.cost && may_use(&route.value, &rate.workspace)
            });
        if let Some(rate) = excluded {
            problems.push(too_costly(route, rate));
        }
    }
}

fn may_use(route: &Route, workspace: &str) -> bool {
    match &route.audience {
        Audience::Open(charged) => charged == workspace,
        Audience::Keyed => true,
        Audience::Only(members) => members.iter().any(|member| member == workspace),
    }
}

fn too_costly(route: &Located<Route>, rate: &Rate) -> Problem {
    let cost = route.value.cost;
    let Rate { workspace, burst, .. } = rate;
    route.site.problem(format!(
        "the cost {cost} is beyond the burst {burst} of the workspace {workspace}, so that none of its requests could run"
    ))
}
