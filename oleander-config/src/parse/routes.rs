//! Parsing of the section `routes`.

use std::collections::HashSet;

use oleander_core::statement::Access;
use oleander_core::time::Span;

use crate::fields::Bounds;
use crate::fields::Fields;
use crate::fields::Located;
use crate::fields::read_items;
use crate::fields::read_name;
use crate::model::Audience;
use crate::model::Consistency;
use crate::model::Matcher;
use crate::model::Route;
use crate::names::Names;
use crate::names::Scope;
use crate::nodes::Data;
use crate::nodes::Node;
use crate::parse::ParsedItems;
use crate::parse::Reference;
use crate::parse::Target;
use crate::problems::Location;
use crate::problems::Problem;

/// The bounds of a route's cost, in rate limit tokens.
const COST_BOUNDS: Bounds = Bounds { min: 1, max: 1_000 };

/// The maximum deadline of a route.
const MAX_DEADLINE: Span = Span::from_secs(60);

/// The maximum `max_age` of a route.
const MAX_AGE: Span = Span::from_secs(300);

/// The maximum length of a route's path in bytes.
const MAX_PATH_BYTES: usize = 200;

/// The HTTP methods that a route may match.
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];

/// The paths that the proxy itself serves. Paths below them are reserved, too.
const RESERVED_PATHS: [&str; 5] =
    ["/v1/statements", "/v1/transactions", "/healthz", "/readyz", "/status"];

/// Reads one route, defines its names and records its references.
pub(crate) fn read(
    node: &Node,
    location: Location,
    parsed: &mut ParsedItems,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) {
    let allowed = [
        "name", "class", "method", "path", "database", "access", "kind", "audience", "max_age",
        "deadline", "cost", "priority",
    ];
    let Some(fields) = Fields::from_node(node, location, &allowed, problems) else {
        return;
    };
    let name = fields.name("name", problems);
    if let Some(name) = &name {
        names.define(Scope::Routes, name, problems);
    }
    let matcher = read_matcher(&fields, problems);
    if let Some(matcher) = &matcher {
        let text = Located { value: matcher.to_string(), location: fields.location.clone() };
        names.define(Scope::Matchers, &text, problems);
    }
    let database = fields.name("database", problems);
    if let Some(name) = &database {
        parsed.references.push(Reference { target: Target::Database, name: name.clone() });
    }
    let access =
        fields.keyword::<Access>("access", None, "read, idempotent-write, write", problems);
    let audience = read_audience(&fields, &mut parsed.references, problems);
    let kind = fields.name("kind", problems);
    if let (Some(kind), Some(audience)) = (&kind, &audience) {
        let target = Target::Kind(named_workspaces(audience));
        parsed.references.push(Reference { target, name: kind.clone() });
    }
    let max_age = read_max_age(&fields, access, problems);
    let deadline = fields.span("deadline", MAX_DEADLINE, problems);
    let cost = fields.number_or("cost", 1, COST_BOUNDS, problems);
    let priority = fields.priority(problems);

    let (Some(name), Some(matcher), Some(database), Some(access)) =
        (name, matcher, database, access)
    else {
        return;
    };
    let (Some(kind), Some(audience), Some(deadline), Some(cost), Some(priority)) =
        (kind, audience, deadline, cost, priority)
    else {
        return;
    };
    let value = Route {
        name: name.value,
        matcher,
        database: database.value,
        access,
        kind: kind.value,
        audience,
        max_age,
        deadline,
        cost,
        consistency: Consistency::default(),
        target_latency: deadline,
        priority,
        regions: Vec::new(),
    };
    parsed.routes.push(Located { value, location: fields.location });
}

