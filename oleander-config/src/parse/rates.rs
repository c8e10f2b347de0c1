//! Parsing of the section `rates`.

use crate::fields::Bounds;
use crate::fields::Fields;
use crate::fields::Located;
use crate::fields::read_digits;
use crate::model::Rate;
use crate::names::Names;
use crate::names::Scope;
use crate::nodes::Data;
use crate::nodes::Node;
use crate::parse::ParsedItems;
use crate::parse::Reference;
use crate::parse::Target;
use crate::problems::Location;
use crate::problems::Problem;

/// The bounds of a rate in requests per second, and of a burst in requests.
const RATE_BOUNDS: Bounds = Bounds { min: 1, max: 10_000_000 };

/// Reads the rate limit of one workspace.
pub(crate) fn read(
    node: &Node,
    location: Location,
    parsed: &mut ParsedItems,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) {
    let Some(fields) = Fields::from_node(node, location, &["workspace", "rate", "burst"], problems)
    else {
        return;
    };
    let workspace = fields.name("workspace", problems);
    if let Some(name) = &workspace {
        names.define(Scope::Rates, name, problems);
        parsed.references.push(Reference { target: Target::Workspace, name: name.clone() });
    }
    let rate = read_rate(&fields, problems);
    let burst = fields.number("burst", RATE_BOUNDS, problems);
    let (Some(workspace), Some(rate), Some(burst)) = (workspace, rate, burst) else {
        return;
    };
    let value = Rate { workspace: workspace.value, rate, burst };
    parsed.rates.push(Located { value, location: fields.location });
}

/// Reads a rate in requests per second, in the form `50/s` or `{per_second: 50}`.
fn read_rate(fields: &Fields<'_>, problems: &mut Vec<Problem>) -> Option<u32> {
    let (node, location) = fields.required("rate", problems)?;
    if let Data::Mapping(_) = node.data {
        let inner = Fields::from_node(node, location, &["per_second"], problems)?;
        return inner.number("per_second", RATE_BOUNDS, problems);
    }
    let Data::Plain(text) = &node.data else {
        problems.push(location.problem("expected a rate such as 50/s"));
        return None;
    };
    match text.split_once('/') {
        Some((count, "s")) => read_digits(count, &location, RATE_BOUNDS, problems),
        Some(_) => {
            problems.push(location.problem("the unit of a rate is /s"));
            None
        }
        None => {
            problems.push(location.problem("a rate needs its unit, such as 50/s"));
            None
        }
    }
}
