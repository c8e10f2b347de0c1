//! Parsing of the section `upstreams`.

use std::net::SocketAddr;

use oleander_core::places::Place;

use crate::fields::Bounds;
use crate::fields::Fields;
use crate::fields::Located;
use crate::model::Acknowledge;
use crate::model::Database;
use crate::model::Instance;
use crate::names::Names;
use crate::names::Scope;
use crate::nodes::Node;
use crate::parse::ParsedItems;
use crate::problems::Location;
use crate::problems::Problem;

/// The bounds of slots and connections. Two homes split them and each needs at least one.
const SLOT_BOUNDS: Bounds = Bounds { min: 2, max: 10_000 };

/// The maximum number of instances of a database; an ordinal is one byte.
const MAX_INSTANCES: usize = 255;

/// Reads one database with its instances and defines their names.
pub(crate) fn read(
    node: &Node,
    location: Location,
    parsed: &mut ParsedItems,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) {
    let allowed = ["name", "acknowledge", "slots", "connections", "leaving", "instances"];
    let Some(fields) = Fields::from_node(node, location, &allowed, problems) else {
        return;
    };
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define_hashed(Scope::Databases, name, problems);
    }
    let owner = name.as_ref().map_or("", |name| name.value.as_str());
    let acknowledge = fields.keyword(
        "acknowledge",
        Some(Acknowledge::default()),
        "replicated, primary",
        problems,
    );
    let slots = fields.number("slots", SLOT_BOUNDS, problems);
    let connections = fields.number("connections", SLOT_BOUNDS, problems);
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        problems
            .push(fields.location.problem("a slot needs a connection: connections is below slots"));
    }
    let leaving = fields.flag("leaving", problems);
    let instances = read_instances(&fields, owner, names, problems);
    let (Some(name), Some(acknowledge), Some(slots), Some(connections), Some(leaving)) =
        (name, acknowledge, slots, connections, leaving)
    else {
        return;
    };
    let name = name.value;
    let value =
        Database { name, acknowledge, slots, connections, leaving, instances, warmup: None };
    parsed.upstreams.push(Located { value, location: fields.location });
}

fn read_instances(
    fields: &Fields<'_>,
    owner: &str,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) -> Vec<Instance> {
    if fields.required("instances", problems).is_none() {
        return Vec::new();
    }
    let items = fields.items("instances", problems);
    if items.is_empty() {
        problems.push(fields.location.problem("a database needs an instance"));
    }
    if MAX_INSTANCES < items.len() {
        let reason = format!("a database has at most {MAX_INSTANCES} instances");
        problems.push(fields.location.problem(reason));
    }
    items
        .into_iter()
        .filter_map(|(item, location)| read_instance(item, location, owner, names, problems))
        .collect()
}

fn read_instance(
    node: &Node,
    location: Location,
    owner: &str,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) -> Option<Instance> {
    let allowed = ["name", "address", "region", "zone", "leaving"];
    let fields = Fields::from_node(node, location, &allowed, problems)?;
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define(Scope::Instances(owner.to_owned()), name, problems);
    }
    let address = read_address(&fields, names, problems);
    let region = fields.name("region", problems);
    let zone = fields.name("zone", problems);
    let leaving = fields.flag("leaving", problems)?;
    let place = Place { region: region?.value, zone: zone?.value };
    Some(Instance { name: name?.value, address: address?, place, leaving })
}

/// Reads an IP address and a nonzero port, and defines the canonical form of the address.
fn read_address(
    fields: &Fields<'_>,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) -> Option<String> {
    let text = fields.text("address", problems)?;
    match text.value.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => {
            let canonical = Located { value: address.to_string(), location: text.location };
            names.define(Scope::Addresses, &canonical, problems);
            Some(canonical.value)
        }
        _ => {
            problems.push(text.location.problem("expected an IP address and a port"));
            None
        }
    }
}