/// Reads either `class`, or `method` and `path`.
fn read_matcher(fields: &Fields<'_>, problems: &mut Vec<Problem>) -> Option<Matcher> {
    let has_class = fields.optional("class").is_some();
    let has_path = fields.optional("method").is_some() || fields.optional("path").is_some();
    match (has_class, has_path) {
        (true, false) => Some(Matcher::Class(fields.name("class", problems)?.value)),
        (false, true) => {
            let method = fields.text("method", problems);
            let path = fields.text("path", problems);
            let (method, path) = (method?, path?);
            check_method(&method, problems)?;
            check_path(&path, problems)?;
            Some(Matcher::Path { method: method.value, path: path.value })
        }
        _ => {
            problems.push(fields.location.problem("a route has either class, or method and path"));
            None
        }
    }
}

fn check_method(method: &Located<String>, problems: &mut Vec<Problem>) -> Option<()> {
    if METHODS.contains(&method.value.as_str()) {
        return Some(());
    }
    problems.push(method.location.problem(format!("the method is one of {}", METHODS.join(", "))));
    None
}

fn check_path(path: &Located<String>, problems: &mut Vec<Problem>) -> Option<()> {
    let text = path.value.as_str();
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/-_.~".contains(&byte);
    if !text.starts_with('/') || MAX_PATH_BYTES < text.len() || !text.bytes().all(is_allowed) {
        let reason = "a path starts with / and has letters, digits and the signs / - _ . ~";
        problems.push(path.location.problem(reason));
        return None;
    }
    let covers_path = |reserved: &&&str| {
        text.strip_prefix(**reserved).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    if let Some(reserved) = RESERVED_PATHS.iter().find(covers_path) {
        problems.push(path.location.problem(format!("the proxy itself serves {reserved}")));
        return None;
    }
    Some(())
}

/// Reads `keyed`, `{open: WORKSPACE}` or `{only: [WORKSPACE, …]}`.
fn read_audience(
    fields: &Fields<'_>,
    references: &mut Vec<Reference>,
    problems: &mut Vec<Problem>,
) -> Option<Audience> {
    let (node, location) = fields.required("audience", problems)?;
    match &node.data {
        Data::Plain(text) if text == "keyed" => Some(Audience::Keyed),
        Data::Mapping(entries) if entries.len() == 1 => {
            let inner = Fields::from_node(node, location, &["open", "only"], problems)?;
            match inner.optional("only") {
                Some((list, location)) => read_only(list, &location, references, problems),
                None => {
                    let name = inner.name("open", problems)?;
                    let audience = Audience::Open(name.value.clone());
                    references.push(Reference { target: Target::Workspace, name });
                    Some(audience)
                }
            }
        }
        _ => {
            let reason = "expected keyed, {open: WORKSPACE} or {only: [WORKSPACE]}";
            problems.push(location.problem(reason));
            None
        }
    }
}

fn read_only(
    list: &Node,
    location: &Location,
    references: &mut Vec<Reference>,
    problems: &mut Vec<Problem>,
) -> Option<Audience> {
    let mut members = Vec::new();
    let mut seen = HashSet::new();
    for (item, location) in read_items(list, location, problems) {
        let name = read_name(item, location, problems)?;
        if !seen.insert(name.value.clone()) {
            problems.push(name.location.problem("the workspace is named twice"));
        }
        members.push(name.value.clone());
        references.push(Reference { target: Target::Workspace, name });
    }
    if members.is_empty() {
        problems.push(location.problem("the list names no workspace"));
        return None;
    }
    Some(Audience::Only(members))
}

/// Returns the workspaces that an audience names; none if it admits every workspace.
fn named_workspaces(audience: &Audience) -> Vec<String> {
    match audience {
        Audience::Open(workspace) => vec![workspace.clone()],
        Audience::Keyed => Vec::new(),
        Audience::Only(workspaces) => workspaces.clone(),
    }
}

/// Reads the optional `max_age`. Reports one on a route that writes.
fn read_max_age(
    fields: &Fields<'_>,
    access: Option<Access>,
    problems: &mut Vec<Problem>,
) -> Option<Span> {
    let (_, location) = fields.optional("max_age")?;
    let age = fields.span("max_age", MAX_AGE, problems);
    if access.is_some_and(Access::is_write) {
        problems.push(location.problem("only a read can accept an age"));
    }
    age
}
