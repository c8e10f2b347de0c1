//! The differences between two documents.

use std::collections::BTreeMap;
use std::fmt::Display;

use serde::Serialize;
use strum::Display as EnumDisplay;

use crate::model::Audience;
use crate::model::Database;
use crate::model::Document;
use crate::model::Instance;
use crate::model::Route;
use crate::model::Section;
use crate::model::Workspace;

/// `Change` is one difference between two documents.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The section of the item.
    pub section: Section,
    /// The type of the changed item.
    pub item: Item,
    /// The name. For a key, kind or instance: the owner's name, a slash and the item's name.
    pub name: String,
    /// What happened to it.
    pub action: Action,
}

/// `Item` is the type of an item of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, EnumDisplay)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Item {
    /// A workspace.
    Workspace,
    /// A key of a workspace.
    Key,
    /// A kind of a workspace.
    Kind,
    /// The rate of a workspace.
    Rate,
    /// A database.
    Database,
    /// An instance of a database.
    Instance,
    /// A route.
    Route,
}

/// `Action` is what happened to an item.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The item is new.
    Added,
    /// The item is gone.
    Removed,
    /// A field of the item has another value.
    Changed {
        /// The field.
        field: &'static str,
        /// The old value.
        from: String,
        /// The new value.
        to: String,
    },
}

impl Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Change { section, item, name, action } = self;
        match action {
            Action::Added => write!(f, "{section}: {item} {name} added"),
            Action::Removed => write!(f, "{section}: {item} {name} removed"),
            Action::Changed { field, from, to } => {
                write!(f, "{section}: {item} {name}: {field} {from} -> {to}")
            }
        }
    }
}

/// Returns the changes that lead from `old` to `new`, sorted by section, name and item type.
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let (old, new) = (flatten(old), flatten(new));
    let mut changes = Vec::new();
    for (key, fields) in &old {
        match new.get(key) {
            None => changes.push(key.change(Action::Removed)),
            Some(new_fields) => changes.extend(changed_fields(key, fields, new_fields)),
        }
    }
    let added = new.keys().filter(|key| !old.contains_key(*key));
    changes.extend(added.map(|key| key.change(Action::Added)));
    changes.sort_by(|left, right| {
        (left.section, &left.name, left.item as u8).cmp(&(
            right.section,
            &right.name,
            right.item as u8,
        ))
    });
    changes
}

/// `ItemKey` identifies an item within a document.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ItemKey {
    section: Section,
    /// The discriminant of the `Item`.
    item: u8,
    name: String,
}

impl ItemKey {
    fn new(section: Section, item: Item, name: impl Into<String>) -> Self {
        Self { section, item: item as u8, name: name.into() }
    }

    fn change(&self, action: Action) -> Change {
        Change { section: self.section, item: item_of(self.item), name: self.name.clone(), action }
    }
}

/// `FieldTexts` holds the names and values of an item's fields, in the same order for all items of
/// a type.
type FieldTexts = Vec<(&'static str, String)>;

fn changed_fields(key: &ItemKey, old: &FieldTexts, new: &FieldTexts) -> Vec<Change> {
    let pairs = old.iter().zip(new).filter(|((_, from), (_, to))| from != to);
    pairs
        .map(|((field, from), (_, to))| {
            key.change(Action::Changed { field, from: from.clone(), to: to.clone() })
        })
        .collect()
}

/// Returns the item type with this discriminant.
fn item_of(discriminant: u8) -> Item {
    const ITEMS: [Item; 7] = [
        Item::Workspace,
        Item::Key,
        Item::Kind,
        Item::Rate,
        Item::Database,
        Item::Instance,
        Item::Route,
    ];
    ITEMS[usize::from(discriminant)]
}

/// Returns the fields of all items of a document.
fn flatten(document: &Document) -> BTreeMap<ItemKey, FieldTexts> {
    let mut items = BTreeMap::new();
    for workspace in &document.workspaces {
        flatten_workspace(workspace, &mut items);
    }
    for rate in &document.rates {
        let key = ItemKey::new(Section::Rates, Item::Rate, &rate.workspace);
        items.insert(key, vec![("rate", rate.rate.to_string()), ("burst", rate.burst.to_string())]);
    }
    for database in &document.upstreams {
        flatten_database(database, &mut items);
    }
    for route in &document.routes {
        items.insert(ItemKey::new(Section::Routes, Item::Route, &route.name), route_fields(route));
    }
    items
}

fn flatten_workspace(workspace: &Workspace, items: &mut BTreeMap<ItemKey, FieldTexts>) {
    let owner = &workspace.name;
    let key = |item, name: String| ItemKey::new(Section::Workspaces, item, name);
    items.insert(
        key(Item::Workspace, owner.clone()),
        vec![
            ("weight", workspace.weight.to_string()),
            ("priority", workspace.priority.to_string()),
        ],
    );
    for granted in &workspace.keys {
        let name = format!("{owner}/{}", granted.name);
        items.insert(key(Item::Key, name), vec![("sha256", granted.hash.to_string())]);
    }
    for kind in &workspace.kinds {
        let name = format!("{owner}/{}", kind.name);
        items.insert(key(Item::Kind, name), vec![("weight", kind.weight.to_string())]);
    }
}

fn flatten_database(database: &Database, items: &mut BTreeMap<ItemKey, FieldTexts>) {
    let owner = &database.name;
    let fields = vec![
        ("acknowledge", database.acknowledge.to_string()),
        ("slots", database.slots.to_string()),
        ("connections", database.connections.to_string()),
        ("leaving", database.leaving.to_string()),
    ];
    items.insert(ItemKey::new(Section::Upstreams, Item::Database, owner), fields);
    for (ordinal, instance) in database.instances.iter().enumerate() {
        let name = format!("{owner}/{}", instance.name);
        let key = ItemKey::new(Section::Upstreams, Item::Instance, name);
        items.insert(key, instance_fields(instance, ordinal));
    }
}

/// Includes the ordinal as a field, since VMs identify an instance by it.
fn instance_fields(instance: &Instance, ordinal: usize) -> FieldTexts {
    vec![
        ("ordinal", ordinal.to_string()),
        ("address", instance.address.clone()),
        ("region", instance.place.region.clone()),
        ("zone", instance.place.zone.clone()),
        ("leaving", instance.leaving.to_string()),
    ]
}

fn route_fields(route: &Route) -> FieldTexts {
    vec![
        ("matcher", route.matcher.to_string()),
        ("database", route.database.clone()),
        ("access", route.access.to_string()),
        ("kind", route.kind.clone()),
        ("audience", audience_text(&route.audience)),
        ("max_age", route.max_age.map_or_else(|| "none".to_owned(), |age| age.to_string())),
        ("deadline", route.deadline.to_string()),
        ("cost", route.cost.to_string()),
        ("priority", route.priority.to_string()),
    ]
}

fn audience_text(audience: &Audience) -> String {
    match audience {
        Audience::Open(workspace) => format!("open to all, charged to {workspace}"),
        Audience::Keyed => "keyed".to_owned(),
        Audience::Only(members) => format!("only {}", members.join(", ")),
    }
}
