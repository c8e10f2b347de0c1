//! The names that a configuration defines, and the references to them.

use std::collections::HashMap;

use oleander_core::hash;

use crate::fields::Located;
use crate::problems::Problem;
use crate::problems::Site;

/// `Scope` is a set of names in which each name is defined once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Scope {
    /// Workspaces.
    Workspaces,
    /// The keys of a workspace.
    Keys(String),
    /// The kinds of a workspace.
    Kinds(String),
    /// The kinds of all workspaces together.
    AnyKind,
    /// Key hashes over all workspaces.
    Hashes,
    /// Workspaces that have a rate.
    Rates,
    /// Databases.
    Databases,
    /// The instances of a database.
    Instances(String),
    /// Addresses of instances over all databases.
    Addresses,
    /// Routes.
    Routes,
    /// What routes match.
    Matchers,
}

/// `Names` holds the definitions of all sections.
#[derive(Debug, Default)]
pub(crate) struct Names {
    defined: HashMap<(Scope, String), Site>,
    hashes: HashMap<(Scope, u64), String>,
}

impl Names {
    /// Defines a name; tells if it is a duplicate.
    pub(crate) fn define(
        &mut self,
        scope: Scope,
        name: &Located<String>,
        problems: &mut Vec<Problem>,
    ) {
        let key = (scope, name.value.clone());
        if let Some(first) = self.defined.get(&key) {
            let reason = format!("duplicate of {} in line {}", first.path, first.line);
            problems.push(name.site.problem(reason));
            return;
        }
        self.defined.insert(key, name.site.clone());
    }

    /// Defines a name whose stable hash is an identifier; tells of duplicates and of equal identifiers.
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
            problems.push(name.site.problem(reason));
        }
        self.define(scope, name, problems);
    }

    /// Returns `true` if the name is defined.
    pub(crate) fn contains(&self, scope: Scope, name: &str) -> bool {
        self.defined.contains_key(&(scope, name.to_owned()))
    }

    /// Notes a name that may be defined several times in its scope.
    pub(crate) fn note(&mut self, scope: Scope, name: &Located<String>) {
        self.defined.entry((scope, name.value.clone())).or_insert_with(|| name.site.clone());
    }
}
