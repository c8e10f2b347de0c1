//! Parsing of the sections from YAML trees to items, each section on its own. Reading continues
//! after a problem.

pub(crate) mod rates;
pub(crate) mod routes;
pub(crate) mod upstreams;
pub(crate) mod workspaces;

use crate::fields::Located;
use crate::fields::read_items;
use crate::model::Database;
use crate::model::Document;
use crate::model::Rate;
use crate::model::Route;
use crate::model::Section;
use crate::model::Workspace;
use crate::names::Names;
use crate::nodes::Node;
use crate::problems::Location;
use crate::problems::Problem;

/// `ParsedItems` holds the items that could be read, and the references that have not been checked
/// yet.
#[derive(Debug, Default)]
pub(crate) struct ParsedItems {
    pub(crate) workspaces: Vec<Located<Workspace>>,
    pub(crate) rates: Vec<Located<Rate>>,
    pub(crate) upstreams: Vec<Located<Database>>,
    pub(crate) routes: Vec<Located<Route>>,
    pub(crate) references: Vec<Reference>,
}

/// `Reference` is the use of a name that must be defined by another item.
#[derive(Debug)]
pub(crate) struct Reference {
    pub(crate) target: Target,
    pub(crate) name: Located<String>,
}

/// `Target` is the type of item that a reference names.
#[derive(Debug)]
pub(crate) enum Target {
    /// A workspace.
    Workspace,
    /// A database.
    Database,
    /// A kind of each of these workspaces; of any workspace if the list is empty.
    Kind(Vec<String>),
}

impl ParsedItems {
    /// Returns the document. Call it only if no problem was reported.
    pub(crate) fn into_document(self) -> Document {
        Document {
            workspaces: values(self.workspaces),
            rates: values(self.rates),
            upstreams: values(self.upstreams),
            routes: values(self.routes),
            tx_idle: None,
        }
    }
}

/// Reads the items of one section into `parsed`.
pub(crate) fn read_section(
    location: &Location,
    node: &Node,
    parsed: &mut ParsedItems,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) {
    for (item, location) in read_items(node, location, problems) {
        match location.section {
            Section::Workspaces => workspaces::read(item, location, parsed, names, problems),
            Section::Rates => rates::read(item, location, parsed, names, problems),
            Section::Upstreams => upstreams::read(item, location, parsed, names, problems),
            Section::Routes => routes::read(item, location, parsed, names, problems),
        }
    }
}

fn values<T>(items: Vec<Located<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}
