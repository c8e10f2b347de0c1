//! The names that a configuration defines, for the checks of duplicates and of references.

use std::collections::HashMap;

use oleander_core::hash;

use crate::fields::Located;
use crate::problems::Location;
use crate::problems::Problem;

/// `Scope` is a namespace in which each name is defined once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Scope {
    /// The workspace names.
    Workspaces,
    /// The key names of a workspace.
    Keys(String),
    /// The kind names of a workspace.
    Kinds(String),
    /// The kind names of all workspaces; the same name may occur in several.
    AnyKind,
    /// The key hashes of all workspaces.
    Hashes,
    /// The names of workspaces that have a rate.
    Rates,
    /// The database names.
    Databases,
    /// The instance names of a database.
    Instances(String),
    /// The instance addresses of all databases.
    Addresses,
    /// The route names.
    Routes,
    /// The matchers of routes, in text form.
    Matchers,
}

/// `Names` holds the names defined by all sections.
#[derive(Debug, Default)]
pub(crate) struct Names {
    defined: HashMap<(Scope, String), Location>,
    /// The name that first produced each identifier.
    hashes: HashMap<(Scope, u64), String>,
}

impl Names {
    /// Defines a name. Reports a duplicate.
    pub(crate) fn define(
        &mut self,
        scope: Scope,
        name: &Located<String>,
        problems: &mut Vec<Problem>,
    ) {
        let key = (scope, name.value.clone());
        if let Some(first) = self.defined.get(&key) {
            let reason = format!("duplicate of {} in line {}", first.path, first.line);
            problems.push(name.location.problem(reason));
            return;
        }
        self.defined.insert(key, name.location.clone());
    }

    /// Defines a name whose stable hash is used as an identifier. Reports a duplicate, and another
    /// name with the same identifier.
    pub(crate) fn define_hashed(
        &mut self,
        scope: Scope,
        name: &Located<String>,
        problems: &mut Vec<Problem>,
    ) {
        let id = hash::stable_hash(name.value.as_bytes());
        let other = self.hashes.entry((scope.clone(), id)).or_insert_with(|| name.value.clone());
        if *other != name.value {
            let reason = format!("the name has the same identifier as {other}; choose another");
            problems.push(name.location.problem(reason));
        }
        self.define(scope, name, problems);
    }

    /// Returns `true` if the name is defined.
    pub(crate) fn contains(&self, scope: Scope, name: &str) -> bool {
        self.defined.contains_key(&(scope, name.to_owned()))
    }

    /// Defines a name that may occur several times in its scope.
    pub(crate) fn record(&mut self, scope: Scope, name: &Located<String>) {
        self.defined.entry((scope, name.value.clone())).or_insert_with(|| name.location.clone());
    }
}
