//! Parsing of the section `workspaces`.

use crate::fields::Bounds;
use crate::fields::Fields;
use crate::fields::Located;
use crate::model::Key;
use crate::model::KeyHash;
use crate::model::Kind;
use crate::model::Workspace;
use crate::names::Names;
use crate::names::Scope;
use crate::nodes::Node;
use crate::parse::ParsedItems;
use crate::problems::Location;
use crate::problems::Problem;

/// The bounds of the weights of workspaces and kinds.
pub(crate) const WEIGHT_BOUNDS: Bounds = Bounds { min: 1, max: 1_000 };

/// Reads one workspace with its keys and kinds, and defines their names.
pub(crate) fn read(
    node: &Node,
    location: Location,
    parsed: &mut ParsedItems,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) {
    let allowed = ["name", "weight", "priority", "keys", "kinds"];
    let Some(fields) = Fields::from_node(node, location, &allowed, problems) else {
        return;
    };
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define_hashed(Scope::Workspaces, name, problems);
    }
    let owner = name.as_ref().map_or("", |name| name.value.as_str());
    let weight = fields.number_or("weight", 1, WEIGHT_BOUNDS, problems);
    let priority = fields.priority(problems);
    let keys = fields
        .items("keys", problems)
        .into_iter()
        .filter_map(|(item, location)| read_key(item, location, owner, names, problems))
        .collect();
    let kinds = fields
        .items("kinds", problems)
        .into_iter()
        .filter_map(|(item, location)| read_kind(item, location, owner, names, problems))
        .collect();
    let (Some(name), Some(weight), Some(priority)) = (name, weight, priority) else {
        return;
    };
    let value = Workspace { name: name.value, keys, weight, kinds, priority, regions: Vec::new() };
    parsed.workspaces.push(Located { value, location: fields.location });
}

fn read_key(
    node: &Node,
    location: Location,
    owner: &str,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) -> Option<Key> {
    let fields = Fields::from_node(node, location, &["name", "sha256"], problems)?;
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define(Scope::Keys(owner.to_owned()), name, problems);
    }
    let text = fields.text("sha256", problems)?;
    let Ok(hash) = text.value.parse::<KeyHash>() else {
        problems.push(text.location.problem("a key hash has 64 hexadecimal digits"));
        return None;
    };
    // The canonical form detects duplicates that differ only in the case of the digits.
    let digits = Located { value: hash.to_string(), location: text.location };
    names.define(Scope::Hashes, &digits, problems);
    Some(Key { name: name?.value, hash })
}

fn read_kind(
    node: &Node,
    location: Location,
    owner: &str,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) -> Option<Kind> {
    let fields = Fields::from_node(node, location, &["name", "weight"], problems)?;
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define(Scope::Kinds(owner.to_owned()), name, problems);
        names.record(Scope::AnyKind, name);
    }
    let weight = fields.number_or("weight", 1, WEIGHT_BOUNDS, problems)?;
    Some(Kind { name: name?.value, weight })
}
