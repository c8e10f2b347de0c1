//! From trees to drafts: each section by itself, with every problem kept.

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
use crate::problems::Problem;
use crate::problems::Site;

/// `Drafts` holds the items that could be read, and the references that are still to be checked.
#[derive(Debug, Default)]
pub(crate) struct Drafts {
    pub(crate) workspaces: Vec<Located<Workspace>>,
    pub(crate) rates: Vec<Located<Rate>>,
    pub(crate) upstreams: Vec<Located<Database>>,
    pub(crate) routes: Vec<Located<Route>>,
    pub(crate) references: Vec<Reference>,
}

/// `Reference` is a name that must be defined elsewhere.
#[derive(Debug)]
pub(crate) struct Reference {
    pub(crate) target: Target,
    pub(crate) name: Located<String>,
}

/// `Target` is what a reference names.
#[derive(Debug)]
pub(crate) enum Target {
    /// A workspace.
    Workspace,
    /// A database.
    Database,
    /// A kind of each of these workspaces; of any workspace if the list is empty.
    Kind(Vec<String>),
}

impl Drafts {
    /// Gets the document; to be called only if there was no problem.
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

/// Reads one section into the drafts.
pub(crate) fn section(
    site: &Site,
    node: &Node,
    drafts: &mut Drafts,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) {
    for (item, site) in read_items(node, site, problems) {
        match site.section {
            Section::Workspaces => workspaces::read(item, site, drafts, names, problems),
            Section::Rates => rates::read(item, site, drafts, names, problems),
            Section::Upstreams => upstreams::read(item, site, drafts, names, problems),
            Section::Routes => routes::read(item, site, drafts, names, problems),
        }
    }
}

fn values<T>(items: Vec<Located<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}
