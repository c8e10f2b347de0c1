//! The section `workspaces`.

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
use crate::parse::Drafts;
use crate::problems::Problem;
use crate::problems::Site;

/// The bounds of a weight.
pub(crate) const WEIGHT: Bounds = Bounds { least: 1, most: 1_000 };

/// Reads one workspace.
pub(crate) fn read(
    node: &Node,
    site: Site,
    drafts: &mut Drafts,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) {
    let allowed = ["name", "weight", "keys", "kinds"];
    let Some(fields) = Fields::open(node, site, &allowed, problems) else {
        return;
    };
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define_hashed(Scope::Workspaces, name, problems);
    }
    let owner = name.as_ref().map_or("", |name| name.value.as_str());
    let weight = fields.number_or("weight", 1, WEIGHT, problems);
    let keys = fields
        .items("keys", problems)
        .into_iter()
        .filter_map(|(item, site)| read_key(item, site, owner, names, problems))
        .collect();
    let kinds = fields
        .items("kinds", problems)
        .into_iter()
        .filter_map(|(item, site)| read_kind(item, site, owner, names, problems))
        .collect();
    let (Some(name), Some(weight)) = (name, weight) else {
        return;
    };
    let value = Workspace { name: name.value, keys, weight, kinds };
    drafts.workspaces.push(Located { value, site: fields.site });
}

fn read_key(
    node: &Node,
    site: Site,
    owner: &str,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) -> Option<Key> {
    let fields = Fields::open(node, site, &["name", "sha256"], problems)?;
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define(Scope::Keys(owner.to_owned()), name, problems);
    }
    let text = fields.text("sha256", problems)?;
    let Ok(hash) = text.value.parse::<KeyHash>() else {
        problems.push(text.site.problem("a key hash has 64 hexadecimal digits"));
        return None;
    };
    // Upper and lower case stand for the same hash.
    let digits = Located { value: hash.to_string(), site: text.site };
    names.define(Scope::Hashes, &digits, problems);
    Some(Key { name: name?.value, hash })
}

fn read_kind(
    node: &Node,
    site: Site,
    owner: &str,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) -> Option<Kind> {
    let fields = Fields::open(node, site, &["name", "weight"], problems)?;
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define(Scope::Kinds(owner.to_owned()), name, problems);
        names.note(Scope::AnyKind, name);
    }
    let weight = fields.number_or("weight", 1, WEIGHT, problems)?;
    Some(Kind { name: name?.value, weight })
}
